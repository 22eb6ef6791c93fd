/** The coordinator of an epoch: the order of its work, of which each step is a part of its own. */
import { create } from '@bufbuild/protobuf';
import {
  EntrySchema,
  type Accepted,
  type Entry,
  type FlushReply,
  type Member,
  type Operation,
} from '@rainrun/messages';
import { ViewChangeCoordinator } from '../membership/view-change-coordinator.js';
import { AnswerDispatcher } from './answer-dispatcher.js';
import { AppliedVersions } from './applied-versions.js';
import type { CoordinatorContext } from './coordinator-context.js';
import { DepartedMembers } from './departed-members.js';
import type { GroupState } from './group-state.js';
import { OperationQueue } from './operation-queue.js';
import { VersionCommit } from './version-commit.js';
import { VersionProposer, type Proposal } from './version-proposer.js';
import { VoterReplacement } from './voter-replacement.js';

/** A step of a term, and who has not answered it: disks for a proposal, names of members for the others. */
export interface PendingStep {
  readonly step: 'proposal' | 'commit' | 'flush';
  readonly missing: readonly string[];
}

/**
 * The one node that, in its epoch, changes the view and sequences the submitted
 * operations. One version at a time: chosen by a quorum of voters, then applied
 * by a majority of the view (of the old and the new one when the view changes);
 * only then is it committed and the next one begun.
 * @example
 * const coordinator = new Coordinator(context, 3, base, entry, nowMs, (number) => note(number));
 * coordinator.tick(nowMs);
 */
export class Coordinator<S> {
  #context: CoordinatorContext<S>;
  #epoch: number;
  #state: GroupState<S>;
  #queue = new OperationQueue();
  #applied = new AppliedVersions();
  #answers: AnswerDispatcher;
  #departed: DepartedMembers;
  #proposer: VersionProposer<S>;
  #commit: VersionCommit;
  #viewChange: ViewChangeCoordinator;
  #voterReplacement: VoterReplacement;

  /**
   * Begins an epoch that a quorum promised.
   * @param base the newest version that the quorum had accepted; it is proposed again in this epoch first
   * @param entry the entry that made `base`
   * @param onCommitted called with the number of each version that is committed
   */
  constructor(
    context: CoordinatorContext<S>,
    epoch: number,
    base: GroupState<S>,
    entry: Entry,
    nowMs: number,
    onCommitted: (number: number) => void,
  ) {
    this.#context = context;
    this.#epoch = epoch;
    this.#state = base;
    this.#answers = new AnswerDispatcher(context);
    this.#departed = new DepartedMembers(context, () => this.#state.view);
    this.#proposer = new VersionProposer(context, epoch, nowMs, (proposal) => this.#onChosen(proposal));
    this.#commit = new VersionCommit(context, this.#applied, this.#departed, (number) => {
      onCommitted(number);
      this.#answerCommitted(number);
    });
    this.#viewChange = new ViewChangeCoordinator(context, epoch, this.#departed, (next, atMs) =>
      this.#proposeNext(next, atMs),
    );
    this.#voterReplacement = new VoterReplacement(context, this.#applied);
    this.#proposer.propose({ ...base, epoch }, entry);
  }

  get epoch(): number {
    return this.#epoch;
  }

  get committedVersion(): number {
    return this.#commit.committedVersion;
  }

  /** Whether this epoch has committed a version of its own. */
  get ready(): boolean {
    return this.#commit.ready;
  }

  /** Grows with each version that is chosen and with each that is committed: a term that does not move makes no progress. */
  get progress(): number {
    return this.#state.number + this.#commit.committedVersion;
  }

  /** Whether a version waits for a quorum of voters. */
  get isProposing(): boolean {
    return this.#proposer.isProposing;
  }

  /** Whether a voter that promised this epoch to another candidate keeps a proposal from a quorum for too long. */
  isOpposed(nowMs: number): boolean {
    return this.#proposer.isOpposed(nowMs);
  }

  /** What the version or the view change under way waits for; undefined while this term is idle. */
  pendingStep(): PendingStep | undefined {
    if (this.#proposer.isProposing) return { step: 'proposal', missing: this.#proposer.missingDisks() };
    if (this.#commit.isPending) return { step: 'commit', missing: this.#commit.missingMembers() };
    if (this.#viewChange.isCollecting) return { step: 'flush', missing: this.#viewChange.missingFlushes() };
    return undefined;
  }

  /** Takes an operation; an id already decided or waiting is not taken twice. */
  submit(operation: Operation, from: Member): void {
    const { id } = operation;
    this.#answers.expect(id, from);
    const answer = this.#state.answers.find((known) => known.id === id);
    if (answer !== undefined && answer.number <= this.committedVersion) return this.#answers.send(answer);
    const isPending = this.#queue.has(id) || this.#proposer.hasOperation(id);
    if (!isPending && answer === undefined) this.#queue.push(operation);
  }

  /** An operator states that the node of this name will not come back. */
  exclude(name: string): void {
    this.#departed.exclude(name);
  }

  /** Notes a version that a member reports to have applied. */
  learnApplied(incarnation: string, number: number): void {
    this.#applied.learn(incarnation, number);
  }

  onAccepted(accepted: Accepted): void {
    this.#proposer.onAccepted(accepted);
  }

  onFlushReply(incarnation: string, reply: FlushReply): void {
    this.#viewChange.onFlushReply(incarnation, reply);
  }

  /**
   * Does the next step. The order counts: nothing is begun before the version
   * before it is committed, and the view comes first, since the voters and the
   * operations need a majority of members that are there.
   */
  tick(nowMs: number): void {
    if (this.#proposer.isProposing) return this.#proposer.sendDue(nowMs);
    if (!this.#commit.tryCommit()) return;
    if (this.#viewChange.isCollecting) return this.#viewChange.collectFlushes(this.#state, nowMs);
    if (this.#viewChange.start(this.#state, nowMs)) return;
    if (this.#mustConclude()) return this.#proposeNext(create(EntrySchema), nowMs);
    const voters = this.#voterReplacement.next(this.#state, nowMs);
    if (voters !== undefined) return this.#proposeNext(create(EntrySchema, { voters }), nowMs);
    const operations = this.#queue.takeBatch(this.#state);
    if (operations.length > 0) this.#proposeNext(create(EntrySchema, { operations }), nowMs);
  }

  /** Whether the newest version changed the view or the voters: the next one records that the change is concluded. */
  #mustConclude(): boolean {
    return this.#state.previousView !== undefined || this.#state.previousVoters.length > 0;
  }

  #proposeNext(entry: Entry, nowMs: number): void {
    this.#proposer.proposeNext(this.#state, entry, nowMs);
  }

  /** This node applies the version before the others hear of it: `tryCommit` counts what it has applied. */
  #onChosen(proposal: Proposal<S>): void {
    const { view: previousView } = this.#state;
    this.#state = proposal.state;
    this.#commit.begin(proposal.state);
    this.#context.deliverSelf(proposal.version);
    this.#commit.disseminate(proposal.version, this.#state.view, previousView);
    this.#commit.tryCommit();
  }

  #answerCommitted(number: number): void {
    for (const answer of this.#state.answers) if (answer.number === number) this.#answers.send(answer);
  }
}
