/** What a group is given by its node, and what it tells the rest of it. */
import type { Chance, Clock } from '@rainrun/common';
import type { Answer, Entry, Frame, Seat, Speaks } from '@rainrun/messages';
import type { Acceptor } from './acceptor.js';
import type { Held, Play } from './play.js';
import type { GroupTimes } from './times.js';
/** What the group tells the rest of its node. */
export interface Audience<S> {
    /** A version has come into force here; `entry` is undefined when the state came as a whole. */
    onVersion(held: Held<S>, entry: Entry | undefined): void;
    /** A causal cast of a member is delivered here. */
    onCast(sender: Seat, payload: Uint8Array): void;
    /** An operation that this node submitted is agreed or refused. */
    onAnswer(answer: Answer): void;
    /** This node was dropped and goes on as a new member. */
    onReborn(incarnation: string): void;
    /** A frame that the group does not know: news. */
    onFrame(from: string, body: Frame['body']): void;
    /** This node cannot join the group, and why. */
    onRefused(why: string): void;
}
/** Where a node stands and what it is given. */
export interface GroupDependencies<S> {
    readonly name: string;
    readonly address: string;
    readonly zone: string;
    readonly deployment: string;
    readonly seeds: readonly string[];
    /** Names or addresses of the founding cores; empty on a node that never founds. */
    readonly founders: readonly string[];
    /** So many voters there should be, as far as there are disks; the founders alone without it. */
    readonly votersWanted?: number;
    readonly clock: Clock;
    readonly chance: Chance;
    readonly times: GroupTimes;
    readonly play: Play<S>;
    readonly acceptor: Acceptor | undefined;
    /** Levels of the protocol that this program speaks. */
    readonly speaks: Speaks;
    readonly audience: Audience<S>;
    /** Sends a frame; it may be lost, late or doubled. */
    post(address: string, frame: Frame): void;
}
