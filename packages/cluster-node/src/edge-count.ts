/** Number of edges, by the coordinator's count of its subscribers. Platform family. */
import type { StateUpdate } from '@rainrun/messages';
import { epochOfTable } from './edge-worker-table.js';

/** Time within which all edges subscribe to a new coordinator; until then its count may be too low. */
const SETTLING_MS = 2500;

/**
 * The number of edges. A new coordinator can raise it immediately, but lower it only after SETTLING_MS.
 * @example
 * const count = new EdgeCount();
 * count.apply(update, nowMs);
 */
export class EdgeCount {
  #value = 1;
  /** Id of the worker table of the coordinator whose count is used. */
  #tableId = '';
  /** When the first count of that coordinator arrived. */
  #sinceMs = -Infinity;

  get value(): number {
    return this.#value;
  }

  apply({ hasLease, tableId, edgeCount }: StateUpdate, nowMs: number): void {
    // A coordinator that has lost its majority may still answer, with no subscribers left to count.
    if (!hasLease || tableId === '' || epochOfTable(tableId) < epochOfTable(this.#tableId)) return;
    if (tableId !== this.#tableId) {
      this.#tableId = tableId;
      this.#sinceMs = nowMs;
    }
    const minimum = nowMs - this.#sinceMs < SETTLING_MS ? this.#value : 1;
    this.#value = Math.max(minimum, edgeCount);
  }
}
