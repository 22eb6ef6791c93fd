/** The accept phase of Paxos: proposes a version to the voters until a quorum has accepted it. */
import { create } from '@bufbuild/protobuf';
import { ProposeSchema, type Accepted, type Entry, type Version } from '@rainrun/messages';
import { levelOf } from '../membership/protocol-levels.js';
import type { CoordinatorContext } from './coordinator-context.js';
import { advance, toVersion, type GroupState } from './group-state.js';
import { disksOf, isQuorum } from './quorum.js';

/** A version that has been proposed and not yet chosen. */
export interface Proposal<S> {
  readonly state: GroupState<S>;
  readonly entry: Entry;
  readonly version: Version;
  /** Disks that have accepted it. */
  readonly acks: Set<string>;
  /** When it was first sent. */
  startedMs: number | undefined;
  sentMs: number;
  /** Whether a voter has rejected it; one that promised the epoch to another candidate never accepts it. */
  isRejected: boolean;
}

type ProposerContext<S> = Pick<
  CoordinatorContext<S>,
  'disk' | 'memberOfVoter' | 'send' | 'stateMachine' | 'times' | 'vote'
>;

/**
 * Proposes one version at a time. A version that changes the voters needs a majority of the old
 * voters and of the new ones.
 * @example
 * proposer.proposeNext(state, entry, nowMs);
 * proposer.onAccepted(accepted); // calls `onChosen` once there is a quorum
 */
export class VersionProposer<S> {
  #context: ProposerContext<S>;
  #epoch: number;
  #onChosen: (proposal: Proposal<S>) => void;
  #proposal: Proposal<S> | undefined;
  /** When the group's clock was last advanced. */
  #clockAdvancedMs: number;

  constructor(
    context: ProposerContext<S>,
    epoch: number,
    nowMs: number,
    onChosen: (proposal: Proposal<S>) => void,
  ) {
    this.#context = context;
    this.#epoch = epoch;
    this.#clockAdvancedMs = nowMs;
    this.#onChosen = onChosen;
  }

  get isProposing(): boolean {
    return this.#proposal !== undefined;
  }

  /** Disks of voters that have not accepted the proposed version. */
  missingDisks(): readonly string[] {
    const proposal = this.#proposal;
    if (proposal === undefined) return [];
    return [...disksOf(proposal.state)].filter((disk) => !proposal.acks.has(disk));
  }

  /** Whether the proposed version contains this operation. */
  hasOperation(id: string): boolean {
    return this.#proposal?.entry.operations.some((known) => known.id === id) ?? false;
  }

  /** Applies an entry to a state and proposes the resulting version. */
  proposeNext(state: GroupState<S>, entry: Entry, nowMs: number): void {
    entry.level = levelOf(entry.view?.members ?? state.view.members);
    if (entry.level > 1) entry.elapsedMs = nowMs - this.#clockAdvancedMs;
    this.#clockAdvancedMs = nowMs;
    this.propose(advance(this.#context.stateMachine, state, this.#epoch, entry), entry);
    this.sendDue(nowMs);
  }

  /** Sets the version to propose from a state and the entry that produced it; `sendDue` sends it. */
  propose(state: GroupState<S>, entry: Entry): void {
    const version = toVersion(this.#context.stateMachine, state, entry);
    this.#proposal = {
      state,
      entry,
      version,
      acks: new Set(),
      startedMs: undefined,
      sentMs: -Infinity,
      isRejected: false,
    };
  }

  /** Sends the proposal to the voters that have not accepted it, and again every `resendMs`. */
  sendDue(nowMs: number): void {
    const proposal = this.#proposal;
    if (proposal === undefined || nowMs - proposal.sentMs < this.#context.times.resendMs) return;
    proposal.sentMs = nowMs;
    proposal.startedMs ??= nowMs;
    const value = create(ProposeSchema, { disk: this.#context.disk, version: proposal.version });
    for (const disk of disksOf(proposal.state)) {
      if (proposal.acks.has(disk)) continue;
      if (disk === this.#context.disk) {
        this.#context.vote(proposal.version);
        continue;
      }
      const member = this.#context.memberOfVoter(disk);
      if (member !== undefined) this.#context.send(member, { case: 'propose', value });
    }
  }

  /**
   * Whether the proposal has lacked a quorum for more than `suspectMs` and a voter rejects it in this epoch.
   * That vote may be the missing one, and the voter can give it only in a newer epoch.
   */
  isOpposed(nowMs: number): boolean {
    const proposal = this.#proposal;
    if (proposal?.startedMs === undefined || !proposal.isRejected) return false;
    return nowMs - proposal.startedMs > this.#context.times.suspectMs;
  }

  /** Handles a voter's reply; the version is chosen once a quorum has accepted it. */
  onAccepted(accepted: Accepted): void {
    const proposal = this.#proposal;
    if (proposal === undefined) return;
    if (accepted.epoch !== this.#epoch || accepted.number !== proposal.state.number) return;
    if (accepted.rejected) {
      proposal.isRejected = true;
      return;
    }
    proposal.acks.add(accepted.disk);
    if (isQuorum(proposal.state, proposal.acks)) this.#choose(proposal);
  }

  #choose(proposal: Proposal<S>): void {
    this.#proposal = undefined;
    this.#onChosen(proposal);
  }
}
