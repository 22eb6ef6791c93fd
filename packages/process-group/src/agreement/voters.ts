/** The voters of the replicated state: which disks vote, and which members hold them now. */
import type { Member, Voter } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Discovery } from '../membership/discovery.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { VoterSets } from './quorum.js';

/** What finding the voters needs from the other parts of the group. */
interface VoterCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly discovery: Discovery<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
}

/**
 * Finds the voters: in a view from the applied state, otherwise from the version that this node's disk
 * accepted last.
 * @example
 * voters.memberOf(voters.list()[0].disk); // the member with that disk, if it is reachable
 */
export class Voters<S> {
  #collaborators: VoterCollaborators<S>;

  constructor(collaborators: VoterCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** The voters of the newest known version. */
  list(): readonly Voter[] {
    return this.sets().voters;
  }

  /** The voters, with the previous ones while the change of voters is not known to be chosen. */
  sets(): VoterSets {
    const { dependencies, local } = this.#collaborators;
    const { state } = local;
    const accepted = dependencies.acceptor?.accepted?.state ?? { voters: [], previousVoters: [] };
    return state !== undefined && state.voters.length > 0 && local.inView ? state : accepted;
  }

  /** The member that holds this voter's disk now, if it is reachable. */
  memberOf(disk: string): Member | undefined {
    const { discovery, liveness, local } = this.#collaborators;
    const nowMs = local.nowMs();
    const member = local.view?.members.find(
      (known) => known.disk === disk && liveness.isLive(known.incarnation, nowMs),
    );
    return member ?? discovery.freshContacts().find((contact) => contact.member.disk === disk)?.member;
  }
}
