/** What the parts of the coordinator need from the node that they run in. */
import type { Cast, Frame, Member, SequencedMessage, Version } from '@rainrun/messages';
import type { GroupTimes } from '../times.js';
import type { StateMachine } from './state-machine.js';

/** What the coordinator needs from the node that it runs in. */
export interface CoordinatorContext<S> {
  readonly stateMachine: StateMachine<S>;
  readonly times: GroupTimes;
  readonly disk: string;
  /** So many voters there should be, as far as there are disks. */
  readonly desiredVoterCount: number;
  self(): Member;
  /** Newest version in force in this node. */
  appliedVersion(): number;
  isLive(incarnation: string): boolean;
  /** Whether this incarnation has said goodbye. */
  hasLeft(incarnation: string): boolean;
  /** Whether most members say that they cannot reach this incarnation. */
  isReported(incarnation: string): boolean;
  /** Live nodes that ask to join; this node too while it is in no view. */
  joiners(): readonly Member[];
  /** Where the voter with this disk is now, if it is known. */
  memberOfVoter(disk: string): Member | undefined;
  send(member: Member, body: Frame['body']): void;
  sendOrdered(member: Member, body: SequencedMessage['body']): void;
  /** This node's own vote on a proposal. */
  vote(version: Version): void;
  flushSelf(change: number, staying: readonly string[]): readonly Cast[];
  deliverSelf(version: Version): void;
}
