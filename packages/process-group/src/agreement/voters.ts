/** The voters of the agreed state: which disks vote, and where they are now. */
import type { Member, Voter } from '@rainrun/messages';
import type { GroupParts } from '../group-parts.js';
import type { VoterSets } from './quorum.js';

type VoterParts<S> = Pick<GroupParts<S>, 'dependencies' | 'discovery' | 'liveness' | 'local'>;

/**
 * Finds the voters: from the state in force in a view, else from the version
 * that this node's disk accepted last.
 * @example
 * voters.memberOf(voters.list()[0].disk); // the member with that disk, if it is in touch
 */
export class Voters<S> {
  #parts: VoterParts<S>;

  constructor(parts: VoterParts<S>) {
    this.#parts = parts;
  }

  list(): readonly Voter[] {
    return this.sets().voters;
  }

  /** The voters, and those before them while their change is not known to be chosen. */
  sets(): VoterSets {
    const { dependencies, local } = this.#parts;
    const { state } = local;
    const accepted = dependencies.acceptor?.accepted?.state ?? { voters: [], previousVoters: [] };
    return state !== undefined && state.voters.length > 0 && local.inView ? state : accepted;
  }

  /** Where the voter with this disk is now, if it is known. */
  memberOf(disk: string): Member | undefined {
    const { discovery, liveness, local } = this.#parts;
    const nowMs = local.nowMs();
    const member = local.view?.members.find(
      (known) => known.disk === disk && liveness.isLive(known.incarnation, nowMs),
    );
    return member ?? discovery.freshContacts().find((contact) => contact.member.disk === disk)?.member;
  }
}
