import type { GroupParts } from './group-parts.js';
type FoundingParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'discovery' | 'local'>;
/**
 * Founds the group when all founders are there with empty disks and nobody
 * has heard of a group.
 * @example
 * if (founding.mayFound()) founding.tick();
 */
export declare class Founding<S> {
    #private;
    constructor(parts: FoundingParts<S>);
    /** Whether this node is a founder whose disk has not accepted anything yet. */
    mayFound(): boolean;
    /** Founds the group if this is the first of the founders and all the others are there. */
    tick(): void;
}
export {};
