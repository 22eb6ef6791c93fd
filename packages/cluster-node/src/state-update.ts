/**
 * The agreed state as cores tell it to edges: without what only operators' orders need, and deflated, since a
 * configuration is mostly repeated field names and an edge's link is slow.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { StateUpdate } from '@rainrun/messages';
import { decodeDeployment, encodeForSubscribers, type Deployment } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';

/** No state is larger once it is inflated. */
const STATE_MAX_BYTES = 64 * 1024 * 1024;

/** The agreed state in both forms. */
export interface EncodedDeployment {
  readonly plain: Uint8Array;
  readonly deflated: Uint8Array;
}

/**
 * The state as edges are told it.
 * @example
 * tell.deflatedState = encodeStateUpdate(state).deflated;
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
export function decodeStateUpdate(tell: StateUpdate): Result<Deployment, Fault> | undefined {
  if (tell.deflatedState.length === 0)
    return tell.state.length === 0 ? undefined : decodeDeployment(tell.state);
  return tryOrElse(
    (thrown) => fault('wire', `the state cannot be inflated: ${String(thrown)}`),
    () => inflateRawSync(tell.deflatedState, { maxOutputLength: STATE_MAX_BYTES }),
  ).andThen((bytes) => decodeDeployment(bytes));
}
