/**
 * The encoding in which cores send the committed state to edges. It leaves out what only operators' changes
 * need, and is deflated, because a configuration is mostly repeated field names and an edge's link is slow.
 * Platform family.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { StateUpdate } from '@rainrun/messages';
import { decodeDeployment, encodeForSubscribers, type Deployment } from '@rainrun/configuration';
import { describeError, fault, type Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';

/** Upper bound of the size of an inflated state. */
const STATE_MAX_BYTES = 64 * 1024 * 1024;

/** The encoded state, plain and deflated. */
export interface EncodedDeployment {
  readonly plain: Uint8Array;
  readonly deflated: Uint8Array;
}

/**
 * Encodes the state for edges.
 * @example
 * update.deflatedState = encodeStateUpdate(state).deflated;
 */
export function encodeStateUpdate(state: Deployment): EncodedDeployment {
  const plain = encodeForSubscribers(state);
  return { plain, deflated: deflateRawSync(plain) };
}

/**
 * The state in an update: undefined if the update includes none, a fault if it cannot be decoded.
 * @example
 * decodeStateUpdate(create(StateUpdateSchema)); // undefined
 */
export function decodeStateUpdate(update: StateUpdate): Result<Deployment, Fault> | undefined {
  if (update.deflatedState.length === 0)
    return update.state.length === 0 ? undefined : decodeDeployment(update.state);
  return tryOrElse(
    (thrown) => fault('wire', `the state cannot be inflated: ${describeError(thrown)}`, { cause: thrown }),
    () => inflateRawSync(update.deflatedState, { maxOutputLength: STATE_MAX_BYTES }),
  ).andThen((bytes) => decodeDeployment(bytes));
}
