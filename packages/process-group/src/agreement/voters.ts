/** The voters of the replicated state: which disks vote, and where they are now. */
import type { Member, Voter } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Discovery } from '../membership/discovery.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { VoterSets } from './quorum.js';

/** What the search for voters needs. */
interface VoterCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly discovery: Discovery<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
}

/**
 * Finds the voters: from the state in force in a view, else from the version
 * that this node's disk accepted last.
 * @example
 * voters.memberOf(voters.list()[0].disk); // the member with that disk, if it is in touch
 */
export class Voters<S> {
  #collaborators: VoterCollaborators<S>;

  constructor(collaborators: VoterCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** The voters of the newest version known. */
  list(): readonly Voter[] {
    return this.sets().voters;
  }

  /** The voters, and those before them while their change is not known to be chosen. */
  sets(): VoterSets {
    const { dependencies, local } = this.#collaborators;
    const { state } = local;
    const accepted = dependencies.acceptor?.accepted?.state ?? { voters: [], previousVoters: [] };
    return state !== undefined && state.voters.length > 0 && local.inView ? state : accepted;
  }

  /** Where the voter with this disk is now, if it is known. */
  memberOf(disk: string): Member | undefined {
    const { discovery, liveness, local } = this.#collaborators;
    const nowMs = local.nowMs();
    const member = local.view?.members.find(
      (known) => known.disk === disk && liveness.isLive(known.incarnation, nowMs),
    );
    return member ?? discovery.freshContacts().find((contact) => contact.member.disk === disk)?.member;
  }
}
