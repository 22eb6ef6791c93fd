/** Exponential backoff: how long to wait before the next attempt, by how many have failed. Deterministic; no jitter. */

/** How the wait before an attempt grows with the failures before it. */
export interface BackoffPolicy {
  /** The wait after no failure, or after the first one: whichever the caller counts as zero. In milliseconds. */
  readonly firstMs: number;
  /** No wait is longer. In milliseconds. */
  readonly maxMs: number;
  /** Each further failure multiplies the wait by this; 2 where it is not given. */
  readonly growth?: number;
}

/**
 * The wait before the next attempt, in milliseconds: `firstMs * growth ** failures`, at most `maxMs`.
 * `failures` counts from zero and may be large; jitter, where wanted, is the caller's.
 * @example
 * backoffMs({ firstMs: 500, maxMs: 4000 }, 2); // 2000
 */
export function backoffMs({ firstMs, maxMs, growth = 2 }: BackoffPolicy, failures: number): number {
  return Math.min(maxMs, firstMs * growth ** failures);
}
