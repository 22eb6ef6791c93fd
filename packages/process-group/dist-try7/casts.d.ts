/** Causal multicast across views: what waits for a view, and the causal order within one. */
import type { Cast, Heartbeat, View } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type CastParts<S> = Pick<GroupParts<S>, 'dependencies' | 'local' | 'transport'>;
/**
 * Sends and delivers causal casts. Payloads wait while the view is being
 * changed; casts of a view that this node has not entered yet wait for it.
 * @example
 * casts.cast(payload);
 */
export declare class Casts<S> {
    #private;
    constructor(parts: CastParts<S>);
    /** True while no casts are sent: outside a view, and while the view is being changed. */
    get stopped(): boolean;
    /** Casts kept until all members are known to have them. */
    get unstableCount(): number;
    get contextBytes(): number;
    /** Multicasts a payload causally to the view; held back while the view is changing. */
    cast(payload: Uint8Array): void;
    receive(cast: Cast): void;
    /** How many casts of each member were delivered here, by rank. */
    delivered(): number[];
    /** How many casts of each member were delivered everywhere, by rank. */
    stable(): number[];
    /** Takes what a member of this view says about delivery. */
    learn(from: string, heartbeat: Heartbeat): void;
    /** Ends delivery in this view and returns what may be missing elsewhere. */
    stop(): Cast[];
    /** Delivers what was agreed to end this view. */
    finish(cut: readonly Cast[]): void;
    /** Starts the causal order of a new view. */
    enter(view: View): void;
    /** Takes the casts and payloads that waited for the view. */
    open(): void;
    clear(): void;
}
export {};
