/** Ways to break the quotas; each must be found by the oracle of the bound. */

/** What is left out. */
export type Mutant =
  /** Permits are used after their end. */
  | 'no-permit-end'
  /** Who takes a tenant over begins at once. */
  | 'no-wait'
  /** The wait of a takeover begins when the view is installed, not when it is committed. */
  | 'wait-from-install'
  /** Permits are granted without the group's lease. */
  | 'no-lease'
  /** Who hands a tenant over goes on granting for it. */
  | 'no-stop';

/** All of them. */
export const MUTANTS: readonly Mutant[] = [
  'no-permit-end',
  'no-wait',
  'wait-from-install',
  'no-lease',
  'no-stop',
];

/** Mutants are tried on quotas in one piece, where an excess is not divided by the number of shards. */
export function isSharded(mutant: Mutant | undefined): boolean {
  return mutant === undefined;
}
