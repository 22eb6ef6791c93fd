import { type Answer, type Voter, type Entry, type Operation, type Seat, type Version, type View } from '@rainrun/messages';
import type { Fault, FaultKind } from '@rainrun/common';
import type { Result } from 'true-myth';
/** How one operation ended. */
export interface Outcome {
    readonly kind: 'agreed' | FaultKind;
    readonly detail: string;
}
/**
 * The application's own state as the group sees it: pure functions only, so
 * that every node that applies the same entries holds the same state.
 */
export interface Play<S> {
    empty(): S;
    /** The state in two parts: one that every level can read, and what came with later levels. */
    encode(state: S): Encoded;
    decode(encoded: Encoded): Result<S, Fault>;
    /** Applies by the rules of a level of the protocol. */
    apply(state: S, operation: Operation, level: number): {
        state: S;
        outcome: Outcome;
    };
    /** The state without what level 1 cannot carry. */
    plain(state: S): S;
}
/** The application's state as bytes. */
export interface Encoded {
    readonly play: Uint8Array;
    readonly extra: Uint8Array;
}
/** The agreed state as held in memory, at one version. Never changed in place. */
export interface Held<S> {
    readonly epoch: number;
    readonly number: number;
    readonly deployment: string;
    readonly view: View;
    /** The view that this version ended, until the next version says that this is settled. */
    readonly before: View | undefined;
    readonly voters: readonly Voter[];
    /** The voters before this version, if it changed them: until it is known to be chosen, elections and votes need a majority of both sets. */
    readonly votersBefore: readonly Voter[];
    readonly play: S;
    readonly answers: readonly Answer[];
    /** The level of the protocol by which the newest entry was applied. */
    readonly level: number;
    /** The group's clock: it runs while a coordinator sequences, and never faster than time. */
    readonly clockMs: number;
}
/** So long by the group's clock an answer to an operator is remembered, and its id applied no second time. */
export declare const REMEMBERED_MS = 600000;
/** No more answers to operators are remembered; further operations wait or are refused at the door. */
export declare const REMEMBERED_MOST = 2048;
/**
 * More than half of a set.
 * @example
 * majority(3); // 2
 */
export declare function majority(size: number): number;
/** The voters of a version, and those before it where it changed them. */
export interface VoterSets {
    readonly voters: readonly Voter[];
    readonly votersBefore: readonly Voter[];
}
/**
 * Whether these disks are a majority of the voters, and of those before where a
 * version changed them.
 * @example
 * isQuorum(held, new Set(['disk-1', 'disk-2']));
 */
export declare function isQuorum(sets: VoterSets, disks: {
    has(disk: string): boolean;
}): boolean;
/**
 * The disks of all voters of a version, and of those before it.
 * @example
 * disksOf(held); // Set { 'disk-1', 'disk-2', 'disk-3' }
 */
export declare function disksOf(sets: VoterSets): Set<string>;
/**
 * The rank of a incarnation in a view, or -1.
 * @example
 * rankOf(view, 'incarnation-1'); // 0
 */
export declare function rankOf(view: View, incarnation: string): number;
/**
 * Whether version `one` comes after `other`: the epoch decides before the number.
 * @example
 * later({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export declare function later(one: {
    epoch: number;
    number: number;
}, other: {
    epoch: number;
    number: number;
}): boolean;
/**
 * How many answers to operators are remembered now.
 * @example
 * rememberedCount(held) >= REMEMBERED_MOST; // true: no room for another operation
 */
export declare function rememberedCount(held: {
    readonly answers: readonly Answer[];
}): number;
/**
 * The state that follows from an entry. The same on every node.
 * @example
 * const next = advance(play, held, 2, create(EntrySchema, { operations: [operation] }));
 */
export declare function advance<S>(play: Play<S>, held: Held<S>, epoch: number, entry: Entry): Held<S>;
/**
 * The level that all of some seats speak.
 * @example
 * levelOf([{ speaks: 2 }, { speaks: 0 }]); // 1
 */
export declare function levelOf(seats: readonly {
    readonly speaks: number;
}[]): number;
/**
 * Why a seat cannot join others, or undefined if there is a level that all speak.
 * @example
 * unbridged({ speaks: 1, speaksFrom: 1 }, [{ speaks: 3, speaksFrom: 2 }]);
 * // 'it speaks levels 1 to 1 of the protocol, the group 2 to 3'
 */
export declare function unbridged(seat: Range, others: readonly Range[]): string | undefined;
interface Range {
    readonly speaks: number;
    readonly speaksFrom: number;
}
/**
 * Held state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(play, held, entry);
 */
export declare function toVersion<S>(play: Play<S>, held: Held<S>, entry: Entry): Version;
/**
 * The held state that a version with state stands for.
 * @example
 * const held = fromVersion(play, version);
 */
export declare function fromVersion<S>(play: Play<S>, version: Version): Result<Held<S>, Fault>;
/**
 * A version without its state, as it goes to members that hold the one before.
 * @example
 * bare(version).state; // undefined
 */
export declare function bare(version: Version): Version;
/**
 * A copy of a seat under another incarnation, as a dropped node rejoins.
 * @example
 * reborn(seat, 'incarnation-2').incarnation; // 'incarnation-2'
 */
export declare function reborn(seat: Seat, incarnation: string): Seat;
export {};
