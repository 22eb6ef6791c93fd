import { type Answer, type Frame, type Operation, type Seat, type View } from '@rainrun/messages';
import type { GroupDependencies } from './group-dependencies.js';
import type { Held } from './play.js';
/**
 * A node's place in the process group: membership, views, causal and total
 * order, leases. Driven from outside by `receive` and `tick`; it owns no
 * socket, no timer and no file.
 * @example
 * const group = new Group(dependencies);
 * group.tick(); // every 50 ms
 * group.receive(frame); // for each frame that comes
 */
export declare class Group<S> {
    #private;
    constructor(dependencies: GroupDependencies<S>);
    get seat(): Seat;
    /** The newest version that came into force here. */
    get held(): Held<S> | undefined;
    /** The view this node is a member of, or undefined while it is in none. */
    get view(): View | undefined;
    /** True while the view is being changed: casts wait. */
    get changing(): boolean;
    /** Whether this node is the coordinator. */
    get leading(): boolean;
    /** Incarnation of the coordinator that this node follows, if one was heard lately. */
    get coordinatorIncarnation(): string | undefined;
    /** Newest epoch that this node knows of. */
    get epoch(): number;
    /** Casts kept until all members are known to have them. */
    get unstableCount(): number;
    get contextBytes(): number;
    /** Newest version that this node knows to be agreed. */
    get agreed(): number;
    /** When this node's right to admit ends; compare with the clock just before each act. */
    grantEndMs(): number;
    /** This node holds all that was agreed before this moment. */
    informedMs(): number;
    /** The version in force at another member when it last answered a heartbeat. */
    versionAt(incarnation: string): number | undefined;
    granted(): boolean;
    /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
    dutyEpoch(): number | undefined;
    /** Multicasts a payload causally to the view; held back while the view is changing. */
    cast(payload: Uint8Array): void;
    /** Submits an operation under its id; the answer comes through the audience, once it is agreed. False: nothing was sent. */
    submit(operation: Operation): boolean;
    /** Nobody waits for an operation any more: it is not sent again, so that it cannot come to pass long after its caller has asked elsewhere. */
    withdraw(id: string): void;
    /** What is known of an operation by its id. */
    ask(id: string): Answer | undefined;
    /** Whether no further operation of an operator can be remembered now. */
    get full(): boolean;
    /** An operator's word that a name will not come back. Only the coordinator can use it. */
    forget(name: string): boolean;
    /** Says goodbye, so that the view need not wait to suspect this node. */
    leave(): void;
    /** Does what is due now. The order counts: each step sees what the ones before it changed. */
    tick(): void;
    /** Takes a frame that came from another node. */
    receive(frame: Frame): void;
    /** Sends a frame of news to a member. */
    postTo(incarnation: string, body: Frame['body']): void;
}
