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
import { cutOf } from './causal.js';
import {
  advance,
  bare,
  disksOf,
  isQuorum,
  levelOf,
  majority,
  rankOf,
  rememberedCount,
  REMEMBERED_MOST,
  toVersion,
  levelMismatch,
  type GroupState,
  type StateMachine,
} from './play.js';
import type { GroupTimes } from './times.js';

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
  send(seat: Member, body: Frame['body']): void;
  sendOrdered(seat: Member, body: SequencedMessage['body']): void;
  /** This node's own vote on a proposal. */
  vote(version: Version): void;
  flushSelf(change: number, staying: readonly string[]): readonly Cast[];
  deliverSelf(version: Version): void;
}

interface Proposal<S> {
  readonly held: GroupState<S>;
  readonly entry: Entry;
  readonly version: Version;
  readonly acks: Set<string>;
  sentMs: number;
}

interface Settling {
  readonly number: number;
  readonly views: readonly View[];
}

interface Change {
  readonly id: number;
  readonly staying: readonly Member[];
  readonly joiners: readonly Member[];
  readonly bornMs: number;
  readonly lots: Map<string, readonly Cast[]>;
  sentMs: number;
}

const BATCH = 64;
/** Payloads of one version's operations, but for a larger one that goes alone: a proposal must fit into a frame. */
const BATCH_BYTES = 1024 * 1024;

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
  #held: GroupState<S>;
  #proposal: Proposal<S> | undefined;
  #settling: Settling | undefined;
  #change: Change | undefined;
  #changes = 0;
  #wantedSinceMs: number | undefined;
  /** Set while members may have stopped for a view that did not come. */
  #owed = true;
  #missingSinceMs = new Map<string, number>();
  #backlog: Operation[] = [];
  #submitters = new Map<string, Member>();
  /** Members that did not flush in time, and until when they are left out. */
  #slowUntilMs = new Map<string, number>();
  #heldBy = new Map<string, number>();
  #gone = new Set<string>();
  #forgotten = new Set<string>();
  #agreed = 0;
  #ready = false;
  #settled: (number: number) => void;
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
    this.#held = base;
    this.#settled = settled;
    this.#propose({ ...base, epoch }, entry, -Infinity);
  }

  get epoch(): number {
    return this.#epoch;
  }

  get agreed(): number {
    return this.#agreed;
  }

  /** Whether this epoch has an agreed version of its own. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Takes an operation; an id already decided or waiting is not taken twice. */
  submit(operation: Operation, from: Member): void {
    this.#submitters.set(operation.id, from);
    const answer = this.#held.answers.find((known) => known.id === operation.id);
    if (answer !== undefined && answer.number <= this.#agreed) return this.#answer(answer);
    const waiting = this.#backlog.some((known) => known.id === operation.id);
    const proposed = this.#proposal?.entry.operations.some((known) => known.id === operation.id) ?? false;
    if (!waiting && !proposed && answer === undefined) this.#backlog.push(operation);
  }

  forget(name: string): void {
    this.#forgotten.add(name);
  }

  holds(incarnation: string, number: number): void {
    if (number > (this.#heldBy.get(incarnation) ?? 0)) this.#heldBy.set(incarnation, number);
  }

  accepted(accepted: Accepted): void {
    const proposal = this.#proposal;
    if (proposal === undefined || accepted.rejected) return;
    if (accepted.epoch !== this.#epoch || accepted.number !== proposal.held.number) return;
    proposal.acks.add(accepted.disk);
    if (isQuorum(proposal.held, proposal.acks)) this.#choose(proposal);
  }

  flushed(incarnation: string, flush: FlushReply): void {
    if (flush.epoch !== this.#epoch || flush.change !== this.#change?.id) return;
    this.#change.lots.set(incarnation, flush.unstableCasts);
  }

  tick(nowMs: number): void {
    if (this.#proposal !== undefined) return this.#send(this.#proposal, nowMs);
    if (this.#settling !== undefined && !this.#settle(this.#settling)) return;
    if (this.#change !== undefined) return this.#pursue(this.#change, nowMs);
    if (this.#begin(nowMs)) return;
    if (this.#mustConclude()) return this.#next(create(EntrySchema), nowMs);
    const voters = this.#replacement(nowMs);
    if (voters !== undefined) return this.#next(create(EntrySchema, { voters }), nowMs);
    const operations = this.#batch();
    if (operations.length > 0) this.#next(create(EntrySchema, { operations }), nowMs);
  }

  /** Whether the newest version changed the view or the voters: the next one says that the change is settled. */
  #mustConclude(): boolean {
    return this.#held.previousView !== undefined || this.#held.previousVoters.length > 0;
  }

  /** Operations for the next version: as many as their answers can be remembered. */
  #batch(): Operation[] {
    let room = REMEMBERED_MOST - rememberedCount(this.#held);
    const batch: Operation[] = [];
    const later: Operation[] = [];
    let bytes = 0;
    for (const operation of this.#backlog) {
      const small = batch.length === 0 || bytes + operation.payload.length <= BATCH_BYTES;
      const fits = small && batch.length < BATCH && (operation.transient || room > 0);
      if (fits) bytes += operation.payload.length;
      if (fits && !operation.transient) room -= 1;
      (fits ? batch : later).push(operation);
    }
    this.#backlog = later;
    return batch;
  }

  #next(entry: Entry, nowMs: number): void {
    entry.level = levelOf(entry.view?.members ?? this.#held.view.members);
    if (entry.level > 1) entry.elapsedMs = nowMs - this.#clockedMs;
    this.#clockedMs = nowMs;
    this.#propose(advance(this.#context.stateMachine, this.#held, this.#epoch, entry), entry, nowMs);
  }

  #propose(held: GroupState<S>, entry: Entry, nowMs: number): void {
    const version = toVersion(this.#context.stateMachine, held, entry);
    this.#proposal = {
      held,
      entry,
      version,
      acks: new Set(),
      sentMs: -Infinity,
    };
    if (nowMs !== -Infinity) this.#send(this.#proposal, nowMs);
  }

  #send(proposal: Proposal<S>, nowMs: number): void {
    if (nowMs - proposal.sentMs < this.#context.times.resendMs) return;
    proposal.sentMs = nowMs;
    const value = create(ProposeSchema, { disk: this.#context.disk, version: proposal.version });
    for (const disk of disksOf(proposal.held)) {
      if (proposal.acks.has(disk)) continue;
      if (disk === this.#context.disk) {
        this.#context.vote(proposal.version);
        continue;
      }
      const seat = this.#context.memberOfVoter(disk);
      if (seat !== undefined) this.#context.send(seat, { case: 'propose', value });
    }
  }

  #choose(proposal: Proposal<S>): void {
    const old = this.#held;
    this.#proposal = undefined;
    this.#held = proposal.held;
    const before = proposal.held.previousView === undefined ? [] : [proposal.held.previousView];
    this.#settling = { number: proposal.held.number, views: [...before, proposal.held.view] };
    this.#context.deliverSelf(proposal.version);
    this.#carry(proposal.version, old);
    this.#settle(this.#settling);
  }

  #carry(version: Version, old: GroupState<S>): void {
    const self = this.#context.self().incarnation;
    const light = create(ChosenSchema, { versions: [bare(version)] });
    const heavy = create(ChosenSchema, { versions: [version] });
    for (const member of this.#held.view.members) {
      if (member.incarnation === self) continue;
      const holds = this.#heldBy.get(member.incarnation) ?? 0;
      const follows = holds > 0 && holds >= version.number - 1 && rankOf(old.view, member.incarnation) >= 0;
      this.#context.sendOrdered(member, { case: 'chosen', value: follows ? light : heavy });
    }
  }

  #settle(settling: Settling): boolean {
    this.#heldBy.set(this.#context.self().incarnation, this.#context.appliedVersion());
    const held = settling.views.every((view) =>
      this.#accounted(view, (seat) => (this.#heldBy.get(seat.incarnation) ?? 0) >= settling.number),
    );
    if (!held) return false;
    this.#settling = undefined;
    this.#agreed = settling.number;
    this.#ready = true;
    this.#settled(settling.number);
    for (const answer of this.#held.answers) if (answer.number === settling.number) this.#answer(answer);
    return true;
  }

  #answer(answer: Answer): void {
    const seat = this.#submitters.get(answer.id);
    if (seat === undefined) return;
    this.#submitters.delete(answer.id);
    this.#context.sendOrdered(seat, { case: 'answer', value: answer });
  }

  /** A incarnation that can do nothing any more: it said goodbye, was succeeded under its name, or was forgotten. */
  #isGone(seat: Member): boolean {
    if (this.#gone.has(seat.incarnation)) return true;
    const { members } = this.#held.view;
    const inView = rankOf(this.#held.view, seat.incarnation) >= 0;
    const gone =
      this.#context.hasLeft(seat.incarnation) ||
      this.#forgotten.has(seat.name) ||
      (!inView && members.some((member) => member.name === seat.name)) ||
      this.#context
        .joiners()
        .some(
          (joiner) =>
            joiner.name === seat.name &&
            joiner.incarnation !== seat.incarnation &&
            (joiner.address === seat.address || !this.#context.isLive(seat.incarnation)),
        );
    if (gone) this.#gone.add(seat.incarnation);
    return gone;
  }

  #accounted(view: View, counts: (seat: Member) => boolean): boolean {
    if (view.members.length === 0) return true;
    return (
      view.members.filter((seat) => counts(seat) || this.#isGone(seat)).length >=
      majority(view.members.length)
    );
  }

  #staying(nowMs: number): Member[] {
    const self = this.#context.self().incarnation;
    return this.#held.view.members.filter(
      (seat) =>
        seat.incarnation === self ||
        (this.#context.isLive(seat.incarnation) &&
          nowMs >= (this.#slowUntilMs.get(seat.incarnation) ?? -Infinity) &&
          !this.#context.isReported(seat.incarnation) &&
          !this.#isGone(seat)),
    );
  }

  #begin(nowMs: number): boolean {
    const view = this.#held.view;
    const staying = this.#staying(nowMs);
    const names = new Set(staying.map((seat) => seat.name));
    const joiners: Member[] = [];
    for (const seat of [...this.#context.joiners()].sort((one, other) => (one.name < other.name ? -1 : 1))) {
      const known =
        names.has(seat.name) || rankOf(view, seat.incarnation) >= 0 || this.#forgotten.has(seat.name);
      if (!known && levelMismatch(seat, [...staying, ...joiners]) === undefined) joiners.push(seat);
    }
    if (staying.length === view.members.length && joiners.length === 0 && !this.#owed) {
      this.#wantedSinceMs = undefined;
      return false;
    }
    const self = this.#context.self().incarnation;
    if (rankOf(view, self) >= 0 && this.#context.appliedVersion() < this.#held.number) return false;
    this.#wantedSinceMs ??= nowMs;
    if (nowMs - this.#wantedSinceMs < this.#context.times.graceMs) return false;
    if (!this.#accounted(view, (seat) => staying.includes(seat))) return false;
    this.#wantedSinceMs = undefined;
    this.#owed = true;
    this.#changes += 1;
    this.#change = { id: this.#changes, staying, joiners, bornMs: nowMs, lots: new Map(), sentMs: -Infinity };
    this.#pursue(this.#change, nowMs);
    return true;
  }

  #pursue(change: Change, nowMs: number): void {
    const self = this.#context.self().incarnation;
    const missing = change.staying.filter((seat) => !change.lots.has(seat.incarnation));
    const lost = change.staying.some(
      (seat) => seat.incarnation !== self && !this.#context.isLive(seat.incarnation),
    );
    if (nowMs - change.bornMs > this.#context.times.flushMs) {
      for (const seat of missing)
        this.#slowUntilMs.set(seat.incarnation, nowMs + 2 * this.#context.times.flushMs);
    }
    if (lost || nowMs - change.bornMs > this.#context.times.flushMs) {
      this.#change = undefined;
      this.#wantedSinceMs = nowMs - this.#context.times.graceMs;
      return;
    }
    if (missing.length === 0) return this.#install(change, nowMs);
    if (nowMs - change.sentMs < this.#context.times.resendMs) return;
    change.sentMs = nowMs;
    const staying = change.staying.map((seat) => seat.incarnation);
    const value = create(FlushRequestSchema, {
      epoch: this.#epoch,
      change: change.id,
      view: this.#held.view.number,
      staying,
    });
    for (const seat of missing) {
      if (seat.incarnation === self) change.lots.set(self, this.#context.flushSelf(change.id, staying));
      else this.#context.send(seat, { case: 'flushRequest', value });
    }
    if (change.staying.every((seat) => change.lots.has(seat.incarnation))) this.#install(change, nowMs);
  }

  #install(change: Change, nowMs: number): void {
    const old = this.#held.view;
    this.#change = undefined;
    this.#owed = false;
    const view = create(ViewSchema, {
      epoch: this.#epoch,
      number: old.number + 1,
      members: [...change.staying, ...change.joiners],
    });
    this.#next(create(EntrySchema, { view, flushedCasts: cutOf(old, [...change.lots.values()]) }), nowMs);
  }

  /**
   * The voter set with one lost voter replaced by a member that already
   * holds the state: at once by the node that has its name, else after a while.
   */
  #replacement(nowMs: number): Voter[] | undefined {
    const { voters, view } = this.#held;
    for (const voter of voters) {
      const there =
        voter.disk === this.#context.disk || this.#context.memberOfVoter(voter.disk) !== undefined;
      if (there) this.#missingSinceMs.delete(voter.disk);
      else if (!this.#missingSinceMs.has(voter.disk)) this.#missingSinceMs.set(voter.disk, nowMs);
    }
    const spares = view.members.filter(
      (seat) =>
        seat.disk !== '' &&
        !voters.some((voter) => voter.disk === seat.disk) &&
        this.#context.isLive(seat.incarnation) &&
        (this.#heldBy.get(seat.incarnation) ?? 0) >= this.#held.number,
    );
    const missing = voters.filter((voter) => this.#missingSinceMs.has(voter.disk));
    const succeeded = missing.find((voter) => spares.some((seat) => seat.name === voter.name));
    const lost =
      succeeded ??
      missing.find(
        (voter) => nowMs - (this.#missingSinceMs.get(voter.disk) ?? nowMs) >= this.#context.times.replaceMs,
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
