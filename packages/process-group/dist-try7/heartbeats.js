/** Heartbeats and their acknowledgements: what keeps suspicion, leases and stability up to date. */
import { clone, create } from '@bufbuild/protobuf';
import { HeartbeatAckSchema, HeartbeatSchema, } from '@rainrun/messages';
import { rankOf } from './play.js';
/** Heartbeats whose time of sending is remembered for their acknowledgements. */
const HEARTBEATS_REMEMBERED = 64;
/**
 * Sends this node's heartbeats to the view and answers those of others. The
 * acknowledgement of a member is what grants this node its lease, counted from
 * the moment at which the heartbeat was sent.
 * @example
 * heartbeats.tick(nowMs);
 */
export class Heartbeats {
    #parts;
    #sequence = 0;
    #sentMs = new Map();
    #lastSentMs = -Infinity;
    constructor(parts) {
        this.#parts = parts;
    }
    tick(nowMs) {
        const { dependencies, local } = this.#parts;
        if (local.inView && nowMs - this.#lastSentMs >= dependencies.times.heartbeatMs)
            this.send(nowMs);
    }
    /** Sends a heartbeat to every other member. */
    send(nowMs) {
        const { coordination, coordinatorWatch, local } = this.#parts;
        const held = local.held;
        if (held === undefined)
            return;
        this.#lastSentMs = nowMs;
        this.#sequence += 1;
        this.#sentMs.set(this.#sequence, nowMs);
        this.#sentMs.delete(this.#sequence - HEARTBEATS_REMEMBERED);
        const others = local.others();
        const heartbeat = this.#heartbeat(held, others, nowMs);
        this.#post(held, others, heartbeat, nowMs);
        const coordinator = coordination.coordinator;
        if (coordinator !== undefined)
            coordinatorWatch.follow(local.incarnation, coordinator.epoch, heartbeat.unable);
    }
    onHeartbeat(from, heartbeat) {
        const { directory, local, transport, versions, viewChange } = this.#parts;
        const held = local.held;
        if (!local.inView || held === undefined)
            return;
        const seat = directory.seat(from);
        const isMember = rankOf(held.view, from) >= 0;
        if (heartbeat.number > held.number)
            versions.fetch(from);
        if (!isMember && heartbeat.number > held.number)
            return;
        if (isMember)
            this.#learn(from, heartbeat);
        if (seat === undefined)
            return;
        const value = create(HeartbeatAckSchema, {
            sequence: heartbeat.sequence,
            number: held.number,
            epoch: local.epoch,
            dropped: !isMember,
            duty: heartbeat.epoch > 0 && heartbeat.epoch >= local.epoch,
            // The others agree without a member that leaves: it must not vouch for who may miss what they agree.
            withheld: local.leaving || viewChange.isLeavingOut(from),
        });
        transport.post(seat, { case: 'heartbeatAck', value });
    }
    onHeartbeatAck(from, ack) {
        const { coordination, leases, liveness, local, versions, viewChange } = this.#parts;
        const sentMs = this.#sentMs.get(ack.sequence);
        const held = local.held;
        if (!local.inView || held === undefined || sentMs === undefined)
            return;
        liveness.answered(from, local.nowMs());
        coordination.resignIfBefore(ack.epoch);
        if (ack.dropped) {
            if (ack.number > held.number)
                viewChange.rejoin();
            return;
        }
        if (ack.number > held.number)
            versions.fetch(from);
        if (ack.withheld)
            return;
        leases.onAck(from, sentMs, ack);
        coordination.coordinator?.holds(from, ack.number);
    }
    /** The counts of what was delivered go to the gatherer alone, except at level 1, which sends them to all. */
    #post(held, others, heartbeat, nowMs) {
        const { casts, local, transport } = this.#parts;
        const gatherer = held.level === 1 ? undefined : this.#gatherer(held.view, nowMs);
        const counts = clone(HeartbeatSchema, heartbeat);
        counts.delivered = casts.delivered();
        if (gatherer === local.incarnation)
            heartbeat.stable = casts.stable();
        for (const member of others) {
            const withCounts = held.level === 1 || member.incarnation === gatherer;
            transport.post(member, { case: 'heartbeat', value: withCounts ? counts : heartbeat });
        }
    }
    /**
     * The member that gathers what all have delivered and tells the others what
     * may be let go: the lowest-ranked that is live. Each telling each would cost
     * the cube of the group.
     */
    #gatherer(view, nowMs) {
        const { liveness, local } = this.#parts;
        const first = view.members.find(({ incarnation }) => incarnation === local.incarnation || liveness.isLive(incarnation, nowMs));
        return first?.incarnation ?? local.incarnation;
    }
    #heartbeat(held, others, nowMs) {
        const { coordination, diskWatch, liveness, local } = this.#parts;
        const coordinator = coordination.coordinator;
        const mayNotClaim = coordinator === undefined && diskWatch.isSlow(nowMs);
        return create(HeartbeatSchema, {
            sequence: this.#sequence,
            view: held.view.number,
            number: held.number,
            epoch: coordinator?.epoch ?? 0,
            suspects: others
                .filter((member) => !liveness.isLive(member.incarnation, nowMs))
                .map((member) => member.incarnation),
            unable: coordination.isUnable(nowMs) || local.leaving || mayNotClaim,
            agreed: coordinator?.agreed ?? local.agreed,
        });
    }
    #learn(from, heartbeat) {
        const { casts, coordination, coordinatorWatch, liveness, local } = this.#parts;
        if (heartbeat.epoch > 0 && heartbeat.epoch >= local.epoch) {
            local.sawEpoch(heartbeat.epoch);
            coordinatorWatch.follow(from, heartbeat.epoch, heartbeat.unable);
            local.sawAgreed(heartbeat.agreed);
        }
        coordination.resignIfBefore(heartbeat.epoch);
        liveness.learn(from, heartbeat);
        if (heartbeat.view === local.held?.view.number)
            casts.learn(from, heartbeat);
        coordination.coordinator?.holds(from, heartbeat.number);
    }
}
//# sourceMappingURL=heartbeats.js.map