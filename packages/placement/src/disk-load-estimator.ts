import type { Step } from './worker-state.js';

/** What a load from a worker's own disk is taken to cost until one has been seen, in parts of one from the store. */
const INITIAL_RATIO = 0.2;
const MIN_RATIO = 0.02;
/** How far one observation moves the estimate. */
const LEARNING_RATE = 0.5;
/** A load that was done when the worker was first asked took less than that; by how much is not known. */
const DONE_AT_FIRST_POLL_RATIO = 0.7;

/**
 * Learns how long the workers of a service take to load a model from their own disk, as a part of the time that a
 * load from the store of weights takes. A worker does not say when a load is done: it is asked at the time that is
 * expected, and until it is done it answers that it is busy.
 * @example
 * const time = new DiskLoadTime();
 * time.observe(step, 4000, nowMs);
 * time.partOfStore; // 0.19
 */
export class DiskLoadEstimator {
  #ratio = INITIAL_RATIO;

  /** A load from a worker's disk takes this part of one from the store. */
  get ratioToStore(): number {
    return this.#ratio;
  }

  /** Takes note of a load from disk that is done: it ended between the worker's last busy answer and now. */
  observe(
    { startedMs, busyMs }: Pick<Step, 'startedMs' | 'busyMs'>,
    fromStoreMs: number,
    nowMs: number,
  ): void {
    if (fromStoreMs <= 0 || !Number.isFinite(startedMs)) return;
    const tookMs =
      busyMs > startedMs ? (busyMs + nowMs) / 2 - startedMs : (nowMs - startedMs) * DONE_AT_FIRST_POLL_RATIO;
    const ratio = Math.min(1, Math.max(MIN_RATIO, tookMs / fromStoreMs));
    this.#ratio += (ratio - this.#ratio) * LEARNING_RATE;
  }
}
