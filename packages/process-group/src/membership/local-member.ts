/** This node as a member of the group: identity, state in force, epochs seen. */
import { create } from '@bufbuild/protobuf';
import { randomId } from '@rainrun/common';
import { MemberSchema, type Member, type View } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { GroupState } from '../agreement/group-state.js';
import { withNewIncarnation } from './members.js';

/**
 * This node as a member: its identity, the version that it holds, whether it is
 * in a view, and the newest epoch and committed version that it has heard of.
 * @example
 * const local = new LocalMember(dependencies);
 * local.view; // undefined until a view has let this node in
 */
export class LocalMember<S> {
  #dependencies: GroupDependencies<S>;
  #self: Member;
  #state: GroupState<S> | undefined;
  #inView = false;
  #epochSeen = 0;
  #committedSeen = 0;
  #leaving = false;

  constructor(dependencies: GroupDependencies<S>) {
    this.#dependencies = dependencies;
    this.#self = create(MemberSchema, {
      name: dependencies.name,
      incarnation: randomId(dependencies.chance),
      address: dependencies.address,
      zone: dependencies.zone,
      disk: dependencies.acceptor?.disk ?? '',
      maxLevel: dependencies.protocolLevels.max,
      minLevel: dependencies.protocolLevels.min,
    });
  }

  get self(): Member {
    return this.#self;
  }

  get incarnation(): string {
    return this.#self.incarnation;
  }

  /** State of the newest version in force on this node, whether or not it is in a view. */
  get state(): GroupState<S> | undefined {
    return this.#state;
  }

  get inView(): boolean {
    return this.#inView;
  }

  /** The view this node is a member of, or undefined while it is in none. */
  get view(): View | undefined {
    return this.#inView ? this.#state?.view : undefined;
  }

  /** Number of the version in force in this node's view; 0 while it is in none. */
  get appliedVersion(): number {
    return this.#inView ? (this.#state?.number ?? 0) : 0;
  }

  /** Number of the newest version that this node holds or has accepted on its disk. */
  get newestVersion(): number {
    return Math.max(this.#state?.number ?? 0, this.#dependencies.acceptor?.accepted?.number ?? 0);
  }

  /** Newest epoch that this node knows of. */
  get epoch(): number {
    return Math.max(this.#epochSeen, this.#dependencies.acceptor?.promisedEpoch ?? 0);
  }

  /** Newest version that this node knows to be committed. */
  get committedVersion(): number {
    const number = this.#state?.number ?? 0;
    return Math.max(Math.min(this.#committedSeen, number), number - 1);
  }

  /** Whether this node has said goodbye. */
  get leaving(): boolean {
    return this.#leaving;
  }

  nowMs(): number {
    return this.#dependencies.clock.nowMs();
  }

  /** The other members of the view. */
  others(): Member[] {
    return (this.view?.members ?? []).filter((member) => member.incarnation !== this.incarnation);
  }

  learnEpoch(epoch: number): void {
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
  }

  learnCommitted(number: number): void {
    this.#committedSeen = Math.max(this.#committedSeen, number);
  }

  setState(state: GroupState<S>): void {
    this.#state = state;
  }

  enterView(): void {
    this.#inView = true;
  }

  /** Leaves the view and goes on under a new incarnation; its state is kept. */
  renewIncarnation(): void {
    this.#self = withNewIncarnation(this.#self, randomId(this.#dependencies.chance));
    this.#inView = false;
  }

  startLeaving(): void {
    this.#leaving = true;
  }
}
