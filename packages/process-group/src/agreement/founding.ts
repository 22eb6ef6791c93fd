/** The founding of a group: the first founder in sorted order creates its first version, once. */
import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  EntrySchema,
  ViewSchema,
  VoterSchema,
  type Member,
  type Version,
} from '@rainrun/messages';
import type { Acceptor } from './acceptor.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Discovery } from '../membership/discovery.js';
import type { LocalMember } from '../membership/local-member.js';
import { toVersion, type GroupState } from './group-state.js';

/** What founding needs from the other parts of the group. */
interface FoundingCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly discovery: Discovery<S>;
  readonly local: LocalMember<S>;
  /** Begins this node's first term as coordinator. */
  readonly coordination: {
    readonly coordinator: object | undefined;
    start(epoch: number, version: Version): void;
  };
}

/**
 * Founds the group when all founders are reachable with empty disks and no contact knows of an
 * existing group.
 * @example
 * if (founding.mayFound()) founding.tick();
 */
export class Founding<S> {
  #collaborators: FoundingCollaborators<S>;

  constructor(collaborators: FoundingCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Whether this node is a founder whose disk has not accepted any version yet. */
  mayFound(): boolean {
    const { acceptor } = this.#collaborators.dependencies;
    return acceptor !== undefined && this.#founderName() !== undefined && acceptor.accepted === undefined;
  }

  /** Founds the group if this node is the first founder in sorted order and all others are reachable. */
  tick(): void {
    const { coordination, dependencies } = this.#collaborators;
    const { acceptor, founders, stateMachine } = dependencies;
    const ownName = this.#founderName();
    if (acceptor === undefined || ownName === undefined || [...founders].sort()[0] !== ownName) return;
    const members = this.#founderMembers(ownName);
    if (members === undefined || acceptor.busy) return;
    const state = this.#initialState(acceptor, members);
    const { epoch, view } = state;
    acceptor.prepare(create(PrepareSchema, { epoch, disk: acceptor.disk }), (promise) => {
      if (!promise.granted || coordination.coordinator !== undefined || !this.mayFound()) return;
      coordination.start(epoch, toVersion(stateMachine, state, create(EntrySchema, { view })));
    });
  }

  /** This node's entry in the list of founders, which is its name or its address. */
  #founderName(): string | undefined {
    const { founders, name, address } = this.#collaborators.dependencies;
    return founders.find((founder) => founder === name || founder === address);
  }

  /** All founders in list order, this node first; undefined while one is missing or a group exists. */
  #founderMembers(ownName: string): Member[] | undefined {
    const { dependencies, discovery, local } = this.#collaborators;
    const contacts = discovery.freshContacts();
    if (contacts.some((contact) => contact.inView || contact.newestVersion > 0)) return undefined;
    const members = [local.self];
    for (const founder of dependencies.founders) {
      if (founder === ownName) continue;
      const contact = contacts.find(
        ({ member, founding }) =>
          (member.name === founder || member.address === founder) && founding && member.disk !== '',
      );
      if (contact === undefined) return undefined;
      members.push(contact.member);
    }
    return members;
  }

  #initialState(acceptor: Acceptor, members: readonly Member[]): GroupState<S> {
    const { deployment, stateMachine } = this.#collaborators.dependencies;
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
