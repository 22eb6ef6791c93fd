/** Simulated calls from cores to workers: orders and reports. */
import type { CoreReplica } from '@rainrun/cluster-node';
import type { SeededRandom } from '@rainrun/common';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerRecord } from '@rainrun/placement';
import type { VirtualTime } from '../world.js';
import type { Machine } from './machine.js';
import type { Network } from './network.js';
import { REPORT_LAG_MS, type WorkerPool } from './workers.js';

/** Ratios of the calls between cores and workers that each kind of fault affects. */
export interface CallFaults {
  /** An order reaches its worker late, possibly long after its sender has stopped waiting. */
  readonly delayed: number;
  /** A worker accepts an order, and its answer is lost. */
  readonly answerLost: number;
  /** A worker rejects an order with a 4xx status that does not tell what the worker holds. */
  readonly refused: number;
  /** A report or the platform's list cannot be read. */
  readonly unreadable: number;
  /**
   * A worker answers a call twice; the second answer is read as the answer to the next call on the
   * connection.
   */
  readonly surplus: number;
  /** The models in a report are older than its other values, by up to the maximum age of a report. */
  readonly torn: number;
}

/** Calls without faults. */
export const NO_CALL_FAULTS: CallFaults = {
  delayed: 0,
  answerLost: 0,
  refused: 0,
  unreadable: 0,
  surplus: 0,
  torn: 0,
};

const CALL_TIMEOUT_MS = 900;
/** Maximum extra delay of an order. */
const MAX_ORDER_DELAY_MS = 6000;

/**
 * Carries calls from cores to workers and their answers back.
 * @example
 * calls.order(machine, replica, row, order, (reply) => note(reply));
 */
export class WorkerCalls {
  /** The current ratios of faults. */
  faults: CallFaults = NO_CALL_FAULTS;
  /** Surplus answers that will be read as the answer to the next call, by core and worker. */
  #surplus = new Map<string, Answer>();
  #listFailedMs = -Infinity;
  #time: VirtualTime;
  #random: SeededRandom;
  #network: Network;
  #workers: WorkerPool;

  constructor(time: VirtualTime, random: SeededRandom, network: Network, workers: WorkerPool) {
    this.#time = time;
    this.#random = random;
    this.#network = network;
    this.#workers = workers;
  }

  /** Sends an order; the fencing token is checked again just before the bytes are sent. */
  order(
    core: Machine,
    replica: CoreReplica,
    row: WorkerRecord,
    order: WorkerOrder,
    done: (reply: WorkerOrderReply) => void,
  ): void {
    const running = core.running;
    if (running?.replica !== replica) return;
    let replied = false;
    const finish = (reply: WorkerOrderReply, waitMs: number): void => {
      this.#time.after(waitMs, () =>
        core.runInProcess(running, () => {
          if (replied) return;
          replied = true;
          done(reply);
          replica.tick();
        }),
      );
    };
    finish('no-answer', CALL_TIMEOUT_MS);
    this.#time.after(0.2 + this.#random.next() * 2, () =>
      core.runInProcess(running, () => {
        if (replied || replica.group.singletonEpoch() !== order.fence) return finish('no-answer', 0);
        const holder = replica.group.self.incarnation;
        this.#workers.checkFence(holder, order.fence);
        this.#time.after(this.#travelMs(), () => {
          const own = this.#deliverOrder(core, row, holder, order);
          const reply =
            own === undefined ? undefined : asOrderReply(this.#nextAnswerOnConnection(core, row, own));
          if (reply !== undefined) finish(reply, 0.5 + this.#random.next() * 2);
        });
      }),
    );
  }

  /** Requests a report of what a worker holds. */
  report(core: Machine, row: WorkerRecord, done: (reply: ReportReply) => void): void {
    const running = core.running;
    if (running === undefined) return;
    this.#time.after(0.5 + this.#random.next() * 4, () => {
      const silent =
        this.#network.isCutEitherWay(core.name, row.address) || this.#occurs(this.faults.unreadable);
      const reply = silent
        ? 'no-answer'
        : asReport(this.#nextAnswerOnConnection(core, row, this.#report(row)));
      this.#time.after(silent ? CALL_TIMEOUT_MS : 0.5 + this.#random.next() * 4, () =>
        core.runInProcess(running, () => done(reply)),
      );
    });
  }

  /** Time of the last failed read of the platform's list. */
  get listFailedMs(): number {
    return this.#listFailedMs;
  }

  /** Whether a read of the platform's list succeeds now; records the time of a failure. */
  canReadList(): boolean {
    const fails = this.#occurs(this.faults.unreadable);
    if (fails) this.#listFailedMs = this.#time.nowMs();
    return !fails;
  }

  #occurs(share: number): boolean {
    return share > 0 && this.#random.next() < share;
  }

  #travelMs(): number {
    const delayMs = this.#occurs(this.faults.delayed) ? this.#random.next() * MAX_ORDER_DELAY_MS : 0;
    return 0.5 + this.#random.next() * 2 + delayMs;
  }

  #report(row: WorkerRecord): ReportReply {
    const olderMs = this.#occurs(this.faults.torn) ? this.#random.next() * REPORT_LAG_MS : 0;
    return this.#workers.report(row.address, row.id, olderMs);
  }

  /**
   * Returns what a core reads as the answer to a call: a surplus answer to the previous call takes its place.
   */
  #nextAnswerOnConnection(core: Machine, row: WorkerRecord, own: Answer): Answer {
    const key = `${core.name} ${row.id}`;
    const surplus = this.#surplus.get(key);
    this.#surplus.delete(key);
    if (surplus !== undefined) return surplus;
    if (this.#occurs(this.faults.surplus)) this.#surplus.set(key, own);
    return own;
  }

  /** Delivers an order to a worker; undefined if the sender gets no answer. */
  #deliverOrder(
    core: Machine,
    row: WorkerRecord,
    holder: string,
    order: WorkerOrder,
  ): WorkerOrderReply | undefined {
    const worker = this.#workers.workerAt(row.address);
    if (worker === undefined || this.#network.isCut(core.name, row.address)) return undefined;
    if (this.#occurs(this.faults.refused)) return 'refused';
    const reply = worker.order(row.id, holder, order);
    if (this.#network.isCut(row.address, core.name) || this.#occurs(this.faults.answerLost)) return undefined;
    return this.#random.next() >= this.#network.lossRatio ? reply : undefined;
  }
}

/** A worker's answer to an order or a report request. */
type Answer = WorkerOrderReply | ReportReply;

/**
 * Reads an answer as one to an order: a report has status 200, as has an order for what the worker already
 * holds.
 */
function asOrderReply(answer: Answer): WorkerOrderReply {
  return typeof answer === 'object' ? 'held' : answer;
}

/** Reads an answer as one to a report request: the answer to an order is no report. */
function asReport(answer: Answer): ReportReply {
  return typeof answer === 'object' ? answer : answer === 'busy' ? 'busy' : 'no-answer';
}
