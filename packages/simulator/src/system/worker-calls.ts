/** Calls of cores to workers: orders and reports. */
import type { CoreReplica } from '@rainrun/cluster-node';
import type { Dice } from '@rainrun/common';
import type { StockOrder, StockReply, WorkerRecord } from '@rainrun/placement';
import type { VirtualTime } from '../world.js';
import type { Machine } from './machine.js';
import type { Network } from './network.js';
import type { WorkerPool } from './workers.js';

/** What a worker says that it holds: adapters by model. */
export type Holdings = ReadonlyMap<string, ReadonlySet<string>>;

const CALL_WAIT_MS = 900;

/**
 * The way from cores to workers and back.
 * @example
 * calls.order(machine, replica, row, order, (reply) => note(reply));
 */
export class WorkerCalls {
  #time: VirtualTime;
  #dice: Dice;
  #network: Network;
  #workers: WorkerPool;

  constructor(time: VirtualTime, dice: Dice, network: Network, workers: WorkerPool) {
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
    order: StockOrder,
    done: (reply: StockReply) => void,
  ): void {
    const running = core.running;
    if (running?.replica !== replica) return;
    let replied = false;
    const finish = (reply: StockReply, waitMs: number): void => {
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
        if (replied || replica.group.dutyEpoch() !== order.fence) return finish('no-answer', 0);
        const holder = replica.group.seat.incarnation;
        this.#workers.sent(holder, order.fence);
        this.#time.after(0.5 + this.#dice.next() * 2, () => {
          const worker = this.#workers.workerAt(row.address);
          if (worker === undefined || this.#network.isCut(core.name, row.address)) return;
          const reply = worker.order(row.id, holder, order);
          if (reply === undefined || this.#network.isCut(row.address, core.name)) return;
          if (this.#dice.next() >= this.#network.lossRatio) finish(reply, 0.5 + this.#dice.next() * 2);
        });
      }),
    );
  }

  /** Asks a worker what it holds. */
  report(core: Machine, row: WorkerRecord, done: (models: Holdings | undefined) => void): void {
    const running = core.running;
    if (running === undefined) return;
    this.#time.after(0.5 + this.#dice.next() * 4, () => {
      const silent = this.#network.isApart(core.name, row.address);
      const models = silent ? undefined : this.#workers.report(row.address, row.id);
      this.#time.after(silent ? CALL_WAIT_MS : 0.5 + this.#dice.next() * 4, () =>
        core.perform(running, () => done(models)),
      );
    });
  }
}
