/**
 * The history of a run: requests that operators and observers sent to the cores, with their times and
 * outcomes. The checkers read only this history and do not depend on the program that produced it.
 */

/** Outcome of one attempt as its caller observed it. */
export type Outcome = 'acknowledged' | 'refused' | 'unknown';

/** One request on the wire. A caller without a definite answer makes another attempt at the same order. */
export interface Attempt {
  readonly invokedMs: number;
  /** Infinity while there is no answer. */
  respondedMs: number;
  outcome: Outcome;
}

/** A change of the configuration by compare-and-set: it takes effect only on its base revision. */
export interface ChangeOrder {
  readonly id: string;
  /** Revision that must be current for the change to take effect. */
  readonly base: number;
  readonly revision: number;
  /** False for a change that every core must refuse. */
  readonly valid: boolean;
  readonly attempts: Attempt[];
}

/** A read that was answered. */
export interface Read {
  readonly reader: string;
  readonly invokedMs: number;
  readonly respondedMs: number;
  readonly revision: number;
  /** ID of the change that wrote the document that was read; undefined before the first change. */
  readonly changeId: string | undefined;
}

/** An order to evacuate a zone or to return it to service. */
export interface ZoneOrder {
  readonly id: string;
  readonly zone: string;
  readonly evacuated: boolean;
  readonly attempts: Attempt[];
}

/** An observation of whether a node has a zone as evacuated. */
export interface ZoneRead {
  readonly reader: string;
  readonly zone: string;
  readonly atMs: number;
  readonly evacuated: boolean;
}

/** The changes and reads of one run. */
export interface History {
  readonly changes: readonly ChangeOrder[];
  readonly reads: readonly Read[];
}

/**
 * Returns the time at which an order was first sent.
 * @example
 * firstInvokedMs([{ invokedMs: 5, respondedMs: 9, outcome: 'unknown' }]); // 5
 */
export function firstInvokedMs(attempts: readonly Attempt[]): number {
  return Math.min(...attempts.map((attempt) => attempt.invokedMs));
}

/**
 * Returns the time at which an order was first acknowledged; Infinity if it never was.
 * @example
 * firstAcknowledgedMs([{ invokedMs: 5, respondedMs: 9, outcome: 'unknown' }]); // Infinity
 */
export function firstAcknowledgedMs(attempts: readonly Attempt[]): number {
  const acknowledged = attempts.filter((attempt) => attempt.outcome === 'acknowledged');
  return Math.min(Infinity, ...acknowledged.map((attempt) => attempt.respondedMs));
}
