import { clone, create } from '@bufbuild/protobuf';
import {
  BeatAckSchema,
  BeatSchema,
  ByeSchema,
  Channel,
  ChosenSchema,
  ClaimSchema,
  EntrySchema,
  FetchSchema,
  FlushSchema,
  FrameSchema,
  HelloAckSchema,
  HelloSchema,
  ProposeSchema,
  SeatSchema,
  SubmitSchema,
  ViewSchema,
  WIRE,
  type Accepted,
  type Answer,
  type Beat,
  type BeatAck,
  type Cast,
  type Elector,
  type Entry,
  type Flush,
  type Frame,
  type Hello,
  type HelloAck,
  type Operation,
  type Parcel,
  type Propose,
  type Seat,
  type Speaks,
  type Stop,
  type Version,
  type View,
} from '@rainrun/courier';
import { Anemometer } from '@rainrun/anemometer';
import { word, type Chance, type Clock } from '@rainrun/nacelle';
import type { Acceptor } from './acceptor.js';
import { Causal } from './causal.js';
import { Claims, type ClaimDesk } from './claims.js';
import { Coordinator, type Desk } from './coordinator.js';
import { Grants } from './grants.js';
import { advance, bare, fromVersion, majority, rankOf, reborn, rememberedCount, REMEMBERED_MOST, toVersion, unbridged, type Held, type Play } from './play.js';
import type { GroupTimes } from './times.js';

/** What the group tells the rest of its node. */
export interface Audience<S> {
  /** A version has come into force here; `entry` is undefined when the state came as a whole. */
  onVersion(held: Held<S>, entry: Entry | undefined): void;
  onCast(sender: Seat, payload: Uint8Array): void;
  onAnswer(answer: Answer): void;
  /** This node was dropped and goes on as a new member. */
  onReborn(life: string): void;
  /** A frame that the group does not know: news. */
  onFrame(from: string, body: Frame['body']): void;
  /** This node cannot join the group, and why. */
  onRefused(why: string): void;
}

/** Where a node stands and what it is given. */
export interface GroupGear<S> {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly deployment: string;
  readonly seeds: readonly string[];
  /** Names or addresses of the founding cores; empty on a node that never founds. */
  readonly founders: readonly string[];
  /** So many electors there should be, as far as there are disks; the founders alone without it. */
  readonly electorsWanted?: number;
  readonly clock: Clock;
  readonly chance: Chance;
  readonly times: GroupTimes;
  readonly play: Play<S>;
  readonly acceptor: Acceptor | undefined;
  /** Levels of the protocol that this program speaks. */
  readonly speaks: Speaks;
  readonly audience: Audience<S>;
  /** Sends a frame; it may be lost, late or doubled. */
  post(address: string, frame: Frame): void;
}

interface Contact {
  readonly seat: Seat;
  readonly atMs: number;
  readonly inView: boolean;
  readonly number: number;
  readonly founding: boolean;
}

interface Following {
  readonly life: string;
  readonly epoch: number;
  readonly atMs: number;
  readonly unable: boolean;
}

const LOG_KEPT = 256;
const CONTACT_MS = 1200;
const GAP_MS = 2500;

/**
 * A node's place in the process group: membership, views, causal and total
 * order, grants. Driven from outside by `receive` and `beat`; it owns no
 * socket, no timer and no file.
 * @example
 * const group = new Group(gear);
 * group.beat(); // every 50 ms
 * group.receive(frame); // for each frame that comes
 */
export class Group<S> {
  #gear: GroupGear<S>;
  #seat: Seat;
  #held: Held<S> | undefined;
  #inView = false;
  #causal: Causal | undefined;
  #stopEpoch = 0;
  #staying: ReadonlySet<string> | undefined;
  #castBacklog: Uint8Array[] = [];
  #earlyCasts: Cast[] = [];
  #entries = new Map<number, Version>();
  #lastEntry: Entry = create(EntrySchema);
  #grants: Grants;
  #anemometer: Anemometer;
  #channels = new Map<string, Channel>();
  #seats = new Map<string, Seat>();
  #contacts = new Map<string, Contact>();
  #greetings = new Map<string, string>();
  #welcomedMs = new Map<string, number>();
  #greeted = new Map<string, { greeting: string; sinceMs: number }>();
  #addresses = new Set<string>();
  #reports = new Map<string, readonly string[]>();
  #epochSeen = 0;
  #agreedSeen = 0;
  #following: Following | undefined;
  #coordinator: Coordinator<S> | undefined;
  /** Only on a node with a disk. */
  #claims: Claims | undefined;
  #unableUntilMs = -Infinity;
  #grantLostMs: number | undefined;
  /** Since when a majority has known this node's epoch for the newest. */
  #dutySinceMs: number | undefined;
  #waiting = new Map<string, { operation: Operation; sentMs: number }>();
  #beatSequence = 0;
  #beatSentMs = new Map<number, number>();
  #lastBeatMs = -Infinity;
  #lastHelloMs = -Infinity;
  #lastFetchMs = -Infinity;
  #gapSinceMs: number | undefined;
  #leaving = false;
  #byes = new Set<string>();
  /** When the disk last synced something, while writes are waiting. */
  #disk: { syncs: number; sinceMs: number } | undefined;
  #unable = new Set<string>();

