/** Heartbeats and their acknowledgements, which drive failure detection, leases and cast stability. */
import { clone, create } from '@bufbuild/protobuf';
import {
  HeartbeatAckSchema,
  HeartbeatSchema,
  type Heartbeat,
  type HeartbeatAck,
  type Member,
  type View,
} from '@rainrun/messages';
import type { Casts } from '../multicast/casts.js';
import type { Coordination } from '../agreement/coordination.js';
import type { CoordinatorWatch } from '../agreement/coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { DiskWatch } from './disk-watch.js';
import type { Directory } from './directory.js';
import type { Leases } from '../leases/leases.js';
import type { Liveness } from './liveness.js';
import type { LocalMember } from './local-member.js';
import type { Transport } from '../transport/transport.js';
import type { Versions } from '../agreement/versions.js';
import type { ViewChange } from './view-change.js';
import type { GroupState } from '../agreement/group-state.js';
import { rankOf } from './members.js';

/** Number of recent heartbeats whose send time is kept for their acknowledgements. */
const HEARTBEATS_TRACKED_MAX = 64;

/** What heartbeats need. */
interface HeartbeatCollaborators<S> {
  readonly casts: Casts<S>;
  readonly coordination: Coordination<S>;
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly diskWatch: DiskWatch;
  readonly directory: Directory<S>;
  readonly leases: Leases<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly versions: Versions<S>;
  readonly viewChange: ViewChange<S>;
}

/**
 * Sends this node's heartbeats to the view and answers those of others. A
 * member's acknowledgement renews this node's lease, counted from the time at
 * which the heartbeat was sent.
 * @example
 * heartbeats.tick(nowMs);
 */
export class Heartbeats<S> {
  #collaborators: HeartbeatCollaborators<S>;
  #sequence = 0;
  #sentMs = new Map<number, number>();
  #lastSentMs = -Infinity;

