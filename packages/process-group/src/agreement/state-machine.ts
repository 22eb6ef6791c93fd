/** The application's deterministic state machine, which the group replicates. */
import type { Fault, FaultKind } from '@rainrun/common';
import type { Operation } from '@rainrun/messages';
import type { Result } from 'true-myth';

/** The result of one operation. */
export interface Outcome {
  readonly kind: 'agreed' | FaultKind;
  readonly detail: string;
}

/**
 * The application's state as the group sees it. All functions are pure, so that every node that applies
 * the same entries holds the same state.
 */
export interface StateMachine<S> {
  /** The state before the first operation. */
  empty(): S;
  /** Encodes the state in two parts: one that every protocol level can read, and what later levels added. */
  encode(state: S): EncodedState;
  /** Decodes a state; fails if the bytes are not valid. */
  decode(encoded: EncodedState): Result<S, Fault>;
  /** Applies an operation by the rules of a protocol level. */
  apply(state: S, operation: Operation, level: number): { state: S; outcome: Outcome };
  /** The state without the parts that protocol level 1 cannot carry. */
  withoutExtension(state: S): S;
}

/** The application's state, encoded. */
export interface EncodedState {
  readonly application: Uint8Array;
  readonly applicationExtension: Uint8Array;
}
