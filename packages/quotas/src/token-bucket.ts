/** A token bucket that may begin to fill later than it was made. */

/** How deep a bucket is and how fast it fills. */
export interface BucketConfig {
  readonly depth: number;
  readonly tokensPerMs: number;
}

/**
 * A token bucket on a monotonic clock that its caller reads.
 * @example
 * const bucket = new TokenBucket({ depth: 5, tokensPerMs: 0.005 }, 5);
 * bucket.beginFilling(nowMs);
 * bucket.take(2, nowMs); // 2
 */
export class TokenBucket {
  #config: BucketConfig;
  #level: number;
  /** Tokens due until this moment are in the level; undefined while it does not fill at all. */
  #refilledUntilMs: number | undefined;
  #wasFull = false;

  constructor(config: BucketConfig, level: number) {
    this.#config = config;
    this.#level = Math.min(level, config.depth);
  }

  get depth(): number {
    return this.#config.depth;
  }

  /** Whether the bucket was full at some moment since it began to fill. */
  get wasFull(): boolean {
    return this.#wasFull;
  }

  /** Lets the bucket fill from a moment on, which may lie ahead. */
  startRefill(fromMs: number): void {
    this.#refilledUntilMs = fromMs;
  }

  /** Tokens in the bucket now. */
  level(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /** Adds tokens that another bucket held. */
  add(tokens: number): void {
    this.#level = Math.min(this.#config.depth, this.#level + Math.max(0, tokens));
  }

  /** Takes up to so many whole tokens; returns how many. */
  take(wanted: number, nowMs: number): number {
    this.#refill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#level)));
    this.#level -= taken;
    return taken;
  }

  /** When the next whole token will be there; undefined where it never will. */
  nextTokenMs(nowMs: number): number | undefined {
    this.#refill(nowMs);
    if (this.#level >= 1) return nowMs;
    if (this.#refilledUntilMs === undefined || this.#config.tokensPerMs <= 0) return undefined;
    return Math.max(nowMs, this.#refilledUntilMs) + (1 - this.#level) / this.#config.tokensPerMs;
  }

  /**
   * Goes on with another depth and speed. What was taken stays taken: where the depth falls, the level falls with it,
   * below zero if more was taken than the new depth holds. A depth that grows brings no tokens.
   */
  reconfigure(config: BucketConfig, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= Math.max(0, this.#config.depth - config.depth);
    this.#config = config;
  }

  /** Empties the bucket and stops filling it. */
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
