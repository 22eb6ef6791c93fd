/**
 * The retry budget of one edge: a token bucket. Each first attempt adds a ratio of a token, and the bucket
 * holds at most this edge's part of the fleet's allowance. Therefore, in any window of time, the retries of
 * all edges stay within the ratio of the first attempts plus the allowance, also when edges restart, join or
 * leave: a new incarnation starts with an empty bucket.
 *
 * A token is reserved when a retry is granted and spent when the retry's first byte is written, so that
 * retries that are still waiting cannot exceed the budget together.
 * @example
 * const budget = new RetryBudget();
 * budget.setAllowance('incarnation-1', 1);
 * for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
 * budget.reserve(); // true: five first attempts earned one retry
 * budget.spend(); // true: the retry is sent now
 */
export class RetryBudget {
  #incarnation = '';
  #edgeAllowance = 0;
  #tokens = 0;
  #reserved = 0;

  /** Sets the incarnation and its part of the allowance; a change of incarnation empties the bucket. */
  setAllowance(incarnation: string, allowance: number): void {
    if (incarnation !== this.#incarnation) this.#tokens = 0;
    this.#incarnation = incarnation;
    this.#edgeAllowance = allowance;
    this.#tokens = Math.min(this.#tokens, allowance);
  }

  /** Whether this edge's part of the allowance is large enough for a whole token, and so for any retry. */
  get canEverRetry(): boolean {
    return this.#edgeAllowance >= 1 - ROUNDING_TOLERANCE;
  }

  /** Records the first attempt of a request, which earns `ratio` of a token. */
  recordFirstAttempt(ratio: number): void {
    this.#tokens = Math.min(this.#edgeAllowance, this.#tokens + ratio);
  }

  /** Reserves a token for one retry; false if every token is already reserved. */
  reserve(): boolean {
    if (this.#tokens - this.#reserved < 1 - ROUNDING_TOLERANCE) return false;
    this.#reserved += 1;
    return true;
  }

  /** Gives back a reservation that was not used. */
  release(): void {
    this.#reserved -= 1;
  }

  /** Spends a reserved token; false if a change of incarnation or a smaller allowance has removed it. */
  spend(): boolean {
    this.#reserved -= 1;
    if (this.#tokens < 1 - ROUNDING_TOLERANCE) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Tolerance for rounding errors, so that five additions of 0.2 count as one whole token. */
const ROUNDING_TOLERANCE = 1e-9;
