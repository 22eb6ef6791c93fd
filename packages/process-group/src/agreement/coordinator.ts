import { create } from '@bufbuild/protobuf';
import {
  ChosenSchema,
  VoterSchema,
  EntrySchema,
  ProposeSchema,
  FlushRequestSchema,
  ViewSchema,
  type Accepted,
  type Answer,
  type Cast,
  type Voter,
  type Entry,
  type FlushReply,
  type Frame,
  type Operation,
  type SequencedMessage,
  type Member,
  type Version,
  type View,
} from '@rainrun/messages';
import { flushedCastsOf } from '../multicast/causal-order.js';
import {
  advance,
  withoutState,
  retainedAnswerCount,
  RETAINED_ANSWERS_MAX,
  toVersion,
  type GroupState,
} from './group-state.js';
import { disksOf, isQuorum, majority } from './quorum.js';
import type { StateMachine } from './state-machine.js';
import { rankOf } from '../membership/members.js';
import { levelOf, levelMismatch } from '../membership/protocol-levels.js';
import type { GroupTimes } from '../times.js';

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

interface Proposal<S> {
  readonly state: GroupState<S>;
  readonly entry: Entry;
  readonly version: Version;
  readonly acks: Set<string>;
  sentMs: number;
}

interface Commit {
  readonly number: number;
  readonly views: readonly View[];
}

interface Change {
  readonly id: number;
  readonly staying: readonly Member[];
  readonly joiners: readonly Member[];
  readonly startedMs: number;
  readonly castsByMember: Map<string, readonly Cast[]>;
  sentMs: number;
}

const BATCH_MAX_OPERATIONS = 64;
/** Payloads of one version's operations, but for a larger one that goes alone: a proposal must fit into a frame. */
const BATCH_MAX_BYTES = 1024 * 1024;

/**
 * The one node that, in its epoch, changes the view and sequences the agreed
 * operations. One version at a time: synced by a majority of voters, then
 * held by a majority of the view (of the old and the new one when the view
 * changes); only then is it agreed and the next one begun.
 * @example
 * const coordinator = new Coordinator(context, 3, base, entry, nowMs, (number) => note(number));
 * coordinator.tick(nowMs);
 */
export class Coordinator<S> {
  #context: CoordinatorContext<S>;
  #epoch: number;
  #state: GroupState<S>;
  #proposal: Proposal<S> | undefined;
  #committing: Commit | undefined;
  #change: Change | undefined;
  #changes = 0;
  #wantedSinceMs: number | undefined;
  /** Set while members may have stopped for a view that did not come. */
  #isViewOwed = true;
  #missingSinceMs = new Map<string, number>();
  #backlog: Operation[] = [];
  #submitters = new Map<string, Member>();
  /** Members that did not flush in time, and until when they are left out. */
  #slowUntilMs = new Map<string, number>();
  #appliedVersions = new Map<string, number>();
  #terminated = new Set<string>();
  #excludedNames = new Set<string>();
  #committedVersion = 0;
  #ready = false;
  #onCommitted: (number: number) => void;
  /** When the group's clock was last moved. */
  #clockedMs: number;

  constructor(
    context: CoordinatorContext<S>,
    epoch: number,
    base: GroupState<S>,
    entry: Entry,
    nowMs: number,
    settled: (number: number) => void,
  ) {
    this.#clockedMs = nowMs;
    this.#context = context;
    this.#epoch = epoch;
    this.#state = base;
    this.#onCommitted = settled;
    this.#propose({ ...base, epoch }, entry, -Infinity);
  }

  get epoch(): number {
    return this.#epoch;
  }

  get committedVersion(): number {
    return this.#committedVersion;
  }

