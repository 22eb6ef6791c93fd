/** The application's deterministic state machine, which the group replicates. */
import type { Fault, FaultKind } from '@rainrun/common';
import type { Operation } from '@rainrun/messages';
import type { Result } from 'true-myth';

/** How one operation ended. */
export interface Outcome {
  readonly kind: 'agreed' | FaultKind;
  readonly detail: string;
}

/**
 * The application's own state as the group sees it: pure functions only, so
 * that every node that applies the same entries holds the same state.
 */
export interface StateMachine<S> {
  empty(): S;
  /** The state in two parts: one that every level can read, and what came with later levels. */
  encode(state: S): EncodedState;
  decode(encoded: EncodedState): Result<S, Fault>;
  /** Applies by the rules of a level of the protocol. */
  apply(state: S, operation: Operation, level: number): { state: S; outcome: Outcome };
  /** The state without what level 1 cannot carry. */
  withoutExtension(state: S): S;
}

/** The application's state as bytes. */
export interface EncodedState {
  readonly application: Uint8Array;
  readonly applicationExtension: Uint8Array;
}
