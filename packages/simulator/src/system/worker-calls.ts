/** Calls of cores to workers: orders and reports. */
import type { CoreReplica } from '@rainrun/cluster-node';
import type { SeededRandom } from '@rainrun/common';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerRecord } from '@rainrun/placement';
import type { VirtualTime } from '../world.js';
import type { Machine } from './machine.js';
import type { Network } from './network.js';
import { REPORT_LAG_MS, type WorkerPool } from './workers.js';

/** How often the way between cores and workers goes wrong; each is a share of the calls. */
export interface CallFaults {
  /** An order reaches its worker late, long after its sender has stopped waiting. */
  readonly delayed: number;
  /** A worker takes an order, and its answer is lost. */
  readonly answerLost: number;
  /** A worker answers an order with a 4xx that says nothing of what it holds, and does not take it. */
  readonly refused: number;
  /** A report or the platform's list cannot be read. */
  readonly unreadable: number;
  /** A worker answers a call once more; that answer comes in the place of the one to the next call on the connection. */
  readonly surplus: number;
  /** The models of a report are older than its other values, by up to the age that a report may have. */
  readonly torn: number;
}

/** Nothing goes wrong. */
export const NO_CALL_FAULTS: CallFaults = {
  delayed: 0,
  answerLost: 0,
  refused: 0,
  unreadable: 0,
  surplus: 0,
  torn: 0,
};

const CALL_TIMEOUT_MS = 900;
/** A delayed order is on its way for up to so long. */
const MAX_ORDER_DELAY_MS = 6000;

/**
 * The way from cores to workers and back.
 * @example
 * calls.order(machine, replica, row, order, (reply) => note(reply));
 */
export class WorkerCalls {
  /** What goes wrong now. */
  faults: CallFaults = NO_CALL_FAULTS;
  /** Answers that are still to come in the place of the next one, by core and worker. */
  #surplus = new Map<string, Answer>();
  #listFailedMs = -Infinity;
  #time: VirtualTime;
  #dice: SeededRandom;
  #network: Network;
  #workers: WorkerPool;

  constructor(time: VirtualTime, dice: SeededRandom, network: Network, workers: WorkerPool) {
    this.#time = time;
    this.#dice = dice;
    this.#network = network;
    this.#workers = workers;
  }

  /** Sends an order; the fence is checked once more just before the bytes leave. */
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
    this.#time.after(0.2 + this.#dice.next() * 2, () =>
      core.runInProcess(running, () => {
        if (replied || replica.group.singletonEpoch() !== order.fence) return finish('no-answer', 0);
        const holder = replica.group.self.incarnation;
        this.#workers.checkFence(holder, order.fence);
        this.#time.after(this.#travelMs(), () => {
          const own = this.#deliverOrder(core, row, holder, order);
          const reply =
            own === undefined ? undefined : asOrderReply(this.#nextAnswerOnConnection(core, row, own));
          if (reply !== undefined) finish(reply, 0.5 + this.#dice.next() * 2);
        });
      }),
    );
  }

  /** Asks a worker what it holds. */
  report(core: Machine, row: WorkerRecord, done: (reply: ReportReply) => void): void {
    const running = core.running;
    if (running === undefined) return;
    this.#time.after(0.5 + this.#dice.next() * 4, () => {
      const silent =
        this.#network.isCutEitherWay(core.name, row.address) || this.#occurs(this.faults.unreadable);
      const reply = silent
        ? 'no-answer'
        : asReport(this.#nextAnswerOnConnection(core, row, this.#report(row)));
      this.#time.after(silent ? CALL_TIMEOUT_MS : 0.5 + this.#dice.next() * 4, () =>
        core.runInProcess(running, () => done(reply)),
      );
    });
  }

  /** When the platform's list could not be read last. */
  get listFailedMs(): number {
    return this.#listFailedMs;
  }

  /** Whether the platform's list can be read now. */
  canReadList(): boolean {
    const fails = this.#occurs(this.faults.unreadable);
    if (fails) this.#listFailedMs = this.#time.nowMs();
    return !fails;
  }

  #occurs(share: number): boolean {
    return share > 0 && this.#dice.next() < share;
  }

  #travelMs(): number {
    const delayMs = this.#occurs(this.faults.delayed) ? this.#dice.next() * MAX_ORDER_DELAY_MS : 0;
    return 0.5 + this.#dice.next() * 2 + delayMs;
  }

  #report(row: WorkerRecord): ReportReply {
    const olderMs = this.#occurs(this.faults.torn) ? this.#dice.next() * REPORT_LAG_MS : 0;
    return this.#workers.report(row.address, row.id, olderMs);
  }

  /** What a core reads as the answer to a call: a surplus answer to the call before comes first. */
  #nextAnswerOnConnection(core: Machine, row: WorkerRecord, own: Answer): Answer {
    const key = `${core.name} ${row.id}`;
    const surplus = this.#surplus.get(key);
    this.#surplus.delete(key);
    if (surplus !== undefined) return surplus;
    if (this.#occurs(this.faults.surplus)) this.#surplus.set(key, own);
    return own;
  }

  /** An order arrives at a worker; undefined: its sender gets no answer. */
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
    return this.#dice.next() >= this.#network.lossRatio ? reply : undefined;
  }
}

/** What a worker answers a call. */
type Answer = WorkerOrderReply | ReportReply;

/** A report is answered with 200, and so is an order for what is there. */
function asOrderReply(answer: Answer): WorkerOrderReply {
  return typeof answer === 'object' ? 'held' : answer;
}

/** What answers an order is no report. */
function asReport(answer: Answer): ReportReply {
  return typeof answer === 'object' ? answer : answer === 'busy' ? 'busy' : 'no-answer';
}
