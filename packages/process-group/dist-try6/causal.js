import { create } from '@bufbuild/protobuf';
import { CastSchema } from '@rainrun/messages';
import { rankOf } from './play.js';
/**
 * Causal multicast within one view. A cast is held back until its causal
 * predecessors have been delivered; it is kept until it is known to be
 * delivered everywhere, so that a flush can hand it on.
 * @example
 * const causal = new Causal(view, 'incarnation-1', (sender, payload) => observe(sender, payload));
 * const cast = causal.send(payload);
 */
export class Causal {
    #view;
    #rank;
    #incarnation;
    #deliver;
    #delivered;
    #waiting = [];
    #kept = new Map();
    #recordSent;
    #records;
    #stableAt;
    #stopped = false;
    #contextBytes = 0;
    constructor(view, incarnation, deliver) {
        const size = view.members.length;
        this.#view = view;
        this.#incarnation = incarnation;
        this.#rank = rankOf(view, incarnation);
        this.#deliver = deliver;
        this.#delivered = new Array(size).fill(0);
        this.#recordSent = new Array(size).fill(0);
        this.#records = view.members.map(() => new Array(size).fill(0));
        this.#stableAt = view.members.map(() => new Array(size).fill(0));
    }
    get stopped() {
        return this.#stopped;
    }
    get delivered() {
        return this.#delivered;
    }
    /** Bytes of context record sent so far, as a figure for the logs. */
    get contextBytes() {
        return this.#contextBytes;
    }
    get keptCount() {
        return this.#kept.size;
    }
    /** Delivers a payload here at once and returns the cast for the others. */
    send(payload) {
        const sequence = (this.#delivered[this.#rank] ?? 0) + 1;
        const context = [...this.#delivered];
        context[this.#rank] = sequence;
        const cast = create(CastSchema, {
            sender: this.#incarnation,
            view: this.#view.number,
            sequence,
            payload,
        });
        context.forEach((count, rank) => {
            if (rank === this.#rank || count === this.#recordSent[rank])
                return;
            cast.contextRank.push(rank);
            cast.contextCount.push(count);
            this.#contextBytes += 3;
        });
        this.#recordSent = context;
        this.#accept({ rank: this.#rank, context, cast });
        return cast;
    }
    /** Takes a cast of this view; it may have to wait for others. */
    receive(cast) {
        const rank = rankOf(this.#view, cast.sender);
        const record = this.#records[rank];
        if (record === undefined || cast.view !== this.#view.number)
            return;
        if (cast.sequence <= (record[rank] ?? 0))
            return;
        cast.contextRank.forEach((at, place) => {
            if (at < record.length)
                record[at] = cast.contextCount[place] ?? 0;
        });
        record[rank] = cast.sequence;
        this.#waiting.push({ rank, context: [...record], cast });
        if (this.#stopped)
            this.#keep(this.#waiting[this.#waiting.length - 1]);
        else
            this.#drain();
    }
    /** What all members have delivered as far as this one knows, by rank. */
    get stable() {
        return this.#delivered.map((own, rank) => Math.min(own, ...this.#stableAt.flatMap((vector, member) => (member === this.#rank ? [] : [vector[rank] ?? 0]))));
    }
    /** Learns from the gatherer what all members have delivered, and lets go of it. */
    learnStable(stable) {
        if (stable.length !== this.#delivered.length)
            return;
        for (const [key, held] of this.#kept)
            if (held.cast.sequence <= (stable[held.rank] ?? 0))
                this.#kept.delete(key);
    }
    /** Learns what a member has delivered, and lets go of what all have. */
    learnDelivered(incarnation, delivered) {
        const rank = rankOf(this.#view, incarnation);
        if (rank < 0 || delivered.length !== this.#delivered.length)
            return;
        this.#stableAt[rank] = [...delivered];
        for (const [key, held] of this.#kept) {
            if (this.#isStable(held))
                this.#kept.delete(key);
        }
    }
    /** Ends delivery in this view and returns every cast that may be missing elsewhere, with whole context. */
    stop() {
        this.#stopped = true;
        for (const held of this.#waiting)
            this.#keep(held);
        return [...this.#kept.values()].map((held) => whole(held));
    }
    /** Delivers what was agreed to end this view, in the agreed order, and nothing else. */
    finish(cut) {
        for (const cast of cut) {
            const rank = rankOf(this.#view, cast.sender);
            if (rank < 0 || cast.sequence <= (this.#delivered[rank] ?? 0))
                continue;
            this.#delivered[rank] = cast.sequence;
            this.#deliver(cast);
        }
    }
    #isStable(held) {
        return this.#stableAt.every((vector, rank) => {
            const count = rank === this.#rank ? this.#delivered[held.rank] : vector[held.rank];
            return (count ?? 0) >= held.cast.sequence;
        });
    }
    #keep(held) {
        if (held !== undefined)
            this.#kept.set(`${held.rank}:${held.cast.sequence}`, held);
    }
    #accept(held) {
        this.#delivered[held.rank] = held.cast.sequence;
        this.#keep(held);
        this.#deliver(held.cast);
    }
    #drain() {
        for (let moved = true; moved;) {
            moved = false;
            for (const held of this.#waiting) {
                if (!ready(held, this.#delivered))
                    continue;
                this.#waiting.splice(this.#waiting.indexOf(held), 1);
                this.#accept(held);
                moved = true;
                break;
            }
        }
    }
}
function ready(held, delivered) {
    if (held.cast.sequence !== (delivered[held.rank] ?? 0) + 1)
        return false;
    return held.context.every((count, rank) => rank === held.rank || count <= (delivered[rank] ?? 0));
}
function whole(held) {
    const { sender, view, sequence, payload } = held.cast;
    return create(CastSchema, {
        sender,
        view,
        sequence,
        payload,
        contextRank: held.context.map((_, rank) => rank),
        contextCount: [...held.context],
    });
}
/**
 * The union of what the staying members hold, in one causal order: what ends
 * the old view at every one of them. A cast whose predecessor nobody has any
 * more comes last: its sender left with it.
 * @example
 * const cut = cutOf(view, flushes.map((flush) => flush.unstable));
 */
export function cutOf(view, lots) {
    const known = new Map();
    for (const cast of lots.flat()) {
        const rank = rankOf(view, cast.sender);
        if (rank < 0 || cast.view !== view.number)
            continue;
        known.set(`${rank}:${cast.sequence}`, { rank, context: cast.contextCount, cast });
    }
    const left = [...known.values()].sort((one, other) => one.rank - other.rank || one.cast.sequence - other.cast.sequence);
    const cut = [];
    while (left.length > 0) {
        const next = left.findIndex((held) => left.every((other) => other === held || !precedes(other, held)));
        cut.push(...left.splice(Math.max(next, 0), 1).map((held) => held.cast));
    }
    return cut;
}
function precedes(one, other) {
    return one.cast.sequence <= (other.context[one.rank] ?? 0) && one !== other;
}
//# sourceMappingURL=causal.js.map