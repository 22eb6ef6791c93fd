import { type Accepted, type Cast, type Entry, type Flush, type Frame, type Operation, type Parcel, type Seat, type Version } from '@rainrun/messages';
import { type Held, type Play } from './play.js';
import type { GroupTimes } from './times.js';
/** What the coordinator needs from the node that it runs in. */
export interface CoordinatorContext<S> {
    readonly play: Play<S>;
    readonly times: GroupTimes;
    readonly disk: string;
    /** So many voters there should be, as far as there are disks. */
    readonly votersWanted: number;
    self(): Seat;
    /** Newest version in force in this node. */
    heldNumber(): number;
    live(incarnation: string): boolean;
    /** Whether this incarnation has said goodbye. */
    left(incarnation: string): boolean;
    /** Whether most members say that they cannot reach this incarnation. */
    reported(incarnation: string): boolean;
    /** Live nodes that ask to join; this node too while it is in no view. */
    joiners(): readonly Seat[];
    /** Where the voter with this disk is now, if it is known. */
    voterSeat(disk: string): Seat | undefined;
    post(seat: Seat, body: Frame['body']): void;
    parcel(seat: Seat, body: Parcel['body']): void;
    /** This node's own vote on a proposal. */
    vote(version: Version): void;
    flushSelf(change: number, staying: readonly string[]): readonly Cast[];
    deliverSelf(version: Version): void;
}
/**
 * The one node that, in its epoch, changes the view and sequences the agreed
 * operations. One version at a time: synced by a majority of voters, then
 * held by a majority of the view (of the old and the new one when the view
 * changes); only then is it agreed and the next one begun.
 * @example
 * const coordinator = new Coordinator(context, 3, base, entry, nowMs, (number) => note(number));
 * coordinator.tick(nowMs);
 */
export declare class Coordinator<S> {
    #private;
    constructor(context: CoordinatorContext<S>, epoch: number, base: Held<S>, entry: Entry, nowMs: number, settled: (number: number) => void);
    get epoch(): number;
    get agreed(): number;
    /** Whether this epoch has an agreed version of its own. */
    get ready(): boolean;
    /** Takes an operation; an id already decided or waiting is not taken twice. */
    submit(operation: Operation, from: Seat): void;
    forget(name: string): void;
    holds(incarnation: string, number: number): void;
    accepted(accepted: Accepted): void;
    flushed(incarnation: string, flush: Flush): void;
    tick(nowMs: number): void;
}
