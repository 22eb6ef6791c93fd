/** Majorities of a set, quorums of voters, and the order of versions: the rules of Paxos that every part shares. */
import type { Voter } from '@rainrun/messages';

/**
 * More than half of a set.
 * @example
 * majority(3); // 2
 */
export function majority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** The voters of a version, and those before it where it changed them. */
export interface VoterSets {
  readonly voters: readonly Voter[];
  readonly previousVoters: readonly Voter[];
}

/**
 * Whether these disks are a majority of the voters, and of those before where a
 * version changed them.
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
 * The disks of all voters of a version, and of those before it.
 * @example
 * disksOf(state); // Set { 'disk-1', 'disk-2', 'disk-3' }
 */
export function disksOf(sets: VoterSets): Set<string> {
  return new Set([...sets.voters, ...sets.previousVoters].map((voter) => voter.disk));
}

/**
 * Whether version `one` comes after `other`: the epoch decides before the number.
 * @example
 * later({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export function isLater(
  one: { epoch: number; number: number },
  other: { epoch: number; number: number },
): boolean {
  return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}
