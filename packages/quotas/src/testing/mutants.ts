/** Mutants: deliberate faults in the quota protocol, each of which the bound oracle must detect. */

/** A mutant, named after the safety rule that it breaks. */
export type Mutant =
  /** Permits are used after they have expired. */
  | 'no-permit-end'
  /** A core that takes a tenant over starts granting at once. */
  | 'no-wait'
  /** The wait of a takeover begins when the view is installed, not when it is committed. */
  | 'wait-from-install'
  /** Permits are granted without the group's lease. */
  | 'no-lease'
  /** A core that hands a tenant over keeps granting permits for it. */
  | 'no-stop';

/** All mutants. */
export const MUTANTS: readonly Mutant[] = [
  'no-permit-end',
  'no-wait',
  'wait-from-install',
  'no-lease',
  'no-stop',
];

/**
 * Whether quotas are sharded. Mutants run with unsharded quotas, so that an excess is not divided between
 * shards.
 */
export function isSharded(mutant: Mutant | undefined): boolean {
  return mutant === undefined;
}
