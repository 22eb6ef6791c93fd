import { type Claim, type Frame, type Promise as Promised, type Seat, type Version } from '@rainrun/messages';
import type { Chance } from '@rainrun/common';
import type { Acceptor } from './acceptor.js';
import { type VoterSets } from './play.js';
import type { GroupTimes } from './times.js';
/** What claims need of the node that they run in. */
export interface ClaimContext {
    readonly acceptor: Acceptor;
    readonly times: GroupTimes;
    readonly chance: Chance;
    nowMs(): number;
    /** The voters of the newest version that this node knows of. */
    voters(): VoterSets;
    /** Where the voter with this disk is now, if it is known. */
    voterSeat(disk: string): Seat | undefined;
    seat(incarnation: string): Seat | undefined;
    post(seat: Seat, body: Frame['body']): void;
    /** Incarnation of the coordinator that this node follows, if one is heard. */
    following(): string | undefined;
    /** Newest epoch that this node knows of. */
    epoch(): number;
    sawEpoch(epoch: number): void;
    /** A majority promised an epoch: this node coordinates from this version on. */
    take(epoch: number, version: Version): void;
}
/**
 * Claims of an voter to the next epoch, and its answers to those of others.
 * It asks first whether a majority would grant, so that it unseats nobody who
 * is at work.
 * @example
 * const claims = new Claims(context);
 * if (claims.due(nowMs) && !claims.isTaken(undefined, nowMs)) claims.begin(nowMs);
 */
export declare class Claims {
    #private;
    constructor(context: ClaimContext);
    /** Whether a claim is under way. */
    get pressing(): boolean;
    due(nowMs: number): boolean;
    /** This node has slept: it listens before it claims. */
    woke(nowMs: number): void;
    /** This node has ceased to coordinate. */
    resigned(): void;
    /** A coordinator of the newest epoch has proposed something. */
    courted(): void;
    forget(): void;
    /** Whether a coordinator is at work as far as this node can see; a claim against it is not supported. */
    isTaken(claimant: string | undefined, nowMs: number): boolean;
    begin(nowMs: number): void;
    tick(nowMs: number): void;
    onClaim(from: string, claim: Claim): void;
    onPromise(promise: Promised): void;
}
