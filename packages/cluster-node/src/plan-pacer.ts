/**
 * Keeps the planning of placement from taking the processor from agreement, leases and operators' answers.
 *
 * Demand arrives many times a second from every edge. Planning on each arrival costs in proportion to the
 * number of edges times the cost of one plan; a coordinator of 67 edges was full from that alone. Here plans
 * take at most a fixed part of the time, whatever they cost, and a cheap plan still runs almost at once.
 */

/** No two plans are nearer to each other than this. */
const GAP_MIN_MS = 4;
/** After a plan this many times its cost is left to everything else: planning takes a quarter of the time at most. */
const IDLE_FACTOR = 3;
/** However dear a plan was, the next one is due after this. */
const GAP_MAX_MS = 250;

/**
 * Says when the next plan is due.
 * @example
 * const pacer = new PlanPacer();
 * if (pacer.isDue(nowMs)) { plan(); pacer.recordPlan(nowMs, clock.nowMs()); }
 */
export class PlanPacer {
  #notBeforeMs = -Infinity;

  /** Whether a plan may be made now. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.#notBeforeMs;
  }

  /** Notes a plan by when it began and ended. */
  recordPlan(beganMs: number, endedMs: number): void {
    const gapMs = Math.max(GAP_MIN_MS, IDLE_FACTOR * (endedMs - beganMs));
    this.#notBeforeMs = endedMs + Math.min(GAP_MAX_MS, gapMs);
  }
}
