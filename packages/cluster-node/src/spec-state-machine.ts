/** The spec family's state as the replicated state machine of the process group. */
import type { Outcome, StateMachine } from '@rainrun/process-group';
import {
  applyToSpecState,
  decodeSpecState,
  EMPTY_SPEC_STATE,
  encodeSpecState,
  specStateWithoutExtension,
  type SpecState,
} from '@rainrun/configuration';

/** The state machine that every node of the spec family replicates. */
export const SPEC_STATE_MACHINE: StateMachine<SpecState> = {
  empty: () => EMPTY_SPEC_STATE,
  encode: encodeSpecState,
  decode: decodeSpecState,
  withoutExtension: specStateWithoutExtension,
  apply(state, operation, level): { state: SpecState; outcome: Outcome } {
    const { id, kind } = operation;
    return applyToSpecState(state, { id, kind, payload: new TextDecoder().decode(operation.payload) }, level);
  },
};