  /** Whether this epoch has an agreed version of its own. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Takes an operation; an id already decided or waiting is not taken twice. */
  submit(operation: Operation, from: Member): void {
    this.#submitters.set(operation.id, from);
    const answer = this.#state.answers.find((known) => known.id === operation.id);
    if (answer !== undefined && answer.number <= this.#committedVersion) return this.#answer(answer);
    const waiting = this.#backlog.some((known) => known.id === operation.id);
    const proposed = this.#proposal?.entry.operations.some((known) => known.id === operation.id) ?? false;
    if (!waiting && !proposed && answer === undefined) this.#backlog.push(operation);
  }

  exclude(name: string): void {
    this.#excludedNames.add(name);
  }

  learnApplied(incarnation: string, number: number): void {
    if (number > (this.#appliedVersions.get(incarnation) ?? 0))
      this.#appliedVersions.set(incarnation, number);
  }

  onAccepted(accepted: Accepted): void {
    const proposal = this.#proposal;
    if (proposal === undefined || accepted.rejected) return;
    if (accepted.epoch !== this.#epoch || accepted.number !== proposal.state.number) return;
    proposal.acks.add(accepted.disk);
    if (isQuorum(proposal.state, proposal.acks)) this.#choose(proposal);
  }

  onFlushReply(incarnation: string, flush: FlushReply): void {
    if (flush.epoch !== this.#epoch || flush.change !== this.#change?.id) return;
    this.#change.castsByMember.set(incarnation, flush.unstableCasts);
  }

  tick(nowMs: number): void {
    if (this.#proposal !== undefined) return this.#sendProposal(this.#proposal, nowMs);
    if (this.#committing !== undefined && !this.#commit(this.#committing)) return;
    if (this.#change !== undefined) return this.#collectFlushes(this.#change, nowMs);
    if (this.#startViewChange(nowMs)) return;
    if (this.#mustConclude()) return this.#proposeNext(create(EntrySchema), nowMs);
    const voters = this.#replaceVoter(nowMs);
    if (voters !== undefined) return this.#proposeNext(create(EntrySchema, { voters }), nowMs);
    const operations = this.#batch();
    if (operations.length > 0) this.#proposeNext(create(EntrySchema, { operations }), nowMs);
  }

  /** Whether the newest version changed the view or the voters: the next one says that the change is settled. */
  #mustConclude(): boolean {
    return this.#state.previousView !== undefined || this.#state.previousVoters.length > 0;
  }

  /** Operations for the next version: as many as their answers can be remembered. */
  #batch(): Operation[] {
    let room = RETAINED_ANSWERS_MAX - retainedAnswerCount(this.#state);
    const batch: Operation[] = [];
    const later: Operation[] = [];
    let bytes = 0;
    for (const operation of this.#backlog) {
      const small = batch.length === 0 || bytes + operation.payload.length <= BATCH_MAX_BYTES;
      const fits = small && batch.length < BATCH_MAX_OPERATIONS && (operation.transient || room > 0);
      if (fits) bytes += operation.payload.length;
      if (fits && !operation.transient) room -= 1;
      (fits ? batch : later).push(operation);
    }
    this.#backlog = later;
    return batch;
  }

  #proposeNext(entry: Entry, nowMs: number): void {
    entry.level = levelOf(entry.view?.members ?? this.#state.view.members);
    if (entry.level > 1) entry.elapsedMs = nowMs - this.#clockedMs;
    this.#clockedMs = nowMs;
    this.#propose(advance(this.#context.stateMachine, this.#state, this.#epoch, entry), entry, nowMs);
  }

  #propose(state: GroupState<S>, entry: Entry, nowMs: number): void {
    const version = toVersion(this.#context.stateMachine, state, entry);
    this.#proposal = {
      state,
      entry,
      version,
      acks: new Set(),
      sentMs: -Infinity,
    };
    if (nowMs !== -Infinity) this.#sendProposal(this.#proposal, nowMs);
  }

  #sendProposal(proposal: Proposal<S>, nowMs: number): void {
    if (nowMs - proposal.sentMs < this.#context.times.resendMs) return;
    proposal.sentMs = nowMs;
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

  #choose(proposal: Proposal<S>): void {
    const old = this.#state;
    this.#proposal = undefined;
    this.#state = proposal.state;
    const before = proposal.state.previousView === undefined ? [] : [proposal.state.previousView];
    this.#committing = { number: proposal.state.number, views: [...before, proposal.state.view] };
    this.#context.deliverSelf(proposal.version);
    this.#disseminate(proposal.version, old);
    this.#commit(this.#committing);
  }

  #disseminate(version: Version, old: GroupState<S>): void {
    const self = this.#context.self().incarnation;
    const light = create(ChosenSchema, { versions: [withoutState(version)] });
    const heavy = create(ChosenSchema, { versions: [version] });
    for (const member of this.#state.view.members) {
      if (member.incarnation === self) continue;
      const holds = this.#appliedVersions.get(member.incarnation) ?? 0;
      const follows = holds > 0 && holds >= version.number - 1 && rankOf(old.view, member.incarnation) >= 0;
      this.#context.sendOrdered(member, { case: 'chosen', value: follows ? light : heavy });
    }
  }

  #commit(commit: Commit): boolean {
    this.#appliedVersions.set(this.#context.self().incarnation, this.#context.appliedVersion());
    const isHeld = commit.views.every((view) =>
      this.#hasMajority(
        view,
        (member) => (this.#appliedVersions.get(member.incarnation) ?? 0) >= commit.number,
      ),
    );
    if (!isHeld) return false;
    this.#committing = undefined;
    this.#committedVersion = commit.number;
    this.#ready = true;
    this.#onCommitted(commit.number);
    for (const answer of this.#state.answers) if (answer.number === commit.number) this.#answer(answer);
    return true;
  }

  #answer(answer: Answer): void {
    const member = this.#submitters.get(answer.id);
    if (member === undefined) return;
    this.#submitters.delete(answer.id);
    this.#context.sendOrdered(member, { case: 'answer', value: answer });
  }

  /** An incarnation that can do nothing any more: it said goodbye, was succeeded under its name, or was forgotten. */
  #hasTerminated(seat: Member): boolean {
    if (this.#terminated.has(seat.incarnation)) return true;
    const { members } = this.#state.view;
    const inView = rankOf(this.#state.view, seat.incarnation) >= 0;
    const gone =
      this.#context.hasLeft(seat.incarnation) ||
      this.#excludedNames.has(seat.name) ||
      (!inView && members.some((member) => member.name === seat.name)) ||
      this.#context
        .joiners()
        .some(
          (joiner) =>
            joiner.name === seat.name &&
            joiner.incarnation !== seat.incarnation &&
            (joiner.address === seat.address || !this.#context.isLive(seat.incarnation)),
        );
    if (gone) this.#terminated.add(seat.incarnation);
    return gone;
  }

  #hasMajority(view: View, counts: (member: Member) => boolean): boolean {
    if (view.members.length === 0) return true;
    return (
      view.members.filter((seat) => counts(seat) || this.#hasTerminated(seat)).length >=
      majority(view.members.length)
    );
  }

  #staying(nowMs: number): Member[] {
    const self = this.#context.self().incarnation;
    return this.#state.view.members.filter(
      (member) =>
        member.incarnation === self ||
        (this.#context.isLive(member.incarnation) &&
          nowMs >= (this.#slowUntilMs.get(member.incarnation) ?? -Infinity) &&
          !this.#context.isReported(member.incarnation) &&
          !this.#hasTerminated(member)),
    );
  }

  #startViewChange(nowMs: number): boolean {
    const view = this.#state.view;
    const staying = this.#staying(nowMs);
    const names = new Set(staying.map((member) => member.name));
    const joiners: Member[] = [];
    for (const seat of [...this.#context.joiners()].sort((one, other) => (one.name < other.name ? -1 : 1))) {
      const known =
        names.has(seat.name) || rankOf(view, seat.incarnation) >= 0 || this.#excludedNames.has(seat.name);
      if (!known && levelMismatch(seat, [...staying, ...joiners]) === undefined) joiners.push(seat);
    }
    if (staying.length === view.members.length && joiners.length === 0 && !this.#isViewOwed) {
      this.#wantedSinceMs = undefined;
      return false;
    }
    const self = this.#context.self().incarnation;
    if (rankOf(view, self) >= 0 && this.#context.appliedVersion() < this.#state.number) return false;
    this.#wantedSinceMs ??= nowMs;
    if (nowMs - this.#wantedSinceMs < this.#context.times.graceMs) return false;
    if (!this.#hasMajority(view, (seat) => staying.includes(seat))) return false;
    this.#wantedSinceMs = undefined;
    this.#isViewOwed = true;
    this.#changes += 1;
    this.#change = {
      id: this.#changes,
      staying,
      joiners,
      startedMs: nowMs,
      castsByMember: new Map(),
      sentMs: -Infinity,
    };
    this.#collectFlushes(this.#change, nowMs);
    return true;
  }

  #collectFlushes(change: Change, nowMs: number): void {
    const self = this.#context.self().incarnation;
    const missing = change.staying.filter((member) => !change.castsByMember.has(member.incarnation));
    const lost = change.staying.some(
      (seat) => seat.incarnation !== self && !this.#context.isLive(seat.incarnation),
    );
    if (nowMs - change.startedMs > this.#context.times.flushMs) {
      for (const seat of missing)
        this.#slowUntilMs.set(seat.incarnation, nowMs + 2 * this.#context.times.flushMs);
    }
    if (lost || nowMs - change.startedMs > this.#context.times.flushMs) {
      this.#change = undefined;
      this.#wantedSinceMs = nowMs - this.#context.times.graceMs;
      return;
    }
    if (missing.length === 0) return this.#installView(change, nowMs);
    if (nowMs - change.sentMs < this.#context.times.resendMs) return;
    change.sentMs = nowMs;
    const staying = change.staying.map((seat) => seat.incarnation);
    const value = create(FlushRequestSchema, {
      epoch: this.#epoch,
      change: change.id,
      view: this.#state.view.number,
      staying,
    });
    for (const seat of missing) {
      if (seat.incarnation === self)
        change.castsByMember.set(self, this.#context.flushSelf(change.id, staying));
      else this.#context.send(seat, { case: 'flushRequest', value });
    }
    if (change.staying.every((seat) => change.castsByMember.has(seat.incarnation)))
      this.#installView(change, nowMs);
  }

  #installView(change: Change, nowMs: number): void {
    const old = this.#state.view;
    this.#change = undefined;
    this.#isViewOwed = false;
    const view = create(ViewSchema, {
      epoch: this.#epoch,
      number: old.number + 1,
      members: [...change.staying, ...change.joiners],
    });
    this.#proposeNext(
      create(EntrySchema, { view, flushedCasts: flushedCastsOf(old, [...change.castsByMember.values()]) }),
      nowMs,
    );
  }

  /**
   * The voter set with one lost voter replaced by a member that already
   * holds the state: at once by the node that has its name, else after a while.
   */
  #replaceVoter(nowMs: number): Voter[] | undefined {
    const { voters, view } = this.#state;
    for (const voter of voters) {
      const there =
        voter.disk === this.#context.disk || this.#context.memberOfVoter(voter.disk) !== undefined;
      if (there) this.#missingSinceMs.delete(voter.disk);
      else if (!this.#missingSinceMs.has(voter.disk)) this.#missingSinceMs.set(voter.disk, nowMs);
    }
    const spares = view.members.filter(
      (member) =>
        member.disk !== '' &&
        !voters.some((voter) => voter.disk === member.disk) &&
        this.#context.isLive(member.incarnation) &&
        (this.#appliedVersions.get(member.incarnation) ?? 0) >= this.#state.number,
    );
    const missing = voters.filter((voter) => this.#missingSinceMs.has(voter.disk));
    const succeeded = missing.find((voter) => spares.some((seat) => seat.name === voter.name));
    const lost =
      succeeded ??
      missing.find(
        (voter) =>
          nowMs - (this.#missingSinceMs.get(voter.disk) ?? nowMs) >= this.#context.times.voterReplacementMs,
      );
    const spare = spares.find((seat) => seat.name === lost?.name) ?? spares[0];
    if (lost === undefined && spare !== undefined && voters.length < this.#context.desiredVoterCount) {
      return [...voters, create(VoterSchema, { disk: spare.disk, name: spare.name })];
    }
    if (lost === undefined || spare === undefined) return undefined;
    this.#missingSinceMs.delete(lost.disk);
    return voters.map((voter) => (voter === lost ? { ...voter, disk: spare.disk, name: spare.name } : voter));
  }
}
