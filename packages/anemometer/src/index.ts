/** Timings of failure detection. */
export interface AnemometerTimes {
  /** A member that has not answered for so long is suspected. */
  readonly suspectMs: number;
  /** A longer gap between own beats means that this process was frozen. */
  readonly pauseMs: number;
}

/**
 * Failure detection by round trips: a member counts as live only while it
 * answers our beats, so a cut in one direction is seen from both sides.
 * A process that slept does not blame the others for its own silence.
 * @example
 * const anemometer = new Anemometer({ suspectMs: 1500, pauseMs: 400 });
 * anemometer.watch('life-1', nowMs);
 * anemometer.answered('life-1', nowMs);
 * anemometer.suspects('life-1', nowMs + 2000); // true
 */
export class Anemometer {
  #times: AnemometerTimes;
  #answeredMs = new Map<string, number>();
  #reported = new Set<string>();
  #beatMs: number | undefined;

  constructor(times: AnemometerTimes) {
    this.#times = times;
  }

  /** Starts to watch a life, as if it had just answered. */
  watch(life: string, nowMs: number): void {
    if (!this.#answeredMs.has(life)) this.#answeredMs.set(life, nowMs);
  }

  answered(life: string, nowMs: number): void {
    this.#answeredMs.set(life, nowMs);
  }

  /** Reports a failure from elsewhere, such as a channel that lags too far. Final for this life. */
  report(life: string): void {
    this.#reported.add(life);
  }

  forget(life: string): void {
    this.#answeredMs.delete(life);
    this.#reported.delete(life);
  }

  /** Forgets all lives, as when this node starts again as a new member. */
  clear(): void {
    this.#answeredMs.clear();
    this.#reported.clear();
  }

  suspects(life: string, nowMs: number): boolean {
    if (this.#reported.has(life)) return true;
    const answeredMs = this.#answeredMs.get(life);
    return answeredMs === undefined || nowMs - answeredMs > this.#times.suspectMs;
  }

  /** True while the life has answered lately. */
  live(life: string, nowMs: number): boolean {
    return !this.suspects(life, nowMs);
  }

  /** To be called at every beat; returns how long this process itself was away. */
  beat(nowMs: number): number {
    const gapMs = this.#beatMs === undefined ? 0 : nowMs - this.#beatMs;
    this.#beatMs = nowMs;
    if (gapMs <= this.#times.pauseMs) return 0;
    for (const [life, answeredMs] of this.#answeredMs) this.#answeredMs.set(life, answeredMs + gapMs);
    return gapMs;
  }
}
