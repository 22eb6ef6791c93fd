import { type Heartbeat, type HeartbeatAck } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type HeartbeatParts<S> = Pick<GroupParts<S>, 'casts' | 'coordination' | 'coordinatorWatch' | 'dependencies' | 'diskWatch' | 'directory' | 'leases' | 'liveness' | 'local' | 'transport' | 'versions' | 'viewChange'>;
/**
 * Sends this node's heartbeats to the view and answers those of others. The
 * acknowledgement of a member is what grants this node its lease, counted from
 * the moment at which the heartbeat was sent.
 * @example
 * heartbeats.tick(nowMs);
 */
export declare class Heartbeats<S> {
    #private;
    constructor(parts: HeartbeatParts<S>);
    tick(nowMs: number): void;
    /** Sends a heartbeat to every other member. */
    send(nowMs: number): void;
    onHeartbeat(from: string, heartbeat: Heartbeat): void;
    onHeartbeatAck(from: string, ack: HeartbeatAck): void;
}
export {};
