import { type Frame, type Parcel, type Seat } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type TransportParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'directory' | 'leases' | 'liveness' | 'local' | 'receiver' | 'viewChange'>;
/**
 * Sends frames, which may be lost, and bodies in parcels, which arrive once
 * and in order as long as both ends stay in the view.
 * @example
 * transport.post(member, { case: 'bye', value: create(ByeSchema) });
 * transport.parcel(member, { case: 'cast', value: cast });
 */
export declare class Transport<S> {
    #private;
    constructor(parts: TransportParts<S>);
    /** Sends one frame to a node. */
    post(seat: Seat, body: Frame['body']): void;
    /** Sends one frame to a node if it is known under this incarnation. */
    postTo(incarnation: string, body: Frame['body']): void;
    /** Sends one frame to whoever is at an address; an empty incarnation means anybody. */
    postToAddress(address: string, incarnation: string, body: Frame['body']): void;
    /** Sends a body in order; to this node itself it is delivered at once. */
    parcel(seat: Seat, body: Parcel['body']): void;
    onParcel(from: string, parcel: Parcel): void;
    /** Sends what is due on all channels: acknowledgements, and again what was not acknowledged. */
    tick(nowMs: number): void;
    /** How long the oldest unacknowledged body to a node has waited. */
    lagMs(incarnation: string, nowMs: number): number;
    /** This process was away: the others are not to blame for that time. */
    slept(awayMs: number): void;
    /** Ends the channels to all but some incarnations. */
    keepOnly(incarnations: ReadonlySet<string>): void;
    clear(): void;
}
export {};
