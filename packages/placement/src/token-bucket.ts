/**
 * A token bucket that starts empty, so that a new holder of a duty waits.
 * @example
 * const bucket = new TokenBucket(nowMs);
 * bucket.refill(2, 1, laterMs); // two tokens a second, one at capacity
 * if (bucket.isOpen) bucket.take();
 */
export class TokenBucket {
  #tokens = 0;
  #refilledMs: number;

  constructor(nowMs: number) {
    this.#refilledMs = nowMs;
  }

  /** Adds what has come since the last call. */
  refill(perS: number, capacity: number, nowMs: number): void {
    this.#tokens = Math.min(capacity, this.#tokens + (perS * (nowMs - this.#refilledMs)) / 1000);
    this.#refilledMs = nowMs;
  }

  /** Whether a token is there. */
  get hasToken(): boolean {
    return this.#tokens >= 1;
  }

  take(): void {
    this.#tokens -= 1;
  }
}
