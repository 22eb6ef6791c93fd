import { type Hello, type HelloAck, type Seat } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
/** A node that was lately in touch, as it described itself. */
export interface Contact {
    readonly seat: Seat;
    readonly atMs: number;
    readonly inView: boolean;
    /** Newest version that it holds or has accepted. */
    readonly number: number;
    /** Whether it is a founder with an empty disk. */
    readonly founding: boolean;
}
type DiscoveryParts<S> = Pick<GroupParts<S>, 'dependencies' | 'directory' | 'founding' | 'leases' | 'liveness' | 'local' | 'transport' | 'versions' | 'viewChange'>;
/**
 * Greets the addresses known while this node is outside a view or has lost
 * its majority, and answers the greetings of others. A node counts as there
 * only after it has echoed a greeting of ours: so a path in one direction
 * alone makes no contact.
 * @example
 * discovery.tick(nowMs);
 * discovery.joiners(); // the coordinator lets these in
 */
export declare class Discovery<S> {
    #private;
    constructor(parts: DiscoveryParts<S>);
    /** Greets every address known, when it is time and there is a reason to. */
    tick(nowMs: number): void;
    /** The nodes that were in touch lately. */
    freshContacts(): Contact[];
    /** Live nodes that ask to join; this node too while it is in no view. */
    joiners(): Seat[];
    isInTouch(incarnation: string, nowMs: number): boolean;
    onHello(hello: Hello): void;
    onHelloAck(ack: HelloAck): void;
    forget(incarnation: string): void;
    /** This node goes on under another incarnation: greetings to the old one do not count. */
    clearGreetings(): void;
}
export {};
