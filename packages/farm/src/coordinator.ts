import { create } from '@bufbuild/protobuf';
import {
  ChosenSchema,
  ElectorSchema,
  EntrySchema,
  ProposeSchema,
  StopSchema,
  ViewSchema,
  type Accepted,
  type Answer,
  type Cast,
  type Elector,
  type Entry,
  type Flush,
  type Frame,
  type Operation,
  type Parcel,
  type Seat,
  type Version,
  type View,
} from '@rainrun/courier';
import { cutOf } from './causal.js';
import { advance, bare, levelOf, majority, rankOf, rememberedCount, REMEMBERED_MOST, toVersion, unbridged, type Held, type Play } from './play.js';
import type { GroupTimes } from './times.js';

/** What the coordinator needs from the node that it runs in. */
export interface Desk<S> {
  readonly play: Play<S>;
  readonly times: GroupTimes;
  readonly disk: string;
  /** So many electors there should be, as far as there are disks. */
  readonly electorsWanted: number;
  self(): Seat;
  /** Newest version in force in this node. */
  heldNumber(): number;
  live(life: string): boolean;
  /** Whether this life has said goodbye. */
  left(life: string): boolean;
  /** Whether most members say that they cannot reach this life. */
  reported(life: string): boolean;
  /** Live nodes that ask to join; this node too while it is in no view. */
  joiners(): readonly Seat[];
  /** Where the elector with this disk is now, if it is known. */
  electorSeat(disk: string): Seat | undefined;
  post(seat: Seat, body: Frame['body']): void;
  parcel(seat: Seat, body: Parcel['body']): void;
  /** This node's own vote on a proposal. */
  vote(version: Version): void;
  flushSelf(change: number, staying: readonly string[]): readonly Cast[];
  deliverSelf(version: Version): void;
}

interface Proposal<S> {
  readonly held: Held<S>;
  readonly entry: Entry;
  readonly version: Version;
  readonly electors: readonly (readonly Elector[])[];
  readonly acks: Set<string>;
  sentMs: number;
}

interface Settling {
  readonly number: number;
  readonly views: readonly View[];
}

interface Change {
  readonly id: number;
  readonly staying: readonly Seat[];
  readonly joiners: readonly Seat[];
  readonly bornMs: number;
  readonly lots: Map<string, readonly Cast[]>;
  sentMs: number;
}

const BATCH = 64;

/**
 * The one node that, in its epoch, changes the view and sequences the agreed
 * operations. One version at a time: synced by a majority of electors, then
 * held by a majority of the view (of the old and the new one when the view
 * changes); only then is it agreed and the next one begun.
 * @example
 * const coordinator = new Coordinator(desk, 3, base, entry, nowMs, (number) => note(number));
 * coordinator.beat(nowMs);
 */
export class Coordinator<S> {
  #desk: Desk<S>;
  #epoch: number;
  #held: Held<S>;
  #proposal: Proposal<S> | undefined;
  #settling: Settling | undefined;
  #change: Change | undefined;
  #changes = 0;
  #wantedSinceMs: number | undefined;
  /** Set while members may have stopped for a view that did not come. */
  #owed = true;
  #missingSinceMs = new Map<string, number>();
  #backlog: Operation[] = [];
  #submitters = new Map<string, Seat>();
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

