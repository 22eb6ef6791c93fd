/** Which nodes are known, and where. */
import type { Seat } from '@rainrun/messages';
import type { GroupDependencies } from './group-dependencies.js';
/**
 * The nodes that this one has heard of: by incarnation as long as they
 * matter, and every address at which a node may be found again.
 * @example
 * directory.learn(hello.seat);
 * directory.seat('incarnation-2')?.address;
 */
export declare class Directory<S> {
    #private;
    constructor(dependencies: GroupDependencies<S>);
    /** Every address heard of, in the order in which they came. */
    get addresses(): ReadonlySet<string>;
    seat(incarnation: string): Seat | undefined;
    /** Incarnations known; entries may be forgotten while this is read. */
    incarnations(): IterableIterator<string>;
    /** Remembers a node and its address. */
    learn(seat: Seat): void;
    /** Remembers a node that is sent to, but no address to look for it later. */
    remember(seat: Seat): void;
    learnAddress(address: string): void;
    /** Remembers where the members of a view were, to find them again from outside. */
    learnAddresses(members: readonly Seat[]): void;
    forget(incarnation: string): void;
}
