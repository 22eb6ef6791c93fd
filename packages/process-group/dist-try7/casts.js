import { Causal } from './causal.js';
import { rankOf } from './play.js';
/** Payloads kept while this node cannot cast; the oldest goes first. */
const BACKLOG_MOST = 64;
/** Casts kept that came before their view; the oldest goes first. */
const EARLY_CASTS_MOST = 4096;
/**
 * Sends and delivers causal casts. Payloads wait while the view is being
 * changed; casts of a view that this node has not entered yet wait for it.
 * @example
 * casts.cast(payload);
 */
export class Casts {
    #parts;
    #causal;
    #backlog = [];
    #early = [];
    constructor(parts) {
        this.#parts = parts;
    }
    /** True while no casts are sent: outside a view, and while the view is being changed. */
    get stopped() {
        return this.#causal?.stopped ?? true;
    }
    /** Casts kept until all members are known to have them. */
    get unstableCount() {
        return this.#causal?.keptCount ?? 0;
    }
    get contextBytes() {
        return this.#causal?.contextBytes ?? 0;
    }
    /** Multicasts a payload causally to the view; held back while the view is changing. */
    cast(payload) {
        const { local, transport } = this.#parts;
        if (!local.inView || this.#causal === undefined || this.#causal.stopped) {
            this.#backlog.push(payload);
            if (this.#backlog.length > BACKLOG_MOST)
                this.#backlog.shift();
            return;
        }
        const cast = this.#causal.send(payload);
        for (const member of local.others())
            transport.parcel(member, { case: 'cast', value: cast });
    }
    receive(cast) {
        const viewNumber = this.#parts.local.view?.number ?? 0;
        if (cast.view > viewNumber) {
            this.#early.push(cast);
            if (this.#early.length > EARLY_CASTS_MOST)
                this.#early.shift();
            return;
        }
        this.#causal?.receive(cast);
    }
    /** How many casts of each member were delivered here, by rank. */
    delivered() {
        return [...(this.#causal?.delivered ?? [])];
    }
    /** How many casts of each member were delivered everywhere, by rank. */
    stable() {
        return [...(this.#causal?.stable ?? [])];
    }
    /** Takes what a member of this view says about delivery. */
    learn(from, heartbeat) {
        this.#causal?.learnDelivered(from, heartbeat.delivered);
        this.#causal?.learnStable(heartbeat.stable);
    }
    /** Ends delivery in this view and returns what may be missing elsewhere. */
    stop() {
        return this.#causal?.stop() ?? [];
    }
    /** Delivers what was agreed to end this view. */
    finish(cut) {
        this.#causal?.finish(cut);
    }
    /** Starts the causal order of a new view. */
    enter(view) {
        this.#causal = new Causal(view, this.#parts.local.incarnation, (cast) => this.#deliver(view, cast));
    }
    /** Takes the casts and payloads that waited for the view. */
    open() {
        const early = this.#early;
        this.#early = [];
        for (const cast of early)
            this.receive(cast);
        const backlog = this.#backlog;
        this.#backlog = [];
        for (const payload of backlog)
            this.cast(payload);
    }
    clear() {
        this.#causal = undefined;
    }
    #deliver(view, cast) {
        const sender = view.members[rankOf(view, cast.sender)];
        if (sender !== undefined)
            this.#parts.dependencies.audience.onCast(sender, cast.payload);
    }
}
//# sourceMappingURL=casts.js.map