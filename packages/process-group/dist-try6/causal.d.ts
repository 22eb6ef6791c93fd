import { type Cast, type View } from '@rainrun/messages';
/**
 * Causal multicast within one view. A cast is held back until its causal
 * predecessors have been delivered; it is kept until it is known to be
 * delivered everywhere, so that a flush can hand it on.
 * @example
 * const causal = new Causal(view, 'incarnation-1', (sender, payload) => observe(sender, payload));
 * const cast = causal.send(payload);
 */
export declare class Causal {
    #private;
    constructor(view: View, incarnation: string, deliver: (cast: Cast) => void);
    get stopped(): boolean;
    get delivered(): readonly number[];
    /** Bytes of context record sent so far, as a figure for the logs. */
    get contextBytes(): number;
    get keptCount(): number;
    /** Delivers a payload here at once and returns the cast for the others. */
    send(payload: Uint8Array): Cast;
    /** Takes a cast of this view; it may have to wait for others. */
    receive(cast: Cast): void;
    /** What all members have delivered as far as this one knows, by rank. */
    get stable(): readonly number[];
    /** Learns from the gatherer what all members have delivered, and lets go of it. */
    learnStable(stable: readonly number[]): void;
    /** Learns what a member has delivered, and lets go of what all have. */
    learnDelivered(incarnation: string, delivered: readonly number[]): void;
    /** Ends delivery in this view and returns every cast that may be missing elsewhere, with whole context. */
    stop(): Cast[];
    /** Delivers what was agreed to end this view, in the agreed order, and nothing else. */
    finish(cut: readonly Cast[]): void;
}
/**
 * The union of what the staying members hold, in one causal order: what ends
 * the old view at every one of them. A cast whose predecessor nobody has any
 * more comes last: its sender left with it.
 * @example
 * const cut = cutOf(view, flushes.map((flush) => flush.unstable));
 */
export declare function cutOf(view: View, lots: readonly (readonly Cast[])[]): Cast[];
