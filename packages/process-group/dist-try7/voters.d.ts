/** The voters of the agreed state: which disks vote, and where they are now. */
import type { Seat, Voter } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
import type { VoterSets } from './play.js';
type VoterParts<S> = Pick<GroupParts<S>, 'dependencies' | 'discovery' | 'liveness' | 'local'>;
/**
 * Finds the voters: from the state held in a view, else from the version
 * that this node's disk accepted last.
 * @example
 * voters.seat(voters.list()[0].disk); // the member with that disk, if it is in touch
 */
export declare class Voters<S> {
    #private;
    constructor(parts: VoterParts<S>);
    list(): readonly Voter[];
    /** The voters, and those before them while their change is not known to be chosen. */
    sets(): VoterSets;
    /** Where the voter with this disk is now, if it is known. */
    seat(disk: string): Seat | undefined;
}
export {};