  constructor(gear: GroupGear<S>) {
    this.#gear = gear;
    this.#seat = create(SeatSchema, {
      name: gear.name,
      life: word(gear.chance),
      address: gear.address,
      zone: gear.zone,
      disk: gear.acceptor?.disk ?? '',
      speaks: gear.speaks.most,
      speaksFrom: gear.speaks.least,
    });
    this.#grants = new Grants(gear.times.grantMs);
    this.#anemometer = new Anemometer(gear.times);
    this.#claims = gear.acceptor === undefined ? undefined : new Claims(this.#claimDesk(gear.acceptor));
    const accepted = gear.acceptor?.accepted;
    for (const member of accepted?.state?.view?.members ?? []) this.#addresses.add(member.address);
  }

  get seat(): Seat {
    return this.#seat;
  }

  get held(): Held<S> | undefined {
    return this.#held;
  }

  /** The view this node is a member of, or undefined while it is in none. */
  get view(): View | undefined {
    return this.#inView ? this.#held?.view : undefined;
  }

  /** True while the view is being changed: casts wait. */
  get changing(): boolean {
    return this.#causal?.stopped ?? true;
  }

  get leading(): boolean {
    return this.#coordinator !== undefined;
  }

  /** Life of the coordinator that this node follows, if one was heard lately. */
  get coordinatorLife(): string | undefined {
    return this.#liveFollowing()?.life;
  }

  get epoch(): number {
    return Math.max(this.#epochSeen, this.#gear.acceptor?.promisedEpoch ?? 0);
  }

  /** Casts kept until all members are known to have them. */
  get unstableCount(): number {
    return this.#causal?.keptCount ?? 0;
  }

  get contextBytes(): number {
    return this.#causal?.contextBytes ?? 0;
  }

  /** Newest version that this node knows to be agreed. */
  get agreed(): number {
    const number = this.#held?.number ?? 0;
    return Math.max(Math.min(this.#agreedSeen, number), number - 1);
  }

  /** When this node's right to admit ends; compare with the clock just before each act. */
  grantEndMs(): number {
    if (!this.#inView || this.#held === undefined) return -Infinity;
    return this.#grants.endMs(this.#held.view, this.#seat.life, this.#held.number, this.#now());
  }

  /** This node holds all that was agreed before this moment. */
  informedMs(): number {
    return this.grantEndMs() - this.#gear.times.grantMs;
  }

  granted(): boolean {
    return this.grantEndMs() > this.#now();
  }

  /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
  dutyEpoch(): number | undefined {
    const nowMs = this.#now();
    if (this.#dutySinceMs === undefined || nowMs < this.#dutySinceMs + this.#gear.times.grantMs) return undefined;
    return this.#hasDuty(nowMs) ? this.#coordinator?.epoch : undefined;
  }

  #hasDuty(nowMs: number): boolean {
    if (this.#coordinator?.ready !== true || !this.#inView || this.#held === undefined || this.#leaving) return false;
    const endMs = this.#grants.dutyEndMs(this.#held.view, this.#seat.life, nowMs) - this.#gear.times.grantMs / 4;
    return endMs > nowMs;
  }

  /** Multicasts a payload causally to the view; held back while the view is changing. */
  cast(payload: Uint8Array): void {
    if (!this.#inView || this.#causal === undefined || this.#causal.stopped) {
      this.#castBacklog.push(payload);
      if (this.#castBacklog.length > 64) this.#castBacklog.shift();
      return;
    }
    const cast = this.#causal.send(payload);
    for (const member of this.#others()) this.#parcel(member, { case: 'cast', value: cast });
  }

  /** Submits an operation under its id; the answer comes through the audience, once it is agreed. False: nothing was sent. */
  submit(operation: Operation): boolean {
    if (!this.#inView || this.#liveFollowing() === undefined) return false;
    this.#waiting.set(operation.id, { operation, sentMs: -Infinity });
    this.#submitWaiting();
    return true;
  }

  /** Nobody waits for an operation any more: it is not sent again, so that it cannot come to pass long after its caller has asked elsewhere. */
  withdraw(id: string): void {
    this.#waiting.delete(id);
  }

  /** What is known of an operation by its id. */
  ask(id: string): Answer | undefined {
    const answer = this.#held?.answers.find((known) => known.id === id);
    return answer !== undefined && answer.number <= this.agreed ? answer : undefined;
  }

  /** Whether no further operation of an operator can be remembered now. */
  get full(): boolean {
    return this.#held !== undefined && rememberedCount(this.#held) >= REMEMBERED_MOST;
  }

  /** An operator's word that a name will not come back. Only the coordinator can use it. */
  forget(name: string): boolean {
    this.#coordinator?.forget(name);
    return this.#coordinator !== undefined;
  }

  /** Says goodbye, so that the view need not wait to suspect this node. */
  leave(): void {
    this.#leaving = true;
    for (const member of this.#others()) this.#post(member, { case: 'bye', value: create(ByeSchema) });
  }

  beat(): void {
    const nowMs = this.#now();
    const awayMs = this.#anemometer.beat(nowMs);
    if (awayMs > 0) {
      this.#claims?.woke(nowMs);
      for (const channel of this.#channels.values()) channel.slept(awayMs);
      if (this.#disk !== undefined) this.#disk.sinceMs += awayMs;
    }
    const stalled = this.#isDiskStalled(nowMs);
    if (stalled && this.#inView) this.#rejoin();
    if (nowMs - this.#lastBeatMs >= this.#gear.times.beatMs && this.#inView) this.#sendBeats(nowMs);
    if (nowMs - this.#lastHelloMs >= this.#gear.times.helloMs && !stalled) this.#sendHellos(nowMs);
    if (!this.#leaving && !stalled) this.#lead(nowMs);
    if (this.#hasDuty(nowMs)) this.#dutySinceMs ??= nowMs;
    this.#submitWaiting();
    this.#beatChannels(nowMs);
    if (this.#gapSinceMs !== undefined && nowMs - this.#gapSinceMs > GAP_MS) this.#rejoin();
  }

  /** A disk that has synced nothing for too long, though writes wait: this node leaves the view until it does. */
  #isDiskStalled(nowMs: number): boolean {
    const { acceptor, times } = this.#gear;
    if (acceptor === undefined || !acceptor.busy) {
      this.#disk = undefined;
      return false;
    }
    if (this.#disk?.syncs !== acceptor.syncs) this.#disk = { syncs: acceptor.syncs, sinceMs: nowMs };
    return nowMs - this.#disk.sinceMs > times.lagMs;
  }

  receive(frame: Frame): void {
    const { from, body } = frame;
    if (from === this.#seat.life) return;
    if (body.case === 'hello') return this.#onHello(body.value);
    if (body.case === 'helloAck') return this.#onHelloAck(body.value);
    if (frame.to !== '' && frame.to !== this.#seat.life) return;
    switch (body.case) {
      case 'beat':
        return this.#onBeat(from, body.value);
      case 'beatAck':
        return this.#onBeatAck(from, body.value);
      case 'claim':
        return this.#claims?.onClaim(from, body.value);
      case 'promise':
        return this.#claims?.onPromise(body.value);
      case 'propose':
        return this.#onPropose(from, body.value);
      case 'accepted':
        return this.#onAccepted(body.value);
      case 'stop':
        return this.#onStop(from, body.value);
      case 'flush':
        return this.#coordinator?.flushed(from, body.value);
      case 'fetch':
        return this.#onFetch(from, body.value.from);
      case 'parcel':
        return this.#onParcel(from, body.value);
      case 'bye':
        this.#byes.add(from);
        return this.#anemometer.report(from);
      default:
        return this.#gear.audience.onFrame(from, body);
    }
  }

  /** Sends a frame of news to a member. */
  postTo(life: string, body: Frame['body']): void {
    const seat = this.#seats.get(life);
    if (seat !== undefined) this.#post(seat, body);
  }

  #now(): number {
    return this.#gear.clock.nowMs();
  }

  #others(): Seat[] {
    return (this.view?.members ?? []).filter((member) => member.life !== this.#seat.life);
  }

  #post(seat: Seat, body: Frame['body']): void {
    this.#gear.post(seat.address, this.#frame(seat.life, body));
  }

  #frame(to: string, body: Frame['body']): Frame {
    const frame = create(FrameSchema, { wire: WIRE, deployment: this.#gear.deployment, from: this.#seat.life, to });
    frame.body = body;
    return frame;
  }

  #parcel(seat: Seat, body: Parcel['body']): void {
    if (seat.life === this.#seat.life) return this.#onBody(seat.life, body);
    this.#seats.set(seat.life, seat);
    let channel = this.#channels.get(seat.life);
    if (channel === undefined) {
      channel = new Channel();
      this.#channels.set(seat.life, channel);
    }
    if (!channel.post(body)) return this.#overflow(seat.life);
    this.#postParcels(seat, channel, this.#now());
  }

  #postParcels(seat: Seat, channel: Channel, nowMs: number): void {
    for (const parcel of channel.beat(nowMs)) {
      parcel.holds = this.#inView ? (this.#held?.number ?? 0) : 0;
      this.#post(seat, { case: 'parcel', value: parcel });
    }
  }

  /** A channel that has lost a body is at its end: the member goes, or this node does if it is the one cut off. */
  #overflow(life: string): void {
    if (this.granted()) this.#anemometer.report(life);
    else if (this.#inView) this.#rejoin();
  }

  /** Live: answers our beats and does not lag behind our parcels beyond the bound. */
  #isLive(life: string, nowMs: number): boolean {
    const lagMs = this.#channels.get(life)?.lagMs(nowMs) ?? 0;
    return lagMs <= this.#gear.times.lagMs && this.#anemometer.live(life, nowMs);
  }

  #beatChannels(nowMs: number): void {
    for (const [life, channel] of this.#channels) {
      const seat = this.#seats.get(life);
      if (seat !== undefined) this.#postParcels(seat, channel, nowMs);
    }
  }

  #learnSeat(seat: Seat): void {
    this.#seats.set(seat.life, seat);
    if (seat.address !== this.#seat.address) this.#addresses.add(seat.address);
  }

  // Finding each other.

  #sendHellos(nowMs: number): void {
    this.#lastHelloMs = nowMs;
    const lost = this.#inView && !this.granted();
    if (this.#leaving || (this.#inView && !lost)) return;
    for (const [life, contact] of this.#contacts) {
      if (nowMs - contact.atMs > 10 * CONTACT_MS) this.#contacts.delete(life);
    }
    const greetings = new Map<string, string>();
    for (const [life, greeting] of this.#greetings) {
      const address = this.#seats.get(life)?.address;
      if (address !== undefined) greetings.set(address, greeting);
    }
    for (const address of new Set([...this.#gear.seeds, ...this.#addresses])) {
      if (address === this.#seat.address) continue;
      const value = create(HelloSchema, {
        seat: this.#seat,
        founding: this.#mayFound(),
        number: this.#number(),
        echo: this.#inView ? '' : (greetings.get(address) ?? ''),
      });
      this.#gear.post(address, this.#frame('', { case: 'hello', value }));
    }
  }

  #number(): number {
    return Math.max(this.#held?.number ?? 0, this.#gear.acceptor?.accepted?.number ?? 0);
  }

  #onHello(hello: Hello): void {
    const seat = hello.seat;
    if (seat === undefined || seat.life === this.#seat.life) return;
    const nowMs = this.#now();
    this.#learnSeat(seat);
    const known = this.#greeted.get(seat.life) ?? { greeting: word(this.#gear.chance), sinceMs: nowMs };
    this.#greeted.set(seat.life, known);
    const { number, founding } = hello;
    if (hello.echo === known.greeting) {
      this.#anemometer.answered(seat.life, nowMs);
      this.#contacts.set(seat.life, { seat, atMs: nowMs, inView: false, number, founding });
    }
    const view = this.view;
    const member = view !== undefined && rankOf(view, seat.life) >= 0;
    if (member && hello.echo !== '' && nowMs - (this.#welcomedMs.get(seat.life) ?? -Infinity) > 2 * this.#gear.times.helloMs) {
      this.#welcomedMs.set(seat.life, nowMs);
      this.#welcome(seat);
    }
    const others = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    const value = create(HelloAckSchema, {
      seat: this.#seat,
      greeting: known.greeting,
      known: [
        ...(view?.members ?? []).filter((other) => other.life !== seat.life || member),
        ...others.map((contact) => contact.seat).filter((other) => other.life !== seat.life),
      ],
      inView: this.#inView,
      number: this.#number(),
      founding: this.#mayFound(),
      refused: (view === undefined || member ? undefined : unbridged(seat, view.members)) ?? '',
    });
    this.#post(seat, { case: 'helloAck', value });
  }

  #welcome(seat: Seat): void {
    if (this.#held === undefined) return;
    const version = toVersion(this.#gear.play, this.#held, this.#lastEntry);
    this.#parcel(seat, { case: 'chosen', value: create(ChosenSchema, { versions: [version] }) });
  }

  #fresh(contact: Contact, nowMs: number): boolean {
    return nowMs - contact.atMs < CONTACT_MS;
  }

  #onHelloAck(ack: HelloAck): void {
    const seat = ack.seat;
    if (seat === undefined || seat.life === this.#seat.life) return;
    const nowMs = this.#now();
    this.#learnSeat(seat);
    this.#greetings.set(seat.life, ack.greeting);
    this.#anemometer.answered(seat.life, nowMs);
    const { inView, number, founding } = ack;
    if (ack.refused !== '' && !this.#inView) this.#gear.audience.onRefused(ack.refused);
    this.#contacts.set(seat.life, { seat, atMs: nowMs, inView, number, founding });
    for (const known of ack.known) if (known.life !== this.#seat.life) this.#addresses.add(known.address);
    const listed = ack.known.some((known) => known.life === this.#seat.life);
    if (this.#inView && inView && !listed && number > this.#number()) this.#rejoin();
  }

  #rejoin(): void {
    for (const member of this.#held?.view.members ?? []) this.#addresses.add(member.address);
    this.#addresses.delete(this.#seat.address);
    this.#seat = reborn(this.#seat, word(this.#gear.chance));
    this.#inView = false;
    this.#causal = undefined;
    this.#staying = undefined;
    this.#gapSinceMs = undefined;
    this.#coordinator = undefined;
    this.#claims?.forget();
    this.#following = undefined;
    this.#anemometer.clear();
    this.#channels.clear();
    this.#grants.clear();
    this.#reports.clear();
    this.#greetings.clear();
    this.#gear.audience.onReborn(this.#seat.life);
  }

  // Beats and grants.

  #sendBeats(nowMs: number): void {
    const held = this.#held;
    if (held === undefined) return;
    this.#lastBeatMs = nowMs;
    this.#beatSequence += 1;
    this.#beatSentMs.set(this.#beatSequence, nowMs);
    this.#beatSentMs.delete(this.#beatSequence - 64);
    const others = this.#others();
    const value = this.#beatOf(held, others, nowMs);
    const gatherer = held.level === 1 ? undefined : this.#gatherer(held.view, nowMs);
    const counts = clone(BeatSchema, value);
    counts.delivered = [...(this.#causal?.delivered ?? [])];
    if (gatherer === this.#seat.life) value.stable = [...(this.#causal?.stable ?? [])];
    for (const member of others) {
      const counted = held.level === 1 || member.life === gatherer;
      this.#post(member, { case: 'beat', value: counted ? counts : value });
    }
    if (this.#coordinator !== undefined) this.#follow(this.#seat.life, this.#coordinator.epoch, value.unable);
  }

  /**
   * The member that gathers what all have delivered and tells the others what
   * may be let go: the lowest-ranked that is live. Each telling each would cost
   * the cube of the group.
   */
  #gatherer(view: View, nowMs: number): string {
    const first = view.members.find((member) => member.life === this.#seat.life || this.#isLive(member.life, nowMs));
    return first?.life ?? this.#seat.life;
  }

  #beatOf(held: Held<S>, others: readonly Seat[], nowMs: number): Beat {
    return create(BeatSchema, {
      sequence: this.#beatSequence,
      view: held.view.number,
      number: held.number,
      epoch: this.#coordinator?.epoch ?? 0,
      suspects: others.filter((member) => !this.#isLive(member.life, nowMs)).map((member) => member.life),
      unable: nowMs < this.#unableUntilMs || this.#leaving,
      agreed: this.#coordinator?.agreed ?? this.agreed,
    });
  }

  #onBeat(from: string, beat: Beat): void {
    const held = this.#held;
    if (!this.#inView || held === undefined) return;
    const seat = this.#seats.get(from);
    const known = rankOf(held.view, from) >= 0;
    if (beat.number > held.number) this.#fetch(from);
    if (!known && beat.number > held.number) return;
    if (known) this.#heed(from, beat);
    if (seat === undefined) return;
    const value = create(BeatAckSchema, {
      sequence: beat.sequence,
      number: held.number,
      epoch: this.epoch,
      dropped: !known,
      duty: beat.epoch > 0 && beat.epoch >= this.epoch,
      withheld: this.#staying !== undefined && !this.#staying.has(from),
    });
    this.#post(seat, { case: 'beatAck', value });
  }

  #heed(from: string, beat: Beat): void {
    if (beat.epoch > 0 && beat.epoch >= this.epoch) {
      this.#epochSeen = beat.epoch;
      this.#follow(from, beat.epoch, beat.unable);
      this.#agreedSeen = Math.max(this.#agreedSeen, beat.agreed);
    }
    if (beat.epoch > (this.#coordinator?.epoch ?? Infinity)) this.#resign();
    this.#reports.set(from, beat.suspects);
    if (beat.unable) this.#unable.add(from);
    else this.#unable.delete(from);
    if (beat.view === this.#held?.view.number) {
      this.#causal?.learnDelivered(from, beat.delivered);
      this.#causal?.learnStable(beat.stable);
    }
    this.#coordinator?.holds(from, beat.number);
  }

  #follow(life: string, epoch: number, unable: boolean): void {
    this.#following = { life, epoch, atMs: this.#now(), unable };
  }

  #liveFollowing(): Following | undefined {
    const following = this.#following;
    if (following === undefined || following.unable || following.epoch < this.epoch) return undefined;
    const nowMs = this.#now();
    if (nowMs - following.atMs > this.#gear.times.suspectMs) return undefined;
    if (following.life === this.#seat.life) return this.#coordinator === undefined ? undefined : following;
    return this.#isLive(following.life, nowMs) ? following : undefined;
  }

  #onBeatAck(from: string, ack: BeatAck): void {
    const sentMs = this.#beatSentMs.get(ack.sequence);
    const held = this.#held;
    if (!this.#inView || held === undefined || sentMs === undefined) return;
    this.#anemometer.answered(from, this.#now());
    if (ack.epoch > (this.#coordinator?.epoch ?? Infinity)) this.#resign();
    if (ack.dropped) {
      if (ack.number > held.number) this.#rejoin();
      return;
    }
    if (ack.number > held.number) this.#fetch(from);
    if (ack.withheld) return;
    this.#grants.given(from, sentMs, ack.number);
    if (ack.duty) this.#grants.givenDuty(from, sentMs);
    this.#coordinator?.holds(from, ack.number);
  }

  // Versions.

  #fetch(from: string): void {
    const nowMs = this.#now();
    if (nowMs - this.#lastFetchMs < this.#gear.times.resendMs) return;
    this.#lastFetchMs = nowMs;
    this.postTo(from, { case: 'fetch', value: create(FetchSchema, { from: (this.#held?.number ?? 0) + 1 }) });
  }

  #onFetch(from: string, first: number): void {
    const seat = this.#seats.get(from);
    const held = this.#held;
    if (seat === undefined || held === undefined || !this.#inView) return;
    const versions: Version[] = [];
    for (let number = first; number <= held.number; number += 1) {
      const version = this.#entries.get(number);
      if (version === undefined) return this.#welcome(seat);
      versions.push(version);
    }
    this.#parcel(seat, { case: 'chosen', value: create(ChosenSchema, { versions }) });
  }

  #takeVersion(from: string, version: Version): void {
    const held = this.#held;
    this.#epochSeen = Math.max(this.#epochSeen, version.epoch);
    if (!this.#inView) {
      if (version.state !== undefined && version.number > (held?.number ?? 0)) this.#installWhole(version);
      return;
    }
    if (held === undefined || version.number <= held.number) return;
    if (version.number > held.number + 1) {
      this.#gapSinceMs ??= this.#now();
      return this.#fetch(from);
    }
    this.#gapSinceMs = undefined;
    this.#deliver(held, version);
  }

  #installWhole(version: Version): void {
    const read = fromVersion(this.#gear.play, version);
    if (read.isErr || rankOf(read.value.view, this.#seat.life) < 0) return;
    this.#held = read.value;
    this.#log(version);
    this.#enterView(read.value.view);
    this.#gear.audience.onVersion(read.value, undefined);
    this.#openView();
    this.#sendBeats(this.#now());
  }

  #deliver(held: Held<S>, version: Version): void {
    const entry = version.entry ?? create(EntrySchema);
    if (entry.view !== undefined) this.#causal?.finish(entry.cut);
    const next = advance(this.#gear.play, held, version.epoch, entry);
    this.#held = next;
    this.#log(version);
    if (entry.view !== undefined && rankOf(entry.view, this.#seat.life) < 0) return this.#rejoin();
    if (entry.view !== undefined) this.#enterView(entry.view);
    this.#gear.audience.onVersion(next, entry);
    if (entry.view !== undefined) this.#openView();
  }

  #log(version: Version): void {
    this.#entries.set(version.number, bare(version));
    this.#entries.delete(version.number - LOG_KEPT);
    this.#lastEntry = version.entry ?? create(EntrySchema);
  }

  #enterView(view: View): void {
    const nowMs = this.#now();
    this.#inView = true;
    this.#staying = undefined;
    this.#stopEpoch = 0;
    this.#gapSinceMs = undefined;
    const lives = new Set(view.members.map((member) => member.life));
    for (const member of view.members) {
      this.#learnSeat(member);
      this.#anemometer.watch(member.life, nowMs);
    }
    for (const life of this.#channels.keys()) if (!lives.has(life)) this.#channels.delete(life);
    for (const life of this.#seats.keys()) {
      const contact = this.#contacts.get(life);
      if (lives.has(life) || (contact !== undefined && this.#fresh(contact, nowMs))) continue;
      this.#seats.delete(life);
      this.#contacts.delete(life);
      this.#greeted.delete(life);
      this.#welcomedMs.delete(life);
      this.#greetings.delete(life);
      this.#anemometer.forget(life);
    }
    this.#reports.clear();
    this.#causal = new Causal(view, this.#seat.life, (cast) => this.#hear(view, cast));
  }

  /** Lets in what came before its view, once the view has been announced. */
  #openView(): void {
    const early = this.#earlyCasts;
    this.#earlyCasts = [];
    for (const cast of early) this.#onCast(cast);
    const backlog = this.#castBacklog;
    this.#castBacklog = [];
    for (const payload of backlog) this.cast(payload);
  }

  #hear(view: View, cast: Cast): void {
    const sender = view.members[rankOf(view, cast.sender)];
    if (sender !== undefined) this.#gear.audience.onCast(sender, cast.payload);
  }

  #onCast(cast: Cast): void {
    const viewNumber = this.#inView ? (this.#held?.view.number ?? 0) : 0;
    if (cast.view > viewNumber) {
      this.#earlyCasts.push(cast);
      if (this.#earlyCasts.length > 4096) this.#earlyCasts.shift();
      return;
    }
    this.#causal?.receive(cast);
  }

  #onParcel(from: string, parcel: Parcel): void {
    let channel = this.#channels.get(from);
    if (channel === undefined) {
      channel = new Channel();
      this.#channels.set(from, channel);
    }
    this.#coordinator?.holds(from, parcel.holds);
    const bodies = channel.receive(parcel);
    for (const body of bodies) this.#onBody(from, body);
    const seat = this.#seats.get(from);
    const still = this.#channels.get(from) === channel;
    if (seat !== undefined && still && bodies.some((body) => body.case === 'chosen')) this.#postParcels(seat, channel, this.#now());
  }

  #onBody(from: string, body: Parcel['body']): void {
    switch (body.case) {
      case 'cast':
        return this.#onCast(body.value);
      case 'chosen':
        for (const version of body.value.versions) this.#takeVersion(from, version);
        return;
      case 'submit': {
        const seat = from === this.#seat.life ? this.#seat : this.view?.members.find((member) => member.life === from);
        if (body.value.operation !== undefined && seat !== undefined) this.#coordinator?.submit(body.value.operation, seat);
        return;
      }
      case 'answer':
        if (this.#waiting.delete(body.value.id)) this.#gear.audience.onAnswer(body.value);
        return;
      case undefined:
        return;
    }
  }

  #submitWaiting(): void {
    const following = this.#liveFollowing();
    const seat = following?.life === this.#seat.life ? this.#seat : this.#seats.get(following?.life ?? '');
    if (seat === undefined) return;
    const nowMs = this.#now();
    for (const [id, waiting] of this.#waiting) {
      if (nowMs - waiting.sentMs < 1000) continue;
      const again = waiting.sentMs !== -Infinity;
      waiting.sentMs = nowMs;
      const answer = again ? this.ask(id) : undefined;
      if (answer !== undefined) this.#onBody(this.#seat.life, { case: 'answer', value: answer });
      else this.#parcel(seat, { case: 'submit', value: create(SubmitSchema, { operation: waiting.operation }) });
    }
  }

  // Stopping for a view change.

  #onStop(from: string, stop: Stop): void {
    const held = this.#held;
    if (!this.#inView || held === undefined || stop.epoch < this.epoch || stop.epoch < this.#stopEpoch) return;
    if (stop.view > held.view.number) return this.#fetch(from);
    if (stop.view < held.view.number) return;
    this.#epochSeen = stop.epoch;
    const seat = this.#seats.get(from);
    if (seat !== undefined) this.#post(seat, { case: 'flush', value: this.#flush(stop.epoch, stop.change, stop.staying) });
  }

  #flush(epoch: number, change: number, staying: readonly string[]): Flush {
    this.#stopEpoch = epoch;
    this.#staying = new Set(staying);
    const unstable = this.#causal?.stop() ?? [];
    return create(FlushSchema, { epoch, change, unstable });
  }

  // Electing a coordinator.

  #electors(): readonly Elector[] {
    const accepted = this.#gear.acceptor?.accepted?.state?.electors ?? [];
    return this.#held !== undefined && this.#held.electors.length > 0 && this.#inView ? this.#held.electors : accepted;
  }

  #electorSeat(disk: string): Seat | undefined {
    const nowMs = this.#now();
    const member = this.view?.members.find((seat) => seat.disk === disk && this.#isLive(seat.life, nowMs));
    if (member !== undefined) return member;
    for (const contact of this.#contacts.values()) {
      if (contact.seat.disk === disk && this.#fresh(contact, nowMs)) return contact.seat;
    }
    return undefined;
  }

  #lead(nowMs: number): void {
    const { acceptor, times } = this.#gear;
    const claims = this.#claims;
    if (acceptor === undefined || claims === undefined) return;
    if (this.#coordinator !== undefined) {
      if (!this.#inView || this.granted()) this.#grantLostMs = undefined;
      else this.#grantLostMs ??= nowMs;
      if (this.#grantLostMs !== undefined && nowMs - this.#grantLostMs > times.resignMs) {
        this.#unableUntilMs = nowMs + 2 * times.resignMs;
        return this.#resign();
      }
      return this.#coordinator.beat(nowMs);
    }
    if (this.#mayFound()) return this.#found(nowMs);
    if (claims.pressing) return claims.beat(nowMs);
    if ((!claims.due(nowMs) && !this.#allOutside(nowMs)) || nowMs < this.#unableUntilMs || acceptor.busy) return;
    if (!claims.isTaken(undefined, nowMs) && this.#isNext(acceptor.disk, nowMs)) claims.begin(nowMs);
  }

  /** Whether every elector is there and none is in a view, as after a loss of power everywhere: nobody need be waited for. */
  #allOutside(nowMs: number): boolean {
    const { acceptor } = this.#gear;
    const electors = this.#electors();
    if (this.#inView || acceptor === undefined || electors.length === 0) return false;
    const outside = [...this.#contacts.values()].filter((contact) => !contact.inView && this.#fresh(contact, nowMs));
    return electors.every(({ disk }) => disk === acceptor.disk || outside.some((contact) => contact.seat.disk === disk));
  }

  /**
   * Whether no elector of lower rank can be reached. Lives in the view come
   * first, in its order; an elector that is back under a new life comes after them.
   */
  #isNext(disk: string, nowMs: number): boolean {
    const electors = this.#electors().map((elector) => elector.disk);
    if (!electors.includes(disk)) return false;
    if (this.#inView) {
      const before = this.#held?.view.members.find(
        (member) =>
          member.life === this.#seat.life ||
          (electors.includes(member.disk) && this.#isLive(member.life, nowMs) && !this.#unable.has(member.life)),
      );
      return before?.life === this.#seat.life;
    }
    const fresh = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    if (fresh.some((contact) => contact.inView && electors.includes(contact.seat.disk))) return false;
    const first = electors.find(
      (known) => known === disk || fresh.some((contact) => contact.number > 0 && contact.seat.disk === known),
    );
    return first === disk;
  }

  #claimDesk(acceptor: Acceptor): ClaimDesk {
    const { times, chance } = this.#gear;
    return {
      acceptor,
      times,
      chance,
      nowMs: () => this.#now(),
      electors: () => this.#electors(),
      electorSeat: (disk) => this.#electorSeat(disk),
      seat: (life) => this.#seats.get(life),
      post: (seat, body) => this.#post(seat, body),
      following: () => this.#liveFollowing()?.life,
      epoch: () => this.epoch,
      sawEpoch: (epoch) => {
        this.#epochSeen = Math.max(this.#epochSeen, epoch);
      },
      take: (epoch, version) => this.#take(epoch, version),
    };
  }

  #take(epoch: number, version: Version): void {
    const base = fromVersion(this.#gear.play, version);
    if (base.isErr) return;
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
    this.#grantLostMs = undefined;
    this.#dutySinceMs = undefined;
    this.#grants.clearDuties();
    this.#coordinator = new Coordinator(
      this.#desk(),
      epoch,
      base.value,
      version.entry ?? create(EntrySchema),
      this.#now(),
      (number) => {
        this.#agreedSeen = Math.max(this.#agreedSeen, number);
      },
    );
    this.#follow(this.#seat.life, epoch, false);
    this.#coordinator.beat(this.#now());
  }

  #resign(): void {
    this.#coordinator = undefined;
    this.#claims?.resigned();
    if (this.#following?.life === this.#seat.life) this.#following = undefined;
  }

  #desk(): Desk<S> {
    const { play, times, acceptor } = this.#gear;
    return {
      play,
      times,
      disk: acceptor?.disk ?? '',
      electorsWanted: this.#gear.electorsWanted ?? 0,
      self: () => this.#seat,
      heldNumber: () => (this.#inView ? (this.#held?.number ?? 0) : 0),
      left: (life) => this.#byes.has(life),
      live: (life) => this.#isLive(life, this.#now()),
      reported: (life) => this.#isReported(life),
      joiners: () => this.#joiners(),
      electorSeat: (disk) => this.#electorSeat(disk),
      post: (seat, body) => this.#post(seat, body),
      parcel: (seat, body) => this.#parcel(seat, body),
      vote: (version) => {
        const value = create(ProposeSchema, { disk: acceptor?.disk ?? '', version });
        acceptor?.propose(value, (accepted) => this.#onAccepted(accepted));
      },
      flushSelf: (change, staying) => this.#flush(this.epoch, change, staying).unstable,
      deliverSelf: (version) => this.#takeVersion(this.#seat.life, version),
    };
  }

  #isReported(life: string): boolean {
    const view = this.view;
    if (view === undefined) return false;
    const reports = view.members.filter((member) => this.#reports.get(member.life)?.includes(life)).length;
    return reports >= majority(view.members.length);
  }

  #joiners(): Seat[] {
    const nowMs = this.#now();
    const joiners = [...this.#contacts.values()]
      .filter((contact) => !contact.inView && this.#fresh(contact, nowMs))
      .map((contact) => contact.seat);
    const members = this.#held?.view;
    const fresh = joiners.filter((seat) => !this.#inView || members === undefined || rankOf(members, seat.life) < 0);
    return this.#inView ? fresh : [this.#seat, ...fresh];
  }

  #onPropose(from: string, propose: Propose): void {
    const acceptor = this.#gear.acceptor;
    const seat = this.#seats.get(from);
    if (acceptor === undefined || seat === undefined) return;
    const version = propose.version;
    if (version === undefined) return;
    const listed = version.state?.electors.some((elector) => elector.disk === acceptor.disk) ?? false;
    if (!listed && acceptor.accepted === undefined) return;
    if (version.epoch > (this.#coordinator?.epoch ?? Infinity)) this.#resign();
    if (version.epoch >= this.epoch) this.#claims?.courted();
    acceptor.propose(propose, (accepted) => this.#post(seat, { case: 'accepted', value: accepted }));
  }

  #onAccepted(accepted: Accepted): void {
    if (accepted.seenEpoch > (this.#coordinator?.epoch ?? Infinity)) {
      this.#epochSeen = Math.max(this.#epochSeen, accepted.seenEpoch);
      return this.#resign();
    }
    this.#coordinator?.accepted(accepted);
  }

  // Founding.

  #mayFound(): boolean {
    const { acceptor } = this.#gear;
    return acceptor !== undefined && this.#founderName() !== undefined && acceptor.accepted === undefined;
  }

  /** How the founders' list calls this node: by name or by address. */
  #founderName(): string | undefined {
    const { founders, name, address } = this.#gear;
    return founders.find((founder) => founder === name || founder === address);
  }

  #found(nowMs: number): void {
    const { acceptor, founders, deployment, play } = this.#gear;
    const own = this.#founderName();
    if (acceptor === undefined || [...founders].sort()[0] !== own) return;
    const fresh = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    if (fresh.some((contact) => contact.inView || contact.number > 0)) return;
    const seats = [this.#seat];
    for (const founder of founders) {
      if (founder === own) continue;
      const contact = fresh.find(({ seat, founding }) => (seat.name === founder || seat.address === founder) && founding && seat.disk !== '');
      if (contact === undefined) return;
      seats.push(contact.seat);
    }
    const electors = seats.map((seat) => ({ $typeName: 'rainrun.v1.Elector' as const, disk: seat.disk, name: seat.name }));
    const epoch = acceptor.promisedEpoch + 1;
    const held: Held<S> = {
      epoch,
      number: 1,
      deployment,
      view: create(ViewSchema, { epoch, number: 1, members: seats }),
      before: undefined,
      electors,
      play: play.empty(),
      answers: [],
      level: 1,
      clockMs: 0,
    };
    if (acceptor.busy) return;
    acceptor.claim(create(ClaimSchema, { epoch, disk: acceptor.disk }), (promise) => {
      if (promise.granted && this.#coordinator === undefined && this.#mayFound()) {
        this.#take(epoch, toVersion(play, held, create(EntrySchema, { view: held.view })));
      }
    });
  }
}
