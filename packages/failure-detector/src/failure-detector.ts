/** Failure detection by heartbeats: which incarnations answer, and which are suspected to have failed. */

/** Timings of failure detection. */
export interface FailureDetectorTimes {
  /** A member that has not answered for so long is suspected. */
  readonly suspectMs: number;
  /** A longer gap between own heartbeats means that this process was frozen. */
  readonly pauseMs: number;
}

/**
 * Failure detection by round trips: a member counts as live only while it
 * answers our heartbeats, so a partition in one direction is seen from both sides.
 * A process that was suspended does not suspect the others for its own time-out.
 * @example
 * const detector = new FailureDetector({ suspectMs: 1500, pauseMs: 400 });
 * detector.watch('incarnation-1', nowMs);
 * detector.answered('incarnation-1', nowMs);
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
  answered(incarnation: string, nowMs: number): void {
    this.#answeredMs.set(incarnation, nowMs);
  }

  /** Reports a failure from elsewhere, such as a channel that lags too far. Final for this incarnation. */
  report(incarnation: string): void {
    this.#reported.add(incarnation);
  }

  /** Stops watching an incarnation, and drops what was reported of it. */
  remove(incarnation: string): void {
    this.#answeredMs.delete(incarnation);
    this.#reported.delete(incarnation);
  }

  /** Forgets all incarnations, as when this node rejoins as a new incarnation. */
  clear(): void {
    this.#answeredMs.clear();
    this.#reported.clear();
  }

  /** Whether an incarnation has failed as far as is known here: reported, not watched, or silent for `suspectMs`. */
  suspects(incarnation: string, nowMs: number): boolean {
    if (this.#reported.has(incarnation)) return true;
    const answeredMs = this.#answeredMs.get(incarnation);
    return answeredMs === undefined || nowMs - answeredMs > this.#times.suspectMs;
  }

  /** True while the incarnation has answered lately. */
  live(incarnation: string, nowMs: number): boolean {
    return !this.suspects(incarnation, nowMs);
  }

  /** To be called at every heartbeat; returns for how many milliseconds this process itself was suspended, or 0. */
  tick(nowMs: number): number {
    const gapMs = this.#heartbeatMs === undefined ? 0 : nowMs - this.#heartbeatMs;
    this.#heartbeatMs = nowMs;
    if (gapMs <= this.#times.pauseMs) return 0;
    for (const [incarnation, answeredMs] of this.#answeredMs)
      this.#answeredMs.set(incarnation, answeredMs + gapMs);
    return gapMs;
  }
}
