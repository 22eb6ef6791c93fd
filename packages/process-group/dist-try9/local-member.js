/** This node's own side of the membership: identity, state in force, epochs seen. */
import { create } from '@bufbuild/protobuf';
import { randomId } from '@rainrun/common';
import { SeatSchema } from '@rainrun/messages';
import { reborn } from './play.js';
/**
 * This node as a member: who it is, which version it holds, whether it is in
 * a view, and the newest epoch and agreed version that it has heard of.
 * @example
 * const local = new LocalMember(dependencies);
 * local.view; // undefined until a view has let this node in
 */
export class LocalMember {
    #dependencies;
    #seat;
    #held;
    #inView = false;
    #epochSeen = 0;
    #agreedSeen = 0;
    #leaving = false;
    constructor(dependencies) {
        this.#dependencies = dependencies;
        this.#seat = create(SeatSchema, {
            name: dependencies.name,
            incarnation: randomId(dependencies.chance),
            address: dependencies.address,
            zone: dependencies.zone,
            disk: dependencies.acceptor?.disk ?? '',
            speaks: dependencies.speaks.most,
            speaksFrom: dependencies.speaks.least,
        });
    }
    get seat() {
        return this.#seat;
    }
    get incarnation() {
        return this.#seat.incarnation;
    }
    /** The newest version that came into force here, in a view or not. */
    get held() {
        return this.#held;
    }
    get inView() {
        return this.#inView;
    }
    /** The view this node is a member of, or undefined while it is in none. */
    get view() {
        return this.#inView ? this.#held?.view : undefined;
    }
    /** Number of the version in force in this node's view; 0 while it is in none. */
    get heldNumber() {
        return this.#inView ? (this.#held?.number ?? 0) : 0;
    }
    /** Number of the newest version that this node holds or has accepted on its disk. */
    get newestNumber() {
        return Math.max(this.#held?.number ?? 0, this.#dependencies.acceptor?.accepted?.number ?? 0);
    }
    /** Newest epoch that this node knows of. */
    get epoch() {
        return Math.max(this.#epochSeen, this.#dependencies.acceptor?.promisedEpoch ?? 0);
    }
    /** Newest version that this node knows to be agreed. */
    get agreed() {
        const number = this.#held?.number ?? 0;
        return Math.max(Math.min(this.#agreedSeen, number), number - 1);
    }
    /** Whether this node has said goodbye. */
    get leaving() {
        return this.#leaving;
    }
    nowMs() {
        return this.#dependencies.clock.nowMs();
    }
    /** The other members of the view. */
    others() {
        return (this.view?.members ?? []).filter((member) => member.incarnation !== this.incarnation);
    }
    sawEpoch(epoch) {
        this.#epochSeen = Math.max(this.#epochSeen, epoch);
    }
    sawAgreed(number) {
        this.#agreedSeen = Math.max(this.#agreedSeen, number);
    }
    hold(held) {
        this.#held = held;
    }
    enterView() {
        this.#inView = true;
    }
    /** Leaves the view and goes on under a new incarnation; the state held is kept. */
    startAnew() {
        this.#seat = reborn(this.#seat, randomId(this.#dependencies.chance));
        this.#inView = false;
    }
    startLeaving() {
        this.#leaving = true;
    }
}
//# sourceMappingURL=local-member.js.map