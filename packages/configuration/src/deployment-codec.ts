/** Encodes a deployment's state for disks, joining cores and subscribed edges. */
import { describeJsonError, fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';
import type { Deployment } from './deployment.js';
import { documentText } from './document-text.js';
import { issueMessage } from './issue-text.js';
import { DIGEST_CHARS, NO_ACCEPTED_CHANGES, type AcceptedChanges } from './accepted-changes.js';

/**
 * Accepted changes as one list of revisions and one text of all digests: compact, as there may be thousands.
 */
const StoredAcceptedSchema = v.pipe(
  v.object({
    forgottenRevision: v.number(),
    revisions: v.array(v.number()),
    digests: v.string(),
  }),
  v.check(
    ({ revisions, digests }) => digests.length === revisions.length * DIGEST_CHARS,
    'as many digests as revisions',
  ),
  v.transform(({ forgottenRevision, revisions, digests }): AcceptedChanges => {
    const changes = revisions.map((revision, index) => ({
      revision,
      digest: digests.slice(index * DIGEST_CHARS, (index + 1) * DIGEST_CHARS),
    }));
    return { forgottenRevision, changes };
  }),
);

/**
 * The form that earlier builds wrote. Their digests do not cover the base, so all changes count as forgotten.
 */
const EarlierStoredAcceptedSchema = v.pipe(
  v.array(v.object({ revision: v.number() })),
  v.transform((changes): AcceptedChanges => {
    const forgottenRevision = Math.max(0, ...changes.map(({ revision }) => revision));
    return { forgottenRevision, changes: [] };
  }),
);

const StoredSchema = v.object({
  edition: v.number(),
  document: v.optional(v.record(v.string(), v.unknown())),
  revision: v.number(),
  evacuated: v.array(v.string()),
  zones: v.optional(v.record(v.string(), v.number()), {}),
  taken: v.union([StoredAcceptedSchema, EarlierStoredAcceptedSchema]),
});

function encodeState(state: Deployment, accepted: AcceptedChanges): Uint8Array {
  const { edition, document, revision, evacuated, zones } = state;
  const storedAccepted = {
    forgottenRevision: accepted.forgottenRevision,
    revisions: accepted.changes.map((change) => change.revision),
    digests: accepted.changes.map((change) => change.digest).join(''),
  };
  const rest = JSON.stringify({ edition, revision, evacuated, zones, taken: storedAccepted });
  const text = document === undefined ? rest : `{"document":${documentText(document)},${rest.slice(1)}`;
  return new TextEncoder().encode(text);
}

/**
 * Encodes the complete state, for disks and joining cores.
 * @example
 * decodeDeployment(encodeDeployment(EMPTY_DEPLOYMENT)).isOk; // true
 */
export function encodeDeployment(state: Deployment): Uint8Array {
  return encodeState(state, state.accepted);
}

/**
 * Encodes the state for edges, which only subscribe to it: without the accepted changes, which only cores
 * need.
 * @example
 * decodeDeployment(encodeForSubscribers(EMPTY_DEPLOYMENT)).isOk; // true
 */
export function encodeForSubscribers(state: Deployment): Uint8Array {
  return encodeState(state, NO_ACCEPTED_CHANGES);
}

/**
 * Decodes a state; fails with a `damaged` fault if the bytes are not JSON or do not match the schema.
 * @example
 * decodeDeployment(new Uint8Array([123])).isErr; // true
 */
export function decodeDeployment(bytes: Uint8Array): Result<Deployment, Fault> {
  return tryOrElse(
    (thrown) => fault('damaged', `the deployment's state: ${describeJsonError(thrown)}`),
    () => JSON.parse(new TextDecoder().decode(bytes)) as unknown,
  ).andThen((data) => {
    const parsed = v.safeParse(StoredSchema, data);
    if (!parsed.success)
      return Result.err<Deployment, Fault>(
        fault('damaged', `the deployment's state: ${issueMessage(parsed.issues[0])}`),
      );
    const { edition, document, revision, evacuated, zones, taken } = parsed.output;
    return Result.ok<Deployment, Fault>({ edition, document, revision, evacuated, zones, accepted: taken });
  });
}
