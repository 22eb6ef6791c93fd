/** The interface between the coordinator's parts and the node that they run in. */
import type { Cast, Frame, Member, SequencedMessage, Version } from '@rainrun/messages';
import type { GroupTimes } from '../times.js';
import type { StateMachine } from './state-machine.js';

/** What the coordinator needs from the node that it runs in. */
export interface CoordinatorContext<S> {
  readonly stateMachine: StateMachine<S>;
  readonly times: GroupTimes;
  /** Id of this node's disk. */
  readonly disk: string;
  /** How many voters there should be, as far as enough members have a disk. */
  readonly desiredVoterCount: number;
  self(): Member;
  /** The newest version that this node has applied. */
  appliedVersion(): number;
  isLive(incarnation: string): boolean;
  /** Whether this incarnation has said goodbye. */
  hasLeft(incarnation: string): boolean;
  /** Whether a majority of the view reports that it cannot reach this incarnation. */
  isReported(incarnation: string): boolean;
  /** Live nodes that ask to join, including this node while it is in no view. */
  joiners(): readonly Member[];
  /** The member that holds this voter's disk now, if it is reachable. */
  memberOfVoter(disk: string): Member | undefined;
  send(member: Member, body: Frame['body']): void;
  sendOrdered(member: Member, body: SequencedMessage['body']): void;
  /** Proposes a version to this node's own acceptor. */
  vote(version: Version): void;
  /** Stops this node's casts for a view change, and returns those that are not stable. */
  flushSelf(change: number, staying: readonly string[]): readonly Cast[];
  /** Delivers a chosen version to this node. */
  deliverSelf(version: Version): void;
}
