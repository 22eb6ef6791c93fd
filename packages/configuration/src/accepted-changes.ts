/**
 * Records of the newest accepted configuration changes, by which a change that is sent again is recognized
 * (idempotency).
 */
import { createHash } from 'node:crypto';

/** An accepted change: its revision and a digest of its content. */
export interface AcceptedChange {
  readonly revision: number;
  readonly digest: string;
}

/** The newest accepted changes, and the revision up to which earlier ones were forgotten. */
export interface AcceptedChanges {
  /** Changes of this revision and below are no longer remembered; 0 while none was forgotten. */
  readonly forgottenRevision: number;
  /** Sorted by revision, which is also the order in which the changes were accepted. */
  readonly changes: readonly AcceptedChange[];
}

/** The records before the first accepted change. */
export const NO_ACCEPTED_CHANGES: AcceptedChanges = { forgottenRevision: 0, changes: [] };

/**
 * Number of changes that are remembered. They take at most 57 KB in a stored version, and cover more than
 * three hours at 20 changes a minute, while a caller stops retrying within minutes.
 */
export const ACCEPTED_CHANGES_MAX = 4096;

/** Length of a digest in base64 characters: 48 bits suffice, as only changes of one revision are compared. */
export const DIGEST_CHARS = 8;

/**
 * Computes the digest that identifies a change by its kind, its base revision and its content.
 * @example
 * digestOfChange('put', 5, '{"revision":7}').length; // 8
 */
export function digestOfChange(kind: 'put' | 'patch', base: number | undefined, content: string): string {
  const hash = createHash('sha256')
    .update(`${kind} ${base ?? ''} `)
    .update(content);
  return hash.digest('base64').slice(0, DIGEST_CHARS);
}

/**
 * Adds a change, which must have the highest revision so far, and forgets the oldest one beyond the maximum.
 * @example
 * withAcceptedChange(NO_ACCEPTED_CHANGES, { revision: 7, digest }).changes.length; // 1
 */
export function withAcceptedChange(accepted: AcceptedChanges, change: AcceptedChange): AcceptedChanges {
  const changes = [...accepted.changes, change];
  if (changes.length <= ACCEPTED_CHANGES_MAX) return { ...accepted, changes };
  const forgotten = changes.shift();
  return { forgottenRevision: forgotten?.revision ?? accepted.forgottenRevision, changes };
}

/**
 * Returns the change that was accepted under a revision; undefined if there was none or it was forgotten.
 * @example
 * findAcceptedChange(NO_ACCEPTED_CHANGES, 7); // undefined
 */
export function findAcceptedChange(accepted: AcceptedChanges, revision: number): AcceptedChange | undefined {
  const newest = accepted.changes.findLast((change) => change.revision <= revision);
  return newest?.revision === revision ? newest : undefined;
}

/**
 * Tells whether a change may have been accepted and forgotten since. A change whose base is its own revision
 * or a later one cannot have been accepted.
 * @example
 * mayHaveBeenForgotten(NO_ACCEPTED_CHANGES, 7, 5); // false
 */
export function mayHaveBeenForgotten(
  accepted: AcceptedChanges,
  revision: number,
  base: number | undefined,
): boolean {
  return revision <= accepted.forgottenRevision && (base === undefined || base < revision);
}
