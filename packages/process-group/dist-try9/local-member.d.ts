import { type Seat, type View } from '@rainrun/messages';
import type { GroupDependencies } from './group-dependencies.js';
import { type Held } from './play.js';
/**
 * This node as a member: who it is, which version it holds, whether it is in
 * a view, and the newest epoch and agreed version that it has heard of.
 * @example
 * const local = new LocalMember(dependencies);
 * local.view; // undefined until a view has let this node in
 */
export declare class LocalMember<S> {
    #private;
    constructor(dependencies: GroupDependencies<S>);
    get seat(): Seat;
    get incarnation(): string;
    /** The newest version that came into force here, in a view or not. */
    get held(): Held<S> | undefined;
    get inView(): boolean;
    /** The view this node is a member of, or undefined while it is in none. */
    get view(): View | undefined;
    /** Number of the version in force in this node's view; 0 while it is in none. */
    get heldNumber(): number;
    /** Number of the newest version that this node holds or has accepted on its disk. */
    get newestNumber(): number;
    /** Newest epoch that this node knows of. */
    get epoch(): number;
    /** Newest version that this node knows to be agreed. */
    get agreed(): number;
    /** Whether this node has said goodbye. */
    get leaving(): boolean;
    nowMs(): number;
    /** The other members of the view. */
    others(): Seat[];
    sawEpoch(epoch: number): void;
    sawAgreed(number: number): void;
    hold(held: Held<S>): void;
    enterView(): void;
    /** Leaves the view and goes on under a new incarnation; the state held is kept. */
    startAnew(): void;
    startLeaving(): void;
}
