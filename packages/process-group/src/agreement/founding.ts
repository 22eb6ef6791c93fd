/** The founding of a group: its first version, made once by the first of the founders. */
import { create } from '@bufbuild/protobuf';
import { PrepareSchema, EntrySchema, ViewSchema, VoterSchema, type Member } from '@rainrun/messages';
import type { Acceptor } from './acceptor.js';
import type { GroupParts } from '../group-parts.js';
import { toVersion, type GroupState } from './group-state.js';

type FoundingParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'discovery' | 'local'>;

/**
 * Founds the group when all founders are there with empty disks and nobody
 * has heard of a group.
 * @example
 * if (founding.mayFound()) founding.tick();
 */
export class Founding<S> {
  #parts: FoundingParts<S>;

  constructor(parts: FoundingParts<S>) {
    this.#parts = parts;
  }

  /** Whether this node is a founder whose disk has not accepted anything yet. */
  mayFound(): boolean {
    const { acceptor } = this.#parts.dependencies;
    return acceptor !== undefined && this.#founderName() !== undefined && acceptor.accepted === undefined;
  }

  /** Founds the group if this is the first of the founders and all the others are there. */
  tick(): void {
    const { coordination, dependencies } = this.#parts;
    const { acceptor, founders, stateMachine } = dependencies;
    const own = this.#founderName();
    if (acceptor === undefined || own === undefined || [...founders].sort()[0] !== own) return;
    const members = this.#founderMembers(own);
    if (members === undefined || acceptor.busy) return;
    const state = this.#firstVersion(acceptor, members);
    const { epoch, view } = state;
    acceptor.prepare(create(PrepareSchema, { epoch, disk: acceptor.disk }), (promise) => {
      if (!promise.granted || coordination.coordinator !== undefined || !this.mayFound()) return;
      coordination.start(epoch, toVersion(stateMachine, state, create(EntrySchema, { view })));
    });
  }

  /** How the founders' list calls this node: by name or by address. */
  #founderName(): string | undefined {
    const { founders, name, address } = this.#parts.dependencies;
    return founders.find((founder) => founder === name || founder === address);
  }

  /** All founders in the order of the list, this node first; undefined while one is missing or a group exists. */
  #founderMembers(own: string): Member[] | undefined {
    const { dependencies, discovery, local } = this.#parts;
    const contacts = discovery.freshContacts();
    if (contacts.some((contact) => contact.inView || contact.newestVersion > 0)) return undefined;
    const members = [local.self];
    for (const founder of dependencies.founders) {
      if (founder === own) continue;
      const contact = contacts.find(
        ({ member, founding }) =>
          (member.name === founder || member.address === founder) && founding && member.disk !== '',
      );
      if (contact === undefined) return undefined;
      members.push(contact.member);
    }
    return members;
  }

  #firstVersion(acceptor: Acceptor, members: readonly Member[]): GroupState<S> {
    const { deployment, stateMachine } = this.#parts.dependencies;
    const epoch = acceptor.promisedEpoch + 1;
    return {
      epoch,
      number: 1,
      deployment,
      view: create(ViewSchema, { epoch, number: 1, members: [...members] }),
      previousView: undefined,
      voters: members.map(({ disk, name }) => create(VoterSchema, { disk, name })),
      previousVoters: [],
      application: stateMachine.empty(),
      answers: [],
      level: 1,
      clockMs: 0,
    };
  }
}
