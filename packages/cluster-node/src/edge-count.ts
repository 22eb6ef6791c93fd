/** How many edges there are, by the coordinator's count of its subscribers. Platform family. */
import type { StateUpdate } from '@rainrun/messages';
import { epochOfTable } from './edge-worker-table.js';

/** For so long a new coordinator may not have a subscription of every edge. */
const SETTLING_MS = 2500;

/**
 * The count of edges, which a new coordinator may raise at once, and lower only after it settled.
 * @example
 * const count = new EdgeCount();
 * count.apply(update, nowMs);
 */
export class EdgeCount {
  #value = 1;
  /** The table whose coordinator counts, and since when it does. */
  #tableId = '';
  #sinceMs = -Infinity;

  get value(): number {
    return this.#value;
  }

  apply({ hasLease, tableId, edgeCount }: StateUpdate, nowMs: number): void {
    // A coordinator that has lost its majority may have no subscriber left, and still answer.
    if (!hasLease || tableId === '' || epochOfTable(tableId) < epochOfTable(this.#tableId)) return;
    if (tableId !== this.#tableId) {
      this.#tableId = tableId;
      this.#sinceMs = nowMs;
    }
    const minimum = nowMs - this.#sinceMs < SETTLING_MS ? this.#value : 1;
    this.#value = Math.max(minimum, edgeCount);
  }
}
