/**
 * The history of an observed run: what operators and observers sent to the
 * cores, when, and what came back. The checkers read it; they know nothing of
 * the program that produced it.
 */

/** How one attempt ended, as its caller saw it. */
export type Outcome = 'acknowledged' | 'refused' | 'unknown';

/** One request on the wire. A caller that got no clear answer makes another attempt at the same order. */
export interface Attempt {
  readonly invokedMs: number;
  /** Infinity while no answer has come. */
  respondedMs: number;
  outcome: Outcome;
}

/** A change of the configuration by compare-and-set: it takes effect only on its base revision. */
export interface ChangeOrder {
  readonly id: string;
  /** The revision that has to be current for the change to take effect. */
  readonly base: number;
  readonly revision: number;
  /** False for a change that every core has to refuse. */
  readonly valid: boolean;
  readonly attempts: Attempt[];
}

/** A read that was answered. */
export interface Read {
  readonly reader: string;
  readonly invokedMs: number;
  readonly respondedMs: number;
  readonly revision: number;
  /** Which change wrote what was read; undefined before the first change. */
  readonly changeId: string | undefined;
}

/** An evacuation of a zone or its withdrawal. */
export interface ZoneOrder {
  readonly id: string;
  readonly zone: string;
  readonly evacuated: boolean;
  readonly attempts: Attempt[];
}

/** A look at whether a zone is evacuated. */
export interface ZoneRead {
  readonly reader: string;
  readonly zone: string;
  readonly atMs: number;
  readonly evacuated: boolean;
}

/** Everything that was observed in one run. */
export interface History {
  readonly changes: readonly ChangeOrder[];
  readonly reads: readonly Read[];
}

/**
 * When an order was first sent.
 * @example
 * firstInvokedMs([{ invokedMs: 5, respondedMs: 9, outcome: 'unknown' }]); // 5
 */
export function firstInvokedMs(attempts: readonly Attempt[]): number {
  return Math.min(...attempts.map((attempt) => attempt.invokedMs));
}

/**
 * When an order was first acknowledged; Infinity if it never was.
 * @example
 * firstAcknowledgedMs([{ invokedMs: 5, respondedMs: 9, outcome: 'unknown' }]); // Infinity
 */
export function firstAcknowledgedMs(attempts: readonly Attempt[]): number {
  const acknowledged = attempts.filter((attempt) => attempt.outcome === 'acknowledged');
  return Math.min(Infinity, ...acknowledged.map((attempt) => attempt.respondedMs));
}
