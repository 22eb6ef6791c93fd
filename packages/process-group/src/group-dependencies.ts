/** What a group is given by its node, and how it notifies the rest of the node. */
import type { RandomSource, Clock } from '@rainrun/common';
import type { Answer, Entry, Frame, Member, ProtocolLevels } from '@rainrun/messages';
import type { Acceptor } from './agreement/acceptor.js';
import type { GroupState } from './agreement/group-state.js';
import type { StateMachine } from './agreement/state-machine.js';
import type { GroupTimes } from './times.js';

/** Callbacks by which the group notifies the rest of its node. */
export interface GroupListener<S> {
  /** A version has come into force here; `entry` is undefined when the state came as a snapshot. */
  onVersion(state: GroupState<S>, entry: Entry | undefined): void;
  /** A causal cast of a member is delivered here. */
  onCast(sender: Member, payload: Uint8Array): void;
  /** An operation that this node submitted is committed or rejected. */
  onAnswer(answer: Answer): void;
  /** This node was removed from the view and goes on under a new incarnation. */
  onNewIncarnation(incarnation: string): void;
  /** A frame that is not the group's own, such as gossip. */
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
