/** The coordinator of an epoch: the order of its steps, each of which has its own module. */
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

/** A step in progress and who has not answered: disks for a proposal, member names for the other steps. */
export interface PendingStep {
  readonly step: 'proposal' | 'commit' | 'flush';
  readonly missing: readonly string[];
}

/**
 * The one node that, in its epoch, changes the view and sequences the submitted
 * operations. It handles one version at a time: the version is chosen by a quorum of
 * voters, then applied by a majority of the view (of both the old and the new view when
 * the view changes). Only then is it committed and the next one begun.
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
   * Begins an epoch that a quorum has promised.
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

  /** A number that grows whenever a version is chosen or committed, by which a stalled term is detected. */
  get progress(): number {
    return this.#state.number + this.#commit.committedVersion;
  }

  /** Whether a proposed version has not yet been accepted by a quorum of voters. */
  get isProposing(): boolean {
    return this.#proposer.isProposing;
  }

  /** Whether a proposal has lacked a quorum for too long while a voter rejects it in this epoch. */
  isOpposed(nowMs: number): boolean {
    return this.#proposer.isOpposed(nowMs);
  }

  /** What the version or view change in progress waits for; undefined while this term is idle. */
  pendingStep(): PendingStep | undefined {
    if (this.#proposer.isProposing) return { step: 'proposal', missing: this.#proposer.missingDisks() };
    if (this.#commit.isPending) return { step: 'commit', missing: this.#commit.missingMembers() };
    if (this.#viewChange.isCollecting) return { step: 'flush', missing: this.#viewChange.missingFlushes() };
    return undefined;
  }

  /** Queues an operation unless its id is already queued, proposed or decided; resends a committed answer. */
  submit(operation: Operation, from: Member): void {
    const { id } = operation;
    this.#answers.expect(id, from);
    const answer = this.#state.answers.find((known) => known.id === id);
    if (answer !== undefined && answer.number <= this.committedVersion) return this.#answers.send(answer);
    const isPending = this.#queue.has(id) || this.#proposer.hasOperation(id);
    if (!isPending && answer === undefined) this.#queue.push(operation);
  }

  /** Records an operator's statement that the node of this name will not come back. */
  exclude(name: string): void {
    this.#departed.exclude(name);
  }

  /** Records the version that a member reports to have applied. */
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
   * Does the next step. The order matters: nothing is begun before the previous version is
   * committed, and a view change comes first, since voter changes and operations need a majority
   * of live members.
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

  /** Whether the newest version changed the view or the voters, and the next one must conclude the change. */
  #mustConclude(): boolean {
    return this.#state.previousView !== undefined || this.#state.previousVoters.length > 0;
  }

  #proposeNext(entry: Entry, nowMs: number): void {
    this.#proposer.proposeNext(this.#state, entry, nowMs);
  }

  /** Delivers a chosen version here before it is sent to others, since `tryCommit` counts this node too. */
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
