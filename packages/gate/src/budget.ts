const WINDOW_MS = 10_000;

/**
 * The retry budget of one node: a fifth of its own first sends in any ten
 * seconds, and this node's part of the small allowance for the fleet.
 * @example
 * const budget = new RetryBudget();
 * budget.first(nowMs);
 * budget.take(0.2, 1, nowMs); // true: one extra from the allowance
 */
export class RetryBudget {
  #firsts: number[] = [];
  #extras: number[] = [];

  /** Counts a first send. */
  first(nowMs: number): void {
    this.#firsts.push(nowMs);
    this.#trim(nowMs);
  }

  /** Takes one extra send, if the budget allows it now. */
  take(ratio: number, allowance: number, nowMs: number): boolean {
    this.#trim(nowMs);
    if (this.#extras.length + 1 > ratio * this.#firsts.length + allowance) return false;
    this.#extras.push(nowMs);
    return true;
  }

  #trim(nowMs: number): void {
    while ((this.#firsts[0] ?? Infinity) <= nowMs - WINDOW_MS) this.#firsts.shift();
    while ((this.#extras[0] ?? Infinity) <= nowMs - WINDOW_MS) this.#extras.shift();
  }
}
