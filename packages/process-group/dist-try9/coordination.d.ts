import { type Accepted, type Propose, type Submit, type Version } from '@rainrun/messages';
import { Coordinator } from './coordinator.js';
import type { GroupParts } from './group-parts.js';
type CoordinationParts<S> = Pick<GroupParts<S>, 'coordinatorWatch' | 'dependencies' | 'directory' | 'discovery' | 'election' | 'leases' | 'liveness' | 'local' | 'transport' | 'versions' | 'viewChange' | 'voters'>;
/**
 * Holds the coordinator while this node is it, and ends its term when a newer
 * epoch is heard of or a majority has granted nothing for too long.
 * @example
 * coordination.start(3, version); // a majority promised epoch 3
 * coordination.coordinator?.epoch; // 3
 */
export declare class Coordination<S> {
    #private;
    constructor(parts: CoordinationParts<S>);
    /** The coordinator, while this node is it. */
    get coordinator(): Coordinator<S> | undefined;
    /** Whether this node had to resign so lately that it should not be elected again. */
    isUnable(nowMs: number): boolean;
    /** Drives the coordinator; resigns when a majority has granted nothing for too long. */
    tick(nowMs: number): void;
    /** A majority promised an epoch: this node coordinates from this version on. */
    start(epoch: number, version: Version): void;
    /** Ends this node's term if a newer epoch than its own has been heard of. */
    resignIfBefore(epoch: number): void;
    /** Ends this node's term without more ado: it goes on as a new member. */
    drop(): void;
    /** Takes an operation that a member, or this node itself, submits. */
    onSubmit(from: string, submit: Submit): void;
    /** Hands a proposal of a coordinator to this node's disk, if it votes. */
    onPropose(from: string, propose: Propose): void;
    /** Takes a vote on this coordinator's proposal. */
    onAccepted(accepted: Accepted): void;
}
export {};
