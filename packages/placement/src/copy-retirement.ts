/** Retires surplus copies of models of the platform system before they are unloaded. */
import type { OrderSender } from './order-sender.js';
import { isObserved, MIN_RESIDENCE_MS, type PlacementRound } from './placement-round.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';

/** Minimum time between the retirements of two copies of one model, in milliseconds. */
const RETIRE_INTERVAL_MS = 400;

/**
 * Retires copies that a model does not need, one at a time: they get no more requests, so that nothing runs
 * there when their memory is needed. Retired copies are restored when their model needs them again.
 * @example
 * retirement.retire(round);
 * retirement.restore(round, 'model-1');
 */
export class CopyRetirement {
  #table: WorkerTable;
  #sender: OrderSender;
  /** When a copy of a model was last retired, by `service/model`. */
  #lastRetiredMs = new Map<string, number>();

  constructor(table: WorkerTable, sender: OrderSender) {
    this.#table = table;
    this.#sender = sender;
  }

  retire(round: PlacementRound): void {
    const { engine, copies, targets, nowMs } = round;
    for (const [model, count] of copies) {
      if (count <= Math.max(1, targets.get(model)?.retained ?? 1) || !engine.models.has(model)) continue;
      if (!isObserved(round, model)) continue;
      const key = `${engine.service}/${model}`;
      if (nowMs - (this.#lastRetiredMs.get(key) ?? -Infinity) < RETIRE_INTERVAL_MS) continue;
      const holders = round.rows.filter((row) => this.#mayRetire(row, model, nowMs));
      const fullest = holders.sort((one, other) => other.models.size - one.models.size)[0];
      if (fullest === undefined || holders.length < 2) continue;
      this.#lastRetiredMs.set(key, nowMs);
      fullest.models.delete(model);
      this.#sender.state(fullest).retired.add(model);
      this.#table.touch(fullest, model);
      copies.set(model, count - 1);
    }
  }

  /** Restores a retired copy if there is one, without a load; returns whether there was. */
  restore({ rows, copies }: PlacementRound, model: string): boolean {
    for (const row of rows) {
      const state = this.#sender.state(row);
      const adapters = state.holdings.get(model);
      if (adapters === undefined || !state.retired.has(model)) continue;
      if (state.steps.some((step) => step.model === model)) continue;
      state.retired.delete(model);
      row.models.set(model, new Set(adapters));
      this.#table.touch(row, model);
      copies.set(model, (copies.get(model) ?? 0) + 1);
      return true;
    }
    return false;
  }

  #mayRetire(row: WorkerRecord, model: string, nowMs: number): boolean {
    const state = this.#sender.state(row);
    return (
      row.models.has(model) && state.steps.length === 0 && state.loadedForMs(model, nowMs) > MIN_RESIDENCE_MS
    );
  }
}
