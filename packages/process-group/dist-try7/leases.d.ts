/** Leases: until when this node may admit work, and until when it may act alone for all. */
import type { HeartbeatAck } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type LeaseParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'local'>;
/**
 * The leases that a majority of the view grants this node with its
 * acknowledgements: one to admit work by the state held, and one to act as
 * the only coordinator ("duty").
 * @example
 * if (leases.isGranted()) admit(request);
 */
export declare class Leases<S> {
    #private;
    constructor(parts: LeaseParts<S>);
    /** Notes since when this node has its duty. */
    tick(nowMs: number): void;
    /** When this node's right to admit ends; compare with the clock just before each act. */
    grantEndMs(): number;
    /** The version that a member held when it last gave its word. */
    versionAt(incarnation: string): number | undefined;
    isGranted(): boolean;
    /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
    dutyEpoch(): number | undefined;
    /** Takes the grants in a member's acknowledgement of the heartbeat sent at `sentMs`. */
    onAck(from: string, sentMs: number, ack: HeartbeatAck): void;
    /** This node coordinates a new epoch: grants for an earlier duty do not count. */
    startDuty(): void;
    clear(): void;
}
export {};
