/** The entrance for everything that other nodes send. */
import type { Frame, Parcel } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type ReceiverParts<S> = Pick<GroupParts<S>, 'casts' | 'coordination' | 'dependencies' | 'discovery' | 'election' | 'heartbeats' | 'liveness' | 'local' | 'submissions' | 'transport' | 'versions' | 'viewChange'>;
/**
 * Hands each frame, and each body that comes in order, to the part of the
 * group that answers it.
 * @example
 * receiver.receive(frame);
 */
export declare class Receiver<S> {
    #private;
    constructor(parts: ReceiverParts<S>);
    receive(frame: Frame): void;
    /** Takes a body that arrived in order, or that this node sent to itself. */
    onBody(from: string, body: Parcel['body']): void;
}
export {};
