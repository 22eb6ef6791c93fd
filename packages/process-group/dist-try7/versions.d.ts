import { type Seat, type Version } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type VersionParts<S> = Pick<GroupParts<S>, 'casts' | 'dependencies' | 'directory' | 'heartbeats' | 'local' | 'transport' | 'viewChange'>;
/**
 * Applies versions one after the other. A gap is fetched from whoever holds
 * more; a node outside a view starts from a version with the whole state.
 * @example
 * versions.take('incarnation-2', version);
 */
export declare class Versions<S> {
    #private;
    constructor(parts: VersionParts<S>);
    /** Starts anew if a gap has stayed open for too long. */
    tick(nowMs: number): void;
    /** Asks a member for the versions after the one held here. */
    fetch(from: string): void;
    /** Sends a member versions from `first` on: as entries, as many as a message takes, or as the whole state if those are gone. */
    onFetch(from: string, first: number): void;
    /** Sends a member the whole state. */
    sendWhole(seat: Seat): void;
    /** Takes a version from a member or from the coordinator in this node. */
    take(from: string, version: Version): void;
    clearGap(): void;
}
export {};
