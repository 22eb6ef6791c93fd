/**
 * A token bucket that starts empty, so that a new holder of a duty waits.
 * @example
 * const bucket = new TokenBucket(nowMs);
 * bucket.refill(2, 1, laterMs); // two tokens a second, one at most
 * if (bucket.isOpen) bucket.take();
 */
export class TokenBucket {
  #tokens = 0;
  #filledMs: number;

  constructor(nowMs: number) {
    this.#filledMs = nowMs;
  }

  /** Adds what has come since the last call. */
  refill(perS: number, most: number, nowMs: number): void {
    this.#tokens = Math.min(most, this.#tokens + (perS * (nowMs - this.#filledMs)) / 1000);
    this.#filledMs = nowMs;
  }

  /** Whether a token is there. */
  get isOpen(): boolean {
    return this.#tokens >= 1;
  }

  take(): void {
    this.#tokens -= 1;
  }
}
