/** Determines when the models in a worker's report belong to the sequence in the same report. */
import type { WorkerReport } from './orders.js';

/**
 * Maximum age of each value in a worker's report; different values may have different ages. Measured on the
 * platform: at most 250 ms, with all values from the same time.
 */
export const MAX_REPORT_AGE_MS = 300;

/**
 * Observes the reports of one idle worker until its models are known to belong to its sequence.
 *
 * The sequence in a first report was reached by the time of its reply. A second report that is requested at
 * least `MAX_REPORT_AGE_MS` later shows the worker idle at a time after that, so its last order was done by
 * the second reply. The models in a third report, requested at least `MAX_REPORT_AGE_MS` after the second
 * reply, include the result of that order.
 * @example
 * const settling = new ReportSettling();
 * settling.observe(report, 0, 2); // false
 * settling.observe(report, 302, 304); // false
 * settling.observe(report, 604, 606); // true
 */
export class ReportSettling {
  #sequence = -1;
  /** When the first report with this sequence arrived. */
  #sequenceSeenMs = Infinity;
  /** When the first report arrived that shows the worker idle after its last order. */
  #idleSeenMs = Infinity;

  /** Records a report of an idle worker, and returns whether its models belong to its sequence. */
  observe({ sequence }: WorkerReport, askedMs: number, repliedMs: number): boolean {
    // A worker that has accepted no order still holds its initial models.
    if (sequence === 0) return true;
    if (sequence !== this.#sequence) {
      this.#sequence = sequence;
      this.#sequenceSeenMs = repliedMs;
      this.#idleSeenMs = Infinity;
      return false;
    }
    if (askedMs - this.#idleSeenMs >= MAX_REPORT_AGE_MS) return true;
    if (this.#idleSeenMs === Infinity && askedMs - this.#sequenceSeenMs >= MAX_REPORT_AGE_MS)
      this.#idleSeenMs = repliedMs;
    return false;
  }
}
