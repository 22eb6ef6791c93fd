/** A token bucket that may begin to fill later than it was made. */

/** How deep a bucket is and how fast it fills. */
export interface BucketShape {
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
  #shape: BucketShape;
  #level: number;
  /** Tokens due until this moment are in the level; undefined while it does not fill at all. */
  #filledUntilMs: number | undefined;
  #wasFull = false;

  constructor(shape: BucketShape, level: number) {
    this.#shape = shape;
    this.#level = Math.min(level, shape.depth);
  }

  get depth(): number {
    return this.#shape.depth;
  }

  /** Whether the bucket was full at some moment since it began to fill. */
  get wasFull(): boolean {
    return this.#wasFull;
  }

  /** Lets the bucket fill from a moment on, which may lie ahead. */
  beginFilling(fromMs: number): void {
    this.#filledUntilMs = fromMs;
  }

  /** Tokens in the bucket now. */
  level(nowMs: number): number {
    this.#fill(nowMs);
    return this.#level;
  }

  /** Adds tokens that another bucket held. */
  add(tokens: number): void {
    this.#level = Math.min(this.#shape.depth, this.#level + Math.max(0, tokens));
  }

  /** Takes up to so many whole tokens; returns how many. */
  take(wanted: number, nowMs: number): number {
    this.#fill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#level)));
    this.#level -= taken;
    return taken;
  }

  /** When the next whole token will be there; undefined where it never will. */
  nextTokenMs(nowMs: number): number | undefined {
    this.#fill(nowMs);
    if (this.#level >= 1) return nowMs;
    if (this.#filledUntilMs === undefined || this.#shape.tokensPerMs <= 0) return undefined;
    return Math.max(nowMs, this.#filledUntilMs) + (1 - this.#level) / this.#shape.tokensPerMs;
  }

  /**
   * Goes on with another depth and speed. What was taken stays taken: where the depth falls, the level falls with it,
   * below zero if more was taken than the new depth holds. A depth that grows brings no tokens.
   */
  reshape(shape: BucketShape, nowMs: number): void {
    this.#fill(nowMs);
    this.#level -= Math.max(0, this.#shape.depth - shape.depth);
    this.#shape = shape;
  }

  /** Empties the bucket and stops filling it. */
  drain(nowMs: number): void {
    this.#fill(nowMs);
    this.#level = Math.min(this.#level, 0);
    this.#shape = { ...this.#shape, tokensPerMs: 0 };
  }

  #fill(nowMs: number): void {
    if (this.#filledUntilMs === undefined || nowMs <= this.#filledUntilMs) return;
    const due = (nowMs - this.#filledUntilMs) * this.#shape.tokensPerMs;
    this.#filledUntilMs = nowMs;
    this.#level = Math.min(this.#shape.depth, this.#level + due);
    if (this.#level >= this.#shape.depth) this.#wasFull = true;
  }
}
