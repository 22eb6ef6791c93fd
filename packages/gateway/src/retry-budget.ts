/**
 * The retry budget of one edge: a bucket that earns a ratio of a token with
 * each request that is sent for the first time, and holds no more than this
 * edge's part of the fleet's allowance. So in any window of time the extra
 * sends of all edges stay within the ratio of the first ones plus the
 * allowance, whoever restarts, joins or leaves: a new incarnation begins empty.
 *
 * A retry is reserved when it is promised and spent when its first byte
 * leaves, so that those which wait cannot pile up.
 * @example
 * const budget = new RetryBudget();
 * budget.setAllowance('incarnation-1', 1);
 * for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
 * budget.reserve(); // true: five requests earned one extra send
 * budget.spend(); // true: it leaves now
 */
export class RetryBudget {
  #incarnation = '';
  #edgeAllowance = 0;
  #tokens = 0;
  #reserved = 0;

  /** Says which incarnation this is and what its part of the allowance is; another incarnation begins with nothing. */
  setAllowance(incarnation: string, allowance: number): void {
    if (incarnation !== this.#incarnation) this.#tokens = 0;
    this.#incarnation = incarnation;
    this.#edgeAllowance = allowance;
    this.#tokens = Math.min(this.#tokens, allowance);
  }

  /** Whether this edge's part can ever pay for an extra send. */
  get canEverRetry(): boolean {
    return this.#edgeAllowance >= 1 - ROUNDING_TOLERANCE;
  }

  /** A request is sent for the first time. */
  recordFirstAttempt(ratio: number): void {
    this.#tokens = Math.min(this.#edgeAllowance, this.#tokens + ratio);
  }

  /** Promises one extra send, if there is a token that is not promised yet. */
  reserve(): boolean {
    if (this.#tokens - this.#reserved < 1 - ROUNDING_TOLERANCE) return false;
    this.#reserved += 1;
    return true;
  }

  /** The extra send is not wanted any more. */
  release(): void {
    this.#reserved -= 1;
  }

  /** A reserved extra send leaves now; false when its token has gone with an earlier incarnation or a larger part. */
  spend(): boolean {
    this.#reserved -= 1;
    if (this.#tokens < 1 - ROUNDING_TOLERANCE) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Five fifths make one. */
const ROUNDING_TOLERANCE = 1e-9;
