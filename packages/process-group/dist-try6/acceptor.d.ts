import { type Accepted, type Claim, type Promise as Promised, type Propose, type Version } from '@rainrun/messages';
import type { Records, Vault } from '@rainrun/storage';
import { type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
/** What an voter's disk says when the node opens it. */
export interface Opening {
    readonly disk: string;
    readonly deployment: string;
    readonly promisedEpoch: number;
    readonly promisedTo: string;
    readonly accepted: Version | undefined;
}
/**
 * Reads the records of a disk. A disk that once held agreed state and lost it is refused.
 * @example
 * const opening = readRecords({}, 'fresh-id'); // an empty disk with a new id
 */
export declare function readRecords(records: Records, freshDisk: string): Result<Opening, Fault>;
/**
 * The voter's vote. It promises each epoch to one claimant and accepts
 * versions of its promised epoch; both count only once they are synced.
 * @example
 * const acceptor = new Acceptor(opening, vault, 'vejsargs', (fault) => stopNode(fault));
 * acceptor.claim(claim, (promise) => reply(promise));
 */
export declare class Acceptor {
    #private;
    constructor(opening: Opening, vault: Vault, deployment: string, failed: (fault: Fault) => void);
    get disk(): string;
    get promisedEpoch(): number;
    get accepted(): Version | undefined;
    /** True while a write has been asked for and not yet synced. */
    get busy(): boolean;
    /** Writes synced so far. */
    get syncs(): number;
    /** Writes the disk's own record, before anything else is written. */
    mark(): void;
    claim(claim: Claim, reply: (promise: Promised) => void): void;
    propose(propose: Propose, reply: (accepted: Accepted) => void): void;
}
