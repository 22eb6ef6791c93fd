/**
 * The committed state as cores send it to edges: without what only operators' changes need, and deflated, since a
 * configuration is mostly repeated field names and an edge's link is slow. Platform family.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { StateUpdate } from '@rainrun/messages';
import { decodeDeployment, encodeForSubscribers, type Deployment } from '@rainrun/configuration';
import { describeError, fault, type Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';

/** No state is larger once it is inflated. */
const STATE_MAX_BYTES = 64 * 1024 * 1024;

/** The committed state in both forms. */
export interface EncodedDeployment {
  readonly plain: Uint8Array;
  readonly deflated: Uint8Array;
}

/**
 * The state as edges receive it.
 * @example
 * update.deflatedState = encodeStateUpdate(state).deflated;
 */
export function encodeStateUpdate(state: Deployment): EncodedDeployment {
  const plain = encodeForSubscribers(state);
  return { plain, deflated: deflateRawSync(plain) };
}

/**
 * The state that a message brings; nothing where it brings none, an error where it cannot be read.
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
