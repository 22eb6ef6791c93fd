/** Decides which voter the coordinator replaces, and by which member. */
import { create } from '@bufbuild/protobuf';
import { VoterSchema, type Member, type Voter } from '@rainrun/messages';
import type { AppliedVersions } from './applied-versions.js';
import type { CoordinatorContext } from './coordinator-context.js';
import type { GroupState } from './group-state.js';

type ReplacementContext = Pick<
  CoordinatorContext<unknown>,
  'desiredVoterCount' | 'disk' | 'isLive' | 'memberOfVoter' | 'times'
>;

/**
 * Keeps the number of voters at its target. One voter changes at a time, so that quorums of two
 * successive voter sets share a voter. The version that changes the voters needs a quorum of both sets.
 * @example
 * const voters = replacement.next(state, nowMs); // undefined: nothing to change
 */
export class VoterReplacement {
  #context: ReplacementContext;
  #applied: AppliedVersions;
  /** The time since which each unreachable voter has been missing, by disk. */
  #missingSinceMs = new Map<string, number>();

  constructor(context: ReplacementContext, applied: AppliedVersions) {
    this.#context = context;
    this.#applied = applied;
  }

  /**
   * The voter set with one voter added or one lost voter replaced, by a member that has already
   * applied the newest version; undefined if there is nothing to change. A lost voter is replaced at once
   * if a member has its name, otherwise after `voterReplacementMs`.
   */
  next(state: GroupState<unknown>, nowMs: number): Voter[] | undefined {
    const { voters } = state;
    this.#noteMissing(voters, nowMs);
    const spares = this.#spares(state);
    const lost = this.#lostVoter(voters, spares, nowMs);
    const spare = spares.find((member) => member.name === lost?.name) ?? spares[0];
    if (lost === undefined && spare !== undefined && voters.length < this.#context.desiredVoterCount) {
      return [...voters, create(VoterSchema, { disk: spare.disk, name: spare.name })];
    }
    if (lost === undefined || spare === undefined) return undefined;
    this.#missingSinceMs.delete(lost.disk);
    return voters.map((voter) => (voter === lost ? { ...voter, disk: spare.disk, name: spare.name } : voter));
  }

  #noteMissing(voters: readonly Voter[], nowMs: number): void {
    for (const voter of voters) {
      const isReachable =
        voter.disk === this.#context.disk || this.#context.memberOfVoter(voter.disk) !== undefined;
      if (isReachable) this.#missingSinceMs.delete(voter.disk);
      else if (!this.#missingSinceMs.has(voter.disk)) this.#missingSinceMs.set(voter.disk, nowMs);
    }
  }

  /** Live members with a disk that is not a voter's and that have applied the newest version. */
  #spares({ number, view, voters }: GroupState<unknown>): Member[] {
    return view.members.filter(
      (member) =>
        member.disk !== '' &&
        !voters.some((voter) => voter.disk === member.disk) &&
        this.#context.isLive(member.incarnation) &&
        this.#applied.of(member.incarnation) >= number,
    );
  }

  #lostVoter(voters: readonly Voter[], spares: readonly Member[], nowMs: number): Voter | undefined {
    const missing = voters.filter((voter) => this.#missingSinceMs.has(voter.disk));
    const returned = missing.find((voter) => spares.some((member) => member.name === voter.name));
    const { voterReplacementMs } = this.#context.times;
    return (
      returned ??
      missing.find((voter) => nowMs - (this.#missingSinceMs.get(voter.disk) ?? nowMs) >= voterReplacementMs)
    );
  }
}
