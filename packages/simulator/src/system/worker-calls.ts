/** Calls of cores to workers: orders and reports. */
import type { CoreReplica } from '@rainrun/cluster-node';
import type { SeededRandom } from '@rainrun/common';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerRecord } from '@rainrun/placement';
import type { VirtualTime } from '../world.js';
import type { Machine } from './machine.js';
import type { Network } from './network.js';
import type { WorkerPool } from './workers.js';

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
}

/** Nothing goes wrong. */
export const SOUND_CALLS: CallFaults = { delayed: 0, answerLost: 0, refused: 0, unreadable: 0 };

const CALL_WAIT_MS = 900;
/** A delayed order is on its way for up to so long. */
const LONGEST_DELAY_MS = 6000;

/**
 * The way from cores to workers and back.
 * @example
 * calls.order(machine, replica, row, order, (reply) => note(reply));
 */
export class WorkerCalls {
  /** What goes wrong now. */
  faults: CallFaults = SOUND_CALLS;
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
        core.perform(running, () => {
          if (replied) return;
          replied = true;
          done(reply);
          replica.tick();
        }),
      );
    };
    finish('no-answer', CALL_WAIT_MS);
    this.#time.after(0.2 + this.#dice.next() * 2, () =>
      core.perform(running, () => {
        if (replied || replica.group.singletonEpoch() !== order.fence) return finish('no-answer', 0);
        const holder = replica.group.self.incarnation;
        this.#workers.sent(holder, order.fence);
        this.#time.after(this.#travelMs(), () => {
          const reply = this.#arrive(core, row, holder, order);
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
      const silent = this.#network.isApart(core.name, row.address) || this.#strikes(this.faults.unreadable);
      const reply = silent ? 'no-answer' : this.#workers.report(row.address, row.id);
      this.#time.after(silent ? CALL_WAIT_MS : 0.5 + this.#dice.next() * 4, () =>
        core.perform(running, () => done(reply)),
      );
    });
  }

  /** When the platform's list could not be read last. */
  get listFailedMs(): number {
    return this.#listFailedMs;
  }

  /** Whether the platform's list can be read now. */
  readsList(): boolean {
    const fails = this.#strikes(this.faults.unreadable);
    if (fails) this.#listFailedMs = this.#time.nowMs();
    return !fails;
  }

  #strikes(share: number): boolean {
    return share > 0 && this.#dice.next() < share;
  }

  #travelMs(): number {
    const delayMs = this.#strikes(this.faults.delayed) ? this.#dice.next() * LONGEST_DELAY_MS : 0;
    return 0.5 + this.#dice.next() * 2 + delayMs;
  }

  /** An order arrives at a worker; undefined: its sender gets no answer. */
  #arrive(
    core: Machine,
    row: WorkerRecord,
    holder: string,
    order: WorkerOrder,
  ): WorkerOrderReply | undefined {
    const worker = this.#workers.workerAt(row.address);
    if (worker === undefined || this.#network.isCut(core.name, row.address)) return undefined;
    if (this.#strikes(this.faults.refused)) return 'refused';
    const reply = worker.order(row.id, holder, order);
    if (this.#network.isCut(row.address, core.name) || this.#strikes(this.faults.answerLost))
      return undefined;
    return this.#dice.next() >= this.#network.lossRatio ? reply : undefined;
  }
}
