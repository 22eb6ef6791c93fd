/** Tells when what a worker reports as loaded belongs to the count of orders that the same report names. */
import type { WorkerReport } from './orders.js';

/**
 * Each value of a worker's report is as it stood up to so long before, and no two need be of one moment. Measured on
 * the platform: 250 ms at most, all values of one moment.
 */
export const MAX_REPORT_AGE_MS = 300;

/**
 * Follows the reports of one worker that is at no order until its models are known to be those of its count.
 *
 * The count of a first report was true by the time of its reply. A second one that was asked a report's age later says
 * of a moment after that count was reached that the worker is idle, so its last order was done by the second reply.
 * The models of a third one, asked a report's age after that, are what the order left.
 * @example
 * const settling = new ReportSettling();
 * settling.observe(report, 0, 2); // false
 * settling.observe(report, 302, 304); // false
 * settling.observe(report, 604, 606); // true
 */
export class ReportSettling {
  #sequence = -1;
  /** When the first report with this count was replied. */
  #sequenceSeenMs = Infinity;
  /** When the first reply came that shows the worker idle after its last order. */
  #idleSeenMs = Infinity;

  /** Takes a report of an idle worker; says whether its models are those of its count. */
  observe({ sequence }: WorkerReport, askedMs: number, repliedMs: number): boolean {
    // A worker that has taken no order holds what it held from the start.
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
