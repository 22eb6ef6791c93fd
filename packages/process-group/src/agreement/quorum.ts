/** The Paxos rules that several modules share: majorities, quorums of voters, and the order of versions. */
import type { Voter } from '@rainrun/messages';

/**
 * The least number of elements that is more than half of a set of this size.
 * @example
 * majority(3); // 2
 */
export function majority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** The voters of a version, and the voters before it if it changed them. */
export interface VoterSets {
  readonly voters: readonly Voter[];
  readonly previousVoters: readonly Voter[];
}

/**
 * Whether these disks contain a majority of the voters, and of the previous voters too if the version
 * changed them.
 * @example
 * isQuorum(state, new Set(['disk-1', 'disk-2']));
 */
export function isQuorum(sets: VoterSets, disks: { has(disk: string): boolean }): boolean {
  const { voters, previousVoters } = sets;
  return hasMajority(voters, disks) && (previousVoters.length === 0 || hasMajority(previousVoters, disks));
}

function hasMajority(voters: readonly Voter[], disks: { has(disk: string): boolean }): boolean {
  return voters.filter((voter) => disks.has(voter.disk)).length >= majority(voters.length);
}

/**
 * The disks of all voters and previous voters of a version.
 * @example
 * disksOf(state); // Set { 'disk-1', 'disk-2', 'disk-3' }
 */
export function disksOf(sets: VoterSets): Set<string> {
  return new Set([...sets.voters, ...sets.previousVoters].map((voter) => voter.disk));
}

/**
 * Whether version `one` is later than `other`: epochs are compared first, then numbers.
 * @example
 * isLater({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export function isLater(
  one: { epoch: number; number: number },
  other: { epoch: number; number: number },
): boolean {
  return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}
