/** The platform family's deployment as the replicated state machine of the process group. */
import type { Outcome, StateMachine } from '@rainrun/process-group';
import {
  applyToDeployment,
  decodeDeployment,
  EMPTY_DEPLOYMENT,
  encodeDeployment,
  type Deployment,
} from '@rainrun/configuration';

/** The state machine that every core of the platform family replicates. */
export const DEPLOYMENT_STATE_MACHINE: StateMachine<Deployment> = {
  empty: () => EMPTY_DEPLOYMENT,
  encode: (state) => ({ application: encodeDeployment(state), applicationExtension: new Uint8Array() }),
  decode: (encoded) => decodeDeployment(encoded.application),
  withoutExtension: (state) => state,
  apply(state, operation): { state: Deployment; outcome: Outcome } {
    return applyToDeployment(state, {
      kind: operation.kind,
      payload: new TextDecoder().decode(operation.payload),
    });
  },
};
