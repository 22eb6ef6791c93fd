import { Claims } from './claims.js';
import type { GroupParts } from './group-parts.js';
type ElectionParts<S> = Pick<GroupParts<S>, 'coordination' | 'coordinatorWatch' | 'dependencies' | 'directory' | 'discovery' | 'founding' | 'liveness' | 'local' | 'transport' | 'voters'>;
/**
 * Decides when a voter that does not coordinate claims the next epoch: when
 * no coordinator is heard and no voter that comes before it can be reached.
 * @example
 * election.tick(nowMs); // while this node does not coordinate
 */
export declare class Election<S> {
    #private;
    constructor(parts: ElectionParts<S>);
    /** Claims to an epoch, own and others'; only on a node with a disk. */
    get claims(): Claims | undefined;
    tick(nowMs: number): void;
}
export {};