  constructor(desk: Desk<S>, epoch: number, base: Held<S>, entry: Entry, nowMs: number, settled: (number: number) => void) {
    this.#clockedMs = nowMs;
    this.#desk = desk;
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
  submit(operation: Operation, from: Seat): void {
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

  holds(life: string, number: number): void {
    if (number > (this.#heldBy.get(life) ?? 0)) this.#heldBy.set(life, number);
  }

  accepted(accepted: Accepted): void {
    const proposal = this.#proposal;
    if (proposal === undefined || accepted.refused) return;
    if (accepted.epoch !== this.#epoch || accepted.number !== proposal.held.number) return;
    proposal.acks.add(accepted.disk);
    const chosen = proposal.electors.every(
      (set) => set.filter((elector) => proposal.acks.has(elector.disk)).length >= majority(set.length),
    );
    if (chosen) this.#choose(proposal);
  }

  flushed(life: string, flush: Flush): void {
    if (flush.epoch !== this.#epoch || flush.change !== this.#change?.id) return;
    this.#change.lots.set(life, flush.unstable);
  }

  beat(nowMs: number): void {
    if (this.#proposal !== undefined) return this.#send(this.#proposal, nowMs);
    if (this.#settling !== undefined && !this.#settle(this.#settling)) return;
    if (this.#change !== undefined) return this.#pursue(this.#change, nowMs);
    if (this.#begin(nowMs)) return;
    if (this.#held.before !== undefined) return this.#next(create(EntrySchema), nowMs);
    const electors = this.#replacement(nowMs);
    if (electors !== undefined) return this.#next(create(EntrySchema, { electors }), nowMs);
    const operations = this.#batch();
    if (operations.length > 0) this.#next(create(EntrySchema, { operations }), nowMs);
  }

  /** Operations for the next version: as many as their answers can be remembered. */
  #batch(): Operation[] {
    let room = REMEMBERED_MOST - rememberedCount(this.#held);
    const batch: Operation[] = [];
    const later: Operation[] = [];
    for (const operation of this.#backlog) {
      const fits = batch.length < BATCH && (operation.brief || room > 0);
      if (fits && !operation.brief) room -= 1;
      (fits ? batch : later).push(operation);
    }
    this.#backlog = later;
    return batch;
  }

  #next(entry: Entry, nowMs: number): void {
    entry.level = levelOf(entry.view?.members ?? this.#held.view.members);
    if (entry.level > 1) entry.elapsedMs = nowMs - this.#clockedMs;
    this.#clockedMs = nowMs;
    this.#propose(advance(this.#desk.play, this.#held, this.#epoch, entry), entry, nowMs);
  }

  #propose(held: Held<S>, entry: Entry, nowMs: number): void {
    const version = toVersion(this.#desk.play, held, entry);
    this.#proposal = {
      held,
      entry,
      version,
      electors: [this.#held.electors, held.electors],
      acks: new Set(),
      sentMs: -Infinity,
    };
    if (nowMs !== -Infinity) this.#send(this.#proposal, nowMs);
  }

  #send(proposal: Proposal<S>, nowMs: number): void {
    if (nowMs - proposal.sentMs < this.#desk.times.resendMs) return;
    proposal.sentMs = nowMs;
    const disks = new Set(proposal.electors.flat().map((elector) => elector.disk));
    const value = create(ProposeSchema, { disk: this.#desk.disk, version: proposal.version });
    for (const disk of disks) {
      if (proposal.acks.has(disk)) continue;
      if (disk === this.#desk.disk) {
        this.#desk.vote(proposal.version);
        continue;
      }
      const seat = this.#desk.electorSeat(disk);
      if (seat !== undefined) this.#desk.post(seat, { case: 'propose', value });
    }
  }

  #choose(proposal: Proposal<S>): void {
    const old = this.#held;
    this.#proposal = undefined;
    this.#held = proposal.held;
    const before = proposal.held.before === undefined ? [] : [proposal.held.before];
    this.#settling = { number: proposal.held.number, views: [...before, proposal.held.view] };
    this.#desk.deliverSelf(proposal.version);
    this.#carry(proposal.version, old);
    this.#settle(this.#settling);
  }

  #carry(version: Version, old: Held<S>): void {
    const self = this.#desk.self().life;
    const light = create(ChosenSchema, { versions: [bare(version)] });
    const heavy = create(ChosenSchema, { versions: [version] });
    for (const member of this.#held.view.members) {
      if (member.life === self) continue;
      const holds = this.#heldBy.get(member.life) ?? 0;
      const follows = holds > 0 && holds >= version.number - 1 && rankOf(old.view, member.life) >= 0;
      this.#desk.parcel(member, { case: 'chosen', value: follows ? light : heavy });
    }
  }

  #settle(settling: Settling): boolean {
    this.#heldBy.set(this.#desk.self().life, this.#desk.heldNumber());
    const held = settling.views.every((view) =>
      this.#accounted(view, (seat) => (this.#heldBy.get(seat.life) ?? 0) >= settling.number),
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
    this.#desk.parcel(seat, { case: 'answer', value: answer });
  }

  /** A life that can do nothing any more: it said goodbye, was succeeded under its name, or was forgotten. */
  #isGone(seat: Seat): boolean {
    if (this.#gone.has(seat.life)) return true;
    const { members } = this.#held.view;
    const inView = rankOf(this.#held.view, seat.life) >= 0;
    const gone =
      this.#desk.left(seat.life) ||
      this.#forgotten.has(seat.name) ||
      (!inView && members.some((member) => member.name === seat.name)) ||
      this.#desk
        .joiners()
        .some(
          (joiner) =>
            joiner.name === seat.name &&
            joiner.life !== seat.life &&
            (joiner.address === seat.address || !this.#desk.live(seat.life)),
        );
    if (gone) this.#gone.add(seat.life);
    return gone;
  }

  #accounted(view: View, counts: (seat: Seat) => boolean): boolean {
    if (view.members.length === 0) return true;
    return view.members.filter((seat) => counts(seat) || this.#isGone(seat)).length >= majority(view.members.length);
  }

  #staying(nowMs: number): Seat[] {
    const self = this.#desk.self().life;
    return this.#held.view.members.filter(
      (seat) =>
        seat.life === self ||
        (this.#desk.live(seat.life) &&
          nowMs >= (this.#slowUntilMs.get(seat.life) ?? -Infinity) &&
          !this.#desk.reported(seat.life) &&
          !this.#isGone(seat)),
    );
  }

  #begin(nowMs: number): boolean {
    const view = this.#held.view;
    const staying = this.#staying(nowMs);
    const names = new Set(staying.map((seat) => seat.name));
    const joiners: Seat[] = [];
    for (const seat of [...this.#desk.joiners()].sort((one, other) => (one.name < other.name ? -1 : 1))) {
      const known = names.has(seat.name) || rankOf(view, seat.life) >= 0 || this.#forgotten.has(seat.name);
      if (!known && unbridged(seat, [...staying, ...joiners]) === undefined) joiners.push(seat);
    }
    if (staying.length === view.members.length && joiners.length === 0 && !this.#owed) {
      this.#wantedSinceMs = undefined;
      return false;
    }
    const self = this.#desk.self().life;
    if (rankOf(view, self) >= 0 && this.#desk.heldNumber() < this.#held.number) return false;
    this.#wantedSinceMs ??= nowMs;
    if (nowMs - this.#wantedSinceMs < this.#desk.times.graceMs) return false;
    if (!this.#accounted(view, (seat) => staying.includes(seat))) return false;
    this.#wantedSinceMs = undefined;
    this.#owed = true;
    this.#changes += 1;
    this.#change = { id: this.#changes, staying, joiners, bornMs: nowMs, lots: new Map(), sentMs: -Infinity };
    this.#pursue(this.#change, nowMs);
    return true;
  }

  #pursue(change: Change, nowMs: number): void {
    const self = this.#desk.self().life;
    const missing = change.staying.filter((seat) => !change.lots.has(seat.life));
    const lost = change.staying.some((seat) => seat.life !== self && !this.#desk.live(seat.life));
    if (nowMs - change.bornMs > this.#desk.times.flushMs) {
      for (const seat of missing) this.#slowUntilMs.set(seat.life, nowMs + 2 * this.#desk.times.flushMs);
    }
    if (lost || nowMs - change.bornMs > this.#desk.times.flushMs) {
      this.#change = undefined;
      this.#wantedSinceMs = nowMs - this.#desk.times.graceMs;
      return;
    }
    if (missing.length === 0) return this.#install(change, nowMs);
    if (nowMs - change.sentMs < this.#desk.times.resendMs) return;
    change.sentMs = nowMs;
    const staying = change.staying.map((seat) => seat.life);
    const value = create(StopSchema, {
      epoch: this.#epoch,
      change: change.id,
      view: this.#held.view.number,
      staying,
    });
    for (const seat of missing) {
      if (seat.life === self) change.lots.set(self, this.#desk.flushSelf(change.id, staying));
      else this.#desk.post(seat, { case: 'stop', value });
    }
    if (change.staying.every((seat) => change.lots.has(seat.life))) this.#install(change, nowMs);
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
    this.#next(create(EntrySchema, { view, cut: cutOf(old, [...change.lots.values()]) }), nowMs);
  }

  /**
   * The elector set with one lost elector replaced by a member that already
   * holds the state: at once by the node that has its name, else after a while.
   */
  #replacement(nowMs: number): Elector[] | undefined {
    const { electors, view } = this.#held;
    for (const elector of electors) {
      const there = elector.disk === this.#desk.disk || this.#desk.electorSeat(elector.disk) !== undefined;
      if (there) this.#missingSinceMs.delete(elector.disk);
      else if (!this.#missingSinceMs.has(elector.disk)) this.#missingSinceMs.set(elector.disk, nowMs);
    }
    const spares = view.members.filter(
      (seat) =>
        seat.disk !== '' &&
        !electors.some((elector) => elector.disk === seat.disk) &&
        this.#desk.live(seat.life) &&
        (this.#heldBy.get(seat.life) ?? 0) >= this.#held.number,
    );
    const missing = electors.filter((elector) => this.#missingSinceMs.has(elector.disk));
    const succeeded = missing.find((elector) => spares.some((seat) => seat.name === elector.name));
    const lost =
      succeeded ??
      missing.find((elector) => nowMs - (this.#missingSinceMs.get(elector.disk) ?? nowMs) >= this.#desk.times.replaceMs);
    const spare = spares.find((seat) => seat.name === lost?.name) ?? spares[0];
    if (lost === undefined && spare !== undefined && electors.length < this.#desk.electorsWanted) {
      return [...electors, create(ElectorSchema, { disk: spare.disk, name: spare.name })];
    }
    if (lost === undefined || spare === undefined) return undefined;
    this.#missingSinceMs.delete(lost.disk);
    return electors.map((elector) =>
      elector === lost ? { ...elector, disk: spare.disk, name: spare.name } : elector,
    );
  }
}
