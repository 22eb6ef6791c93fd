import type { Step } from './worker-state.js';

/** Initial estimate, before the first observed load from disk. */
const INITIAL_RATIO = 0.2;
const MIN_RATIO = 0.02;
/** Weight of one observation in the estimate. */
const LEARNING_RATE = 0.5;
/**
 * A load that was already done at the first poll took less time than until then, by an unknown amount; it
 * counts as this ratio of it.
 */
const DONE_AT_FIRST_POLL_RATIO = 0.7;

/**
 * Estimates how long the workers of a service take to load a model from their own disk, as a ratio of the
 * load time from the model store. A worker does not announce the end of a load: it is polled from the
 * expected end on, and replies that it is busy until the load is done.
 * @example
 * const estimator = new DiskLoadEstimator();
 * estimator.observe(step, 4000, nowMs);
 * estimator.ratioToStore; // 0.19
 */
export class DiskLoadEstimator {
  #ratio = INITIAL_RATIO;

  /** Estimated time of a load from a worker's disk, as a ratio of the time of one from the store. */
  get ratioToStore(): number {
    return this.#ratio;
  }

  /** Records a finished load from disk, which ended between the worker's last busy reply and now. */
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
