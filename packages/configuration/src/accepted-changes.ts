/**
 * The configuration changes accepted lately, by which a change that is sent again is recognized (idempotency).
 */
import { createHash } from 'node:crypto';

/** An accepted change: its revision and a digest of what it said. */
export interface AcceptedChange {
  readonly revision: number;
  readonly digest: string;
}

/** The newest changes that were accepted, and up to which revision earlier ones are forgotten. */
export interface AcceptedChanges {
  /** Changes of this revision and below are no longer remembered; 0 while all are. */
  readonly forgottenRevision: number;
  /** In the order of their revisions, which is the order in which they were accepted. */
  readonly changes: readonly AcceptedChange[];
}

/** Before anything was accepted. */
export const NO_ACCEPTED_CHANGES: AcceptedChanges = { forgottenRevision: 0, changes: [] };

/**
 * So many changes are remembered: at most 57 KB in a stored version, and at 20
 * changes a minute over three hours, where a caller gives up within minutes.
 */
export const ACCEPTED_CHANGES_MAX = 4096;

/** Base64 characters of a digest: 48 bits, compared only between changes of one revision. */
export const DIGEST_CHARS = 8;

/**
 * Identifies what a change says: its kind, the revision that it builds on and its content.
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
 * The memory with one more change, which has the highest revision so far.
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
 * The change that was accepted under a revision, as far as it is remembered.
 * @example
 * acceptedUnder(NO_ACCEPTED_CHANGES, 7); // undefined
 */
export function findAcceptedChange(accepted: AcceptedChanges, revision: number): AcceptedChange | undefined {
  const newest = accepted.changes.findLast((change) => change.revision <= revision);
  return newest?.revision === revision ? newest : undefined;
}

/**
 * Whether a change may have been accepted and forgotten since. One that builds on
 * its own revision or a later one cannot have been accepted.
 * @example
 * mayBeEvictedChange(NO_ACCEPTED_CHANGES, 7, 5); // false
 */
export function mayHaveBeenForgotten(
  accepted: AcceptedChanges,
  revision: number,
  base: number | undefined,
): boolean {
  return revision <= accepted.forgottenRevision && (base === undefined || base < revision);
}
