/** What a group is given by its node, and what it tells the rest of it. */
import type { RandomSource, Clock } from '@rainrun/common';
import type { Answer, Entry, Frame, Member, ProtocolLevels } from '@rainrun/messages';
import type { Acceptor } from './acceptor.js';
import type { GroupState, StateMachine } from './play.js';
import type { GroupTimes } from './times.js';

/** What the group tells the rest of its node. */
export interface GroupListener<S> {
  /** A version has come into force here; `entry` is undefined when the state came as a whole. */
  onVersion(held: GroupState<S>, entry: Entry | undefined): void;
  /** A causal cast of a member is delivered here. */
  onCast(sender: Member, payload: Uint8Array): void;
  /** An operation that this node submitted is agreed or refused. */
  onAnswer(answer: Answer): void;
  /** This node was dropped and goes on as a new member. */
  onNewIncarnation(incarnation: string): void;
  /** A frame that the group does not know: news. */
  onFrame(from: string, body: Frame['body']): void;
  /** This node cannot join the group, and why. */
  onJoinRejected(why: string): void;
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
  readonly desiredVoterCount?: number;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly times: GroupTimes;
  readonly stateMachine: StateMachine<S>;
  readonly acceptor: Acceptor | undefined;
  /** Levels of the protocol that this program speaks. */
  readonly protocolLevels: ProtocolLevels;
  readonly listener: GroupListener<S>;
  /** Sends a frame; it may be lost, late or doubled. */
  send(address: string, frame: Frame): void;
}
