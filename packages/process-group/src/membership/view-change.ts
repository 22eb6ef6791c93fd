/** A member's side of a view change: stopping, flushing, entering the next view, rejoining. */
import { create } from '@bufbuild/protobuf';
import { FlushReplySchema, type FlushReply, type FlushRequest, type View } from '@rainrun/messages';
import type { GroupParts } from '../group-parts.js';

type ViewChangeParts<S> = Pick<
  GroupParts<S>,
  | 'casts'
  | 'coordination'
  | 'coordinatorWatch'
  | 'dependencies'
  | 'directory'
  | 'discovery'
  | 'election'
  | 'leases'
  | 'liveness'
  | 'local'
  | 'transport'
  | 'versions'
>;

/**
 * Takes this node from one view to the next: it stops its casts at the
 * coordinator's request, hands over what may be missing elsewhere, and opens the
 * new view once that is in force. A node that was left out rejoins under a new incarnation.
 * @example
 * viewChange.onFlushRequest('incarnation-1', request); // answers with a flush reply
 */
export class ViewChange<S> {
  #parts: ViewChangeParts<S>;
  #flushEpoch = 0;
  /** Incarnations that stay, while a change is under way. */
  #staying: ReadonlySet<string> | undefined;

  constructor(parts: ViewChangeParts<S>) {
    this.#parts = parts;
  }

  /** Whether a change is under way that leaves this member out: it gets no lease any more. */
  isLeavingOut(incarnation: string): boolean {
    return this.#staying !== undefined && !this.#staying.has(incarnation);
  }

  onFlushRequest(from: string, request: FlushRequest): void {
    const { directory, local, transport, versions } = this.#parts;
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

  /** Stops the casts of this view and hands over those that may be missing elsewhere. */
  flush(epoch: number, change: number, staying: readonly string[]): FlushReply {
    this.#flushEpoch = epoch;
    this.#staying = new Set(staying);
    return create(FlushReplySchema, { epoch, change, unstableCasts: this.#parts.casts.stop() });
  }

  /** Makes a view the one in force here; casts begin with `open`. */
  enter(view: View): void {
    const { casts, directory, liveness, local, transport, versions } = this.#parts;
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
    transport.keepOnly(incarnations);
    this.#removeOutsiders(incarnations, nowMs);
    liveness.clearReports();
    casts.enter(view);
  }

  /** Lets in what came before its view, once the view has been announced. */
  open(): void {
    this.#parts.casts.open();
  }

  /** Leaves the view, if any, and looks for the group as a new member. */
  rejoin(): void {
    const { casts, coordination, coordinatorWatch, dependencies, directory, discovery } = this.#parts;
    const { election, leases, liveness, local, transport, versions } = this.#parts;
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
    discovery.clearGreetings();
    dependencies.listener.onNewIncarnation(local.incarnation);
  }

  #removeOutsiders(incarnations: ReadonlySet<string>, nowMs: number): void {
    const { directory, discovery, liveness } = this.#parts;
    for (const incarnation of directory.incarnations()) {
      if (incarnations.has(incarnation) || discovery.hasFreshContact(incarnation, nowMs)) continue;
      directory.remove(incarnation);
      discovery.remove(incarnation);
      liveness.remove(incarnation);
    }
  }
}
