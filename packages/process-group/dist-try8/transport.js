/** Sending to other members: single frames, and ordered parcels over a channel each. */
import { create } from '@bufbuild/protobuf';
import { Channel, FrameSchema, WIRE } from '@rainrun/messages';
/**
 * Sends frames, which may be lost, and bodies in parcels, which arrive once
 * and in order as long as both ends stay in the view.
 * @example
 * transport.post(member, { case: 'bye', value: create(ByeSchema) });
 * transport.parcel(member, { case: 'cast', value: cast });
 */
export class Transport {
    #parts;
    #channels = new Map();
    constructor(parts) {
        this.#parts = parts;
    }
    /** Sends one frame to a node. */
    post(seat, body) {
        this.postToAddress(seat.address, seat.incarnation, body);
    }
    /** Sends one frame to a node if it is known under this incarnation. */
    postTo(incarnation, body) {
        const seat = this.#parts.directory.seat(incarnation);
        if (seat !== undefined)
            this.post(seat, body);
    }
    /** Sends one frame to whoever is at an address; an empty incarnation means anybody. */
    postToAddress(address, incarnation, body) {
        const { dependencies, local } = this.#parts;
        const frame = create(FrameSchema, {
            wire: WIRE,
            deployment: dependencies.deployment,
            from: local.incarnation,
            to: incarnation,
        });
        frame.body = body;
        dependencies.post(address, frame);
    }
    /** Sends a body in order; to this node itself it is delivered at once. */
    parcel(seat, body) {
        const { directory, local, receiver } = this.#parts;
        if (seat.incarnation === local.incarnation)
            return receiver.onBody(seat.incarnation, body);
        directory.remember(seat);
        const channel = this.#channel(seat.incarnation);
        if (!channel.post(body))
            return this.#overflow(seat.incarnation);
        this.#postParcels(seat, channel, local.nowMs());
    }
    onParcel(from, parcel) {
        const { coordination, directory, local, receiver } = this.#parts;
        const channel = this.#channel(from);
        coordination.coordinator?.holds(from, parcel.holds);
        const bodies = channel.receive(parcel);
        for (const body of bodies)
            receiver.onBody(from, body);
        const seat = directory.seat(from);
        const isSameChannel = this.#channels.get(from) === channel;
        if (seat !== undefined && isSameChannel && bodies.some((body) => body.case === 'chosen'))
            this.#postParcels(seat, channel, local.nowMs());
    }
    /** Sends what is due on all channels: acknowledgements, and again what was not acknowledged. */
    tick(nowMs) {
        for (const [incarnation, channel] of this.#channels) {
            const seat = this.#parts.directory.seat(incarnation);
            if (seat !== undefined)
                this.#postParcels(seat, channel, nowMs);
        }
    }
    /** How long the oldest unacknowledged body to a node has waited. */
    lagMs(incarnation, nowMs) {
        return this.#channels.get(incarnation)?.lagMs(nowMs) ?? 0;
    }
    /** This process was away: the others are not to blame for that time. */
    slept(awayMs) {
        for (const channel of this.#channels.values())
            channel.slept(awayMs);
    }
    /** Ends the channels to all but some incarnations. */
    keepOnly(incarnations) {
        for (const incarnation of this.#channels.keys())
            if (!incarnations.has(incarnation))
                this.#channels.delete(incarnation);
    }
    clear() {
        this.#channels.clear();
    }
    #channel(incarnation) {
        const known = this.#channels.get(incarnation);
        if (known !== undefined)
            return known;
        const channel = new Channel();
        this.#channels.set(incarnation, channel);
        return channel;
    }
    #postParcels(seat, channel, nowMs) {
        for (const parcel of channel.tick(nowMs)) {
            parcel.holds = this.#parts.local.heldNumber;
            this.post(seat, { case: 'parcel', value: parcel });
        }
    }
    /** A channel that has lost a body is at its end: the member goes, or this node does if it is the one cut off. */
    #overflow(incarnation) {
        const { leases, liveness, local, viewChange } = this.#parts;
        if (leases.isGranted())
            liveness.report(incarnation);
        else if (local.inView)
            viewChange.rejoin();
    }
}
//# sourceMappingURL=transport.js.map