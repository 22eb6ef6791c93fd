/** A member's side of a view change: stopping casts, flushing, entering the next view, rejoining. */
import { create } from '@bufbuild/protobuf';
import { FlushReplySchema, type FlushReply, type FlushRequest, type View } from '@rainrun/messages';
import type { Casts } from '../multicast/casts.js';
import type { CoordinatorWatch } from '../agreement/coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from './directory.js';
import type { Discovery } from './discovery.js';
import type { Leases } from '../leases/leases.js';
import type { Liveness } from './liveness.js';
import type { LocalMember } from './local-member.js';
import type { Transport } from '../transport/transport.js';
import type { Versions } from '../agreement/versions.js';

/** What a member's side of a view change needs. */
interface ViewChangeCollaborators<S> {
  readonly casts: Casts<S>;
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly discovery: Discovery<S>;
  readonly leases: Leases<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly versions: Versions<S>;
  readonly coordination: { drop(): void };
  readonly election: { readonly candidacy: { abandon(): void } | undefined };
}

/**
 * Takes this node from one view to the next: it stops its casts at the coordinator's request, returns the
 * casts that other members may lack, and resumes once the new view is in force. An excluded node rejoins
 * under a new incarnation.
 * @example
 * viewChange.onFlushRequest('incarnation-1', request); // answers with a flush reply
 */
export class ViewChange<S> {
  #collaborators: ViewChangeCollaborators<S>;
  #flushEpoch = 0;
  /** Incarnations that stay in the next view; undefined while no change is under way. */
  #staying: ReadonlySet<string> | undefined;

  constructor(collaborators: ViewChangeCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Whether a pending view change excludes this member, whose lease must not be renewed any more. */
  isExcluding(incarnation: string): boolean {
    return this.#staying !== undefined && !this.#staying.has(incarnation);
  }

  /** Flushes at the request of the coordinator of the newest epoch, unless the request is for another view. */
  onFlushRequest(from: string, request: FlushRequest): void {
    const { directory, local, transport, versions } = this.#collaborators;
    const state = local.state;
    if (
      !local.inView ||
      state === undefined ||
      request.epoch < local.epoch ||
      request.epoch < this.#flushEpoch
    )
      return;
    if (request.view > state.view.number) return versions.fetch(from);
    if (request.view < state.view.number) return;
    local.learnEpoch(request.epoch);
    const member = directory.member(from);
    if (member === undefined) return;
    transport.send(member, {
      case: 'flushReply',
      value: this.flush(request.epoch, request.change, request.staying),
    });
  }

  /** Stops the casts of this view and returns those that other members may lack. */
  flush(epoch: number, change: number, staying: readonly string[]): FlushReply {
    this.#flushEpoch = epoch;
    this.#staying = new Set(staying);
    return create(FlushReplySchema, { epoch, change, unstableCasts: this.#collaborators.casts.stop() });
  }

  /** Puts a view into force on this node; its casts start with `open`. */
  enter(view: View): void {
    const { casts, directory, liveness, local, transport, versions } = this.#collaborators;
    const nowMs = local.nowMs();
    local.enterView();
    this.#staying = undefined;
    this.#flushEpoch = 0;
    versions.clearGap();
    const incarnations = new Set(view.members.map((member) => member.incarnation));
    for (const member of view.members) {
      directory.learn(member);
      liveness.watch(member.incarnation, nowMs);
    }
    transport.retainChannels(incarnations);
    this.#removeNonMembers(incarnations, nowMs);
    liveness.clearSuspects();
    casts.enter(view);
  }

  /** Starts the casts of the view, once it has been announced, with those that were buffered for it. */
  open(): void {
    this.#collaborators.casts.releaseBuffered();
  }

  /** Leaves the view, if any, and looks for the group under a new incarnation. */
  rejoin(): void {
    const { casts, coordination, coordinatorWatch, dependencies, directory, discovery } = this.#collaborators;
    const { election, leases, liveness, local, transport, versions } = this.#collaborators;
    directory.learnAddresses(local.state?.view.members ?? []);
    local.renewIncarnation();
    casts.clear();
    this.#staying = undefined;
    versions.clearGap();
    coordination.drop();
    election.candidacy?.abandon();
    coordinatorWatch.clear();
    liveness.clear();
    transport.clear();
    leases.clear();
    discovery.clearReceivedEchoTokens();
    dependencies.listener.onNewIncarnation(local.incarnation);
  }

  #removeNonMembers(incarnations: ReadonlySet<string>, nowMs: number): void {
    const { directory, discovery, liveness } = this.#collaborators;
    for (const incarnation of directory.incarnations()) {
      if (incarnations.has(incarnation) || discovery.hasFreshContact(incarnation, nowMs)) continue;
      directory.remove(incarnation);
      discovery.remove(incarnation);
      liveness.remove(incarnation);
    }
  }
}
