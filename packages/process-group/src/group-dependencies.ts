/** The dependencies that a node injects into its group, and the callbacks that the group calls. */
import type { RandomSource, Clock } from '@rainrun/common';
import type { Answer, Entry, Frame, Member, ProtocolLevels } from '@rainrun/messages';
import type { Acceptor } from './agreement/acceptor.js';
import type { GroupState } from './agreement/group-state.js';
import type { StateMachine } from './agreement/state-machine.js';
import type { GroupTimes } from './times.js';

/** Callbacks by which the group notifies the rest of its node. */
export interface GroupListener<S> {
  /** Called when a version has been applied here; `entry` is undefined when the state came as a snapshot. */
  onVersion(state: GroupState<S>, entry: Entry | undefined): void;
  /** Called when a causal cast of a member is delivered here. */
  onCast(sender: Member, payload: Uint8Array): void;
  /** Called when an operation that this node submitted is committed or rejected. */
  onAnswer(answer: Answer): void;
  /** Called when this node has left its view, or was removed from it, and goes on under a new incarnation. */
  onNewIncarnation(incarnation: string): void;
  /** Called for a frame that does not belong to the group, such as gossip. */
  onFrame(from: string, body: Frame['body']): void;
  /** Called with the reason when the group rejects this node's attempt to join. */
  onJoinRejected(why: string): void;
}

/** A node's identity and settings, and the services that its group uses. */
export interface GroupDependencies<S> {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly deployment: string;
  /** Addresses at which to look for the group. */
  readonly seeds: readonly string[];
  /** Names or addresses of the founding cores; empty on a node that never founds a group. */
  readonly founders: readonly string[];
  /** How many voters there should be, as far as enough members have a disk; if absent, none are added. */
  readonly desiredVoterCount?: number;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly times: GroupTimes;
  readonly stateMachine: StateMachine<S>;
  /** The acceptor on this node's disk; undefined on a node without a disk. */
  readonly acceptor: Acceptor | undefined;
  /** The protocol levels that this program supports. */
  readonly protocolLevels: ProtocolLevels;
  readonly listener: GroupListener<S>;
  /** Sends a frame, which may be lost, delayed or duplicated. */
  send(address: string, frame: Frame): void;
}
