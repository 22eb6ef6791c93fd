/**
 * A token bucket that starts empty, so that the rate also holds across a change of coordinator.
 * @example
 * const bucket = new TokenBucket(nowMs);
 * bucket.refill(2, 1, laterMs); // two tokens a second, at most one in the bucket
 * if (bucket.hasToken) bucket.take();
 */
export class TokenBucket {
  #tokens = 0;
  #refilledMs: number;

  constructor(nowMs: number) {
    this.#refilledMs = nowMs;
  }

  /** Adds the tokens since the last call, up to the capacity. */
  refill(perS: number, capacity: number, nowMs: number): void {
    this.#tokens = Math.min(capacity, this.#tokens + (perS * (nowMs - this.#refilledMs)) / 1000);
    this.#refilledMs = nowMs;
  }

  /** Whether at least one token is available. */
  get hasToken(): boolean {
    return this.#tokens >= 1;
  }

  take(): void {
    this.#tokens -= 1;
  }
}
