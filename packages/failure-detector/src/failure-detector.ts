/** Failure detection by heartbeats: tells live incarnations from those suspected to have failed. */

/** Timings of failure detection. */
export interface FailureDetectorTimes {
  /** A member that has not answered for this time is suspected. */
  readonly suspectMs: number;
  /** A longer gap between this process's own heartbeats means that the process itself was suspended. */
  readonly pauseMs: number;
}

/**
 * Detects failures by round trips: a member counts as live only while it answers this node's heartbeats, so
 * that both sides detect a partition in one direction. A process that was suspended does not suspect the
 * other members because of its own pause.
 * @example
 * const detector = new FailureDetector({ suspectMs: 1500, pauseMs: 400 });
 * detector.watch('incarnation-1', nowMs);
 * detector.recordAnswer('incarnation-1', nowMs);
 * detector.suspects('incarnation-1', nowMs + 2000); // true
 */
export class FailureDetector {
  #times: FailureDetectorTimes;
  #answeredMs = new Map<string, number>();
  #reported = new Set<string>();
  #heartbeatMs: number | undefined;

  constructor(times: FailureDetectorTimes) {
    this.#times = times;
  }

  /** Starts to watch an incarnation, as if it had just answered. */
  watch(incarnation: string, nowMs: number): void {
    if (!this.#answeredMs.has(incarnation)) this.#answeredMs.set(incarnation, nowMs);
  }

  /** Records an answer to a heartbeat. */
  recordAnswer(incarnation: string, nowMs: number): void {
    this.#answeredMs.set(incarnation, nowMs);
  }

  /**
   * Marks an incarnation as failed for another reason, such as a channel that lags too far. This is final.
   */
  markFailed(incarnation: string): void {
    this.#reported.add(incarnation);
  }

  /** Stops watching an incarnation, and clears its reported failure. */
  remove(incarnation: string): void {
    this.#answeredMs.delete(incarnation);
    this.#reported.delete(incarnation);
  }

  /** Removes all incarnations, for example when this node rejoins as a new incarnation. */
  clear(): void {
    this.#answeredMs.clear();
    this.#reported.clear();
  }

  /** Whether an incarnation is suspected: reported, not watched, or without an answer for `suspectMs`. */
  suspects(incarnation: string, nowMs: number): boolean {
    if (this.#reported.has(incarnation)) return true;
    const answeredMs = this.#answeredMs.get(incarnation);
    return answeredMs === undefined || nowMs - answeredMs > this.#times.suspectMs;
  }

  /** Whether an incarnation is not suspected: the opposite of `suspects`. */
  isLive(incarnation: string, nowMs: number): boolean {
    return !this.suspects(incarnation, nowMs);
  }

  /** Called at every heartbeat. Returns for how many milliseconds this process itself was suspended, or 0. */
  tick(nowMs: number): number {
    const gapMs = this.#heartbeatMs === undefined ? 0 : nowMs - this.#heartbeatMs;
    this.#heartbeatMs = nowMs;
    if (gapMs <= this.#times.pauseMs) return 0;
    for (const [incarnation, answeredMs] of this.#answeredMs)
      this.#answeredMs.set(incarnation, answeredMs + gapMs);
    return gapMs;
  }
}
