/** Whom this node takes for the coordinator. */
import type { GroupParts } from './group-parts.js';
/** The coordinator as its last heartbeat showed it. */
export interface FollowedCoordinator {
    readonly incarnation: string;
    readonly epoch: number;
    readonly atMs: number;
    /** It says itself that it cannot coordinate now. */
    readonly unable: boolean;
}
type CoordinatorWatchParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'liveness' | 'local'>;
/**
 * Remembers the coordinator of the newest epoch that was heard, this node
 * itself included, and says whether it can be relied on now.
 * @example
 * coordinatorWatch.live()?.incarnation; // where operations are submitted
 */
export declare class CoordinatorWatch<S> {
    #private;
    constructor(parts: CoordinatorWatchParts<S>);
    follow(incarnation: string, epoch: number, unable: boolean): void;
    /** Ceases to follow this node itself: it has resigned. */
    unfollowSelf(): void;
    clear(): void;
    /** The coordinator, if it was heard lately, is live and of the newest epoch known. */
    live(): FollowedCoordinator | undefined;
}
export {};
