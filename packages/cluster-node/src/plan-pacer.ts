/**
 * Limits the processor time of placement planning, so that agreement, leases and operators' answers are not
 * delayed.
 *
 * Every edge reports demand many times a second. Planning on each report costs the number of edges times the
 * cost of one plan; with 67 edges, this alone kept the coordinator's processor fully busy. With pacing, plans
 * take at most a fixed fraction of the time, whatever one costs, and a cheap plan still runs almost
 * immediately.
 */

/** Shortest gap between two plans. */
const GAP_MIN_MS = 4;
/** The gap after a plan is this many times its duration, so planning takes at most a quarter of the time. */
const IDLE_FACTOR = 3;
/** Longest gap between two plans, however long a plan took. */
const GAP_MAX_MS = 250;

/**
 * Determines when the next plan is due.
 * @example
 * const pacer = new PlanPacer();
 * if (pacer.isDue(nowMs)) { plan(); pacer.recordPlan(nowMs, clock.nowMs()); }
 */
export class PlanPacer {
  #notBeforeMs = -Infinity;

  /** Whether a plan is due. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.#notBeforeMs;
  }

  /** Records when a plan began and ended. */
  recordPlan(beganMs: number, endedMs: number): void {
    const gapMs = Math.max(GAP_MIN_MS, IDLE_FACTOR * (endedMs - beganMs));
    this.#notBeforeMs = endedMs + Math.min(GAP_MAX_MS, gapMs);
  }
}
