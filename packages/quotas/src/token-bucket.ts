/** A token bucket whose refill may start later than its creation. */

/** Depth and refill rate of a bucket. */
export interface BucketConfig {
  readonly depth: number;
  readonly tokensPerMs: number;
}

/**
 * A token bucket. The caller passes the current time of a monotonic clock.
 * @example
 * const bucket = new TokenBucket({ depth: 5, tokensPerMs: 0.005 }, 5);
 * bucket.startRefill(nowMs);
 * bucket.take(2, nowMs); // 2
 */
export class TokenBucket {
  #config: BucketConfig;
  #level: number;
  /** Time up to which the refill is included in the level; undefined until the refill is started. */
  #refilledUntilMs: number | undefined;
  #wasFull = false;

  constructor(config: BucketConfig, level: number) {
    this.#config = config;
    this.#level = Math.min(level, config.depth);
  }

  get depth(): number {
    return this.#config.depth;
  }

  /** Whether the bucket has been full at any time since its refill started. */
  get wasFull(): boolean {
    return this.#wasFull;
  }

  /** Starts the refill at a time that may lie in the future. */
  startRefill(fromMs: number): void {
    this.#refilledUntilMs = fromMs;
  }

  /** Returns the current number of tokens, which can be negative after `reconfigure`. */
  level(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /** Adds the tokens of another bucket, up to the depth. */
  add(tokens: number): void {
    this.#level = Math.min(this.#config.depth, this.#level + Math.max(0, tokens));
  }

  /** Takes up to `wanted` whole tokens and returns how many were taken. */
  take(wanted: number, nowMs: number): number {
    this.#refill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#level)));
    this.#level -= taken;
    return taken;
  }

  /** Returns when the next whole token is available; undefined if the bucket is not refilled. */
  nextTokenMs(nowMs: number): number | undefined {
    this.#refill(nowMs);
    if (this.#level >= 1) return nowMs;
    if (this.#refilledUntilMs === undefined || this.#config.tokensPerMs <= 0) return undefined;
    return Math.max(nowMs, this.#refilledUntilMs) + (1 - this.#level) / this.#config.tokensPerMs;
  }

  /**
   * Changes the depth and refill rate. Tokens already taken stay taken: a lower depth lowers the level by the
   * same amount, to below zero if more tokens were taken than the new depth holds. A higher depth adds no
   * tokens.
   */
  reconfigure(config: BucketConfig, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= Math.max(0, this.#config.depth - config.depth);
    this.#config = config;
  }

  /** Empties the bucket and stops its refill. */
  drain(nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#level, 0);
    this.#config = { ...this.#config, tokensPerMs: 0 };
  }

  #refill(nowMs: number): void {
    if (this.#refilledUntilMs === undefined || nowMs <= this.#refilledUntilMs) return;
    const due = (nowMs - this.#refilledUntilMs) * this.#config.tokensPerMs;
    this.#refilledUntilMs = nowMs;
    this.#level = Math.min(this.#config.depth, this.#level + due);
    if (this.#level >= this.#config.depth) this.#wasFull = true;
  }
}