  constructor(collaborators: HeartbeatCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Sends a heartbeat if one is due. */
  tick(nowMs: number): void {
    const { dependencies, local } = this.#collaborators;
    if (local.inView && nowMs - this.#lastSentMs >= dependencies.times.heartbeatMs) this.send(nowMs);
  }

  /** Sends a heartbeat to every other member. */
  send(nowMs: number): void {
    const { coordination, coordinatorWatch, local } = this.#collaborators;
    const state = local.state;
    if (state === undefined) return;
    this.#lastSentMs = nowMs;
    this.#sequence += 1;
    this.#sentMs.set(this.#sequence, nowMs);
    this.#sentMs.delete(this.#sequence - HEARTBEATS_TRACKED_MAX);
    const others = local.others();
    const heartbeat = this.#heartbeat(state, others, nowMs);
    this.#sendTo(state, others, heartbeat, nowMs);
    const coordinator = coordination.coordinator;
    if (coordinator !== undefined)
      coordinatorWatch.follow(local.incarnation, coordinator.epoch, heartbeat.resigning);
  }

  /** Answers a heartbeat; the acknowledgement renews the sender's leases unless it is withheld. */
  onHeartbeat(from: string, heartbeat: Heartbeat): void {
    const { directory, local, transport, versions, viewChange } = this.#collaborators;
    const state = local.state;
    if (!local.inView || state === undefined) return;
    const member = directory.member(from);
    const isMember = rankOf(state.view, from) >= 0;
    if (heartbeat.number > state.number) versions.fetch(from);
    if (!isMember && heartbeat.number > state.number) return;
    if (isMember) this.#applyHeartbeat(from, heartbeat);
    if (member === undefined) return;
    const value = create(HeartbeatAckSchema, {
      sequence: heartbeat.sequence,
      number: state.number,
      epoch: local.epoch,
      dropped: !isMember,
      noNewerCoordinator: heartbeat.epoch > 0 && heartbeat.epoch >= local.epoch,
      // The other members commit without a leaving member, so its acknowledgement must not renew the lease of
      // a member that may miss those commits.
      leaseWithheld: local.leaving || viewChange.isExcluding(from),
    });
    transport.send(member, { case: 'heartbeatAck', value });
  }

  /** Handles the acknowledgement of a heartbeat that this node sent. */
  onHeartbeatAck(from: string, ack: HeartbeatAck): void {
    const { coordination, leases, liveness, local, versions, viewChange } = this.#collaborators;
    const sentMs = this.#sentMs.get(ack.sequence);
    const state = local.state;
    if (!local.inView || state === undefined || sentMs === undefined) return;
    liveness.recordAnswer(from, local.nowMs());
    coordination.resignIfBefore(ack.epoch);
    if (ack.dropped) {
      if (ack.number > state.number) viewChange.rejoin();
      return;
    }
    if (ack.number > state.number) versions.fetch(from);
    if (ack.leaseWithheld) return;
    leases.onAck(from, sentMs, ack);
    coordination.coordinator?.learnApplied(from, ack.number);
  }

  /** Sends a heartbeat; delivery counts go to the stability collector only, or to every member at level 1. */
  #sendTo(state: GroupState<S>, others: readonly Member[], heartbeat: Heartbeat, nowMs: number): void {
    const { casts, local, transport } = this.#collaborators;
    const collector = state.level === 1 ? undefined : this.#stabilityCollector(state.view, nowMs);
    const heartbeatWithCounts = clone(HeartbeatSchema, heartbeat);
    heartbeatWithCounts.delivered = casts.delivered();
    if (collector === local.incarnation) heartbeat.stable = casts.stable();
    for (const member of others) {
      const needsCounts = state.level === 1 || member.incarnation === collector;
      transport.send(member, { case: 'heartbeat', value: needsCounts ? heartbeatWithCounts : heartbeat });
    }
  }

  /**
   * The member that collects the delivery counts of all members and tells the others which casts are stable:
   * the live member of the lowest rank. Counts from every member to every member would cost the cube of the
   * group's size.
   */
  #stabilityCollector(view: View, nowMs: number): string {
    const { liveness, local } = this.#collaborators;
    const first = view.members.find(
      ({ incarnation }) => incarnation === local.incarnation || liveness.isLive(incarnation, nowMs),
    );
    return first?.incarnation ?? local.incarnation;
  }

  #heartbeat(state: GroupState<S>, others: readonly Member[], nowMs: number): Heartbeat {
    const { coordination, diskWatch, liveness, local } = this.#collaborators;
    const coordinator = coordination.coordinator;
    const isDiskTooSlow = coordinator === undefined && diskWatch.isSlow(nowMs);
    return create(HeartbeatSchema, {
      sequence: this.#sequence,
      view: state.view.number,
      number: state.number,
      epoch: coordinator?.epoch ?? 0,
      suspects: others
        .filter((member) => !liveness.isLive(member.incarnation, nowMs))
        .map((member) => member.incarnation),
      resigning:
        coordination.isIneligible(nowMs) ||
        coordination.isUnsupported(nowMs) ||
        local.leaving ||
        isDiskTooSlow,
      agreed: coordinator?.committedVersion ?? local.committedVersion,
    });
  }

  #applyHeartbeat(from: string, heartbeat: Heartbeat): void {
    const { casts, coordination, coordinatorWatch, liveness, local } = this.#collaborators;
    if (heartbeat.epoch > 0 && heartbeat.epoch >= local.epoch) {
      local.learnEpoch(heartbeat.epoch);
      coordinatorWatch.follow(from, heartbeat.epoch, heartbeat.resigning);
      local.learnCommitted(heartbeat.agreed);
    }
    coordination.resignIfBefore(heartbeat.epoch);
    liveness.onHeartbeat(from, heartbeat);
    if (heartbeat.view === local.state?.view.number) casts.onHeartbeat(from, heartbeat);
    coordination.coordinator?.learnApplied(from, heartbeat.number);
  }
}
