import { clone, create } from '@bufbuild/protobuf';
import {
  HeartbeatAckSchema,
  HeartbeatSchema,
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
  type Heartbeat,
  type HeartbeatAck,
  type Cast,
  type Voter,
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
} from '@rainrun/messages';
import { FailureDetector } from '@rainrun/failure-detector';
import { randomId, type Chance, type Clock } from '@rainrun/common';
import type { Acceptor } from './acceptor.js';
import { Causal } from './causal.js';
import { Claims, type ClaimContext } from './claims.js';
import { Coordinator, type CoordinatorContext } from './coordinator.js';
import { Grants } from './grants.js';
import {
  advance,
  bare,
  fromVersion,
  majority,
  rankOf,
  reborn,
  rememberedCount,
  REMEMBERED_MOST,
  toVersion,
  unbridged,
  type Held,
  type Play,
} from './play.js';
import type { GroupTimes } from './times.js';

/** What the group tells the rest of its node. */
export interface Audience<S> {
  /** A version has come into force here; `entry` is undefined when the state came as a whole. */
  onVersion(held: Held<S>, entry: Entry | undefined): void;
  onCast(sender: Seat, payload: Uint8Array): void;
  onAnswer(answer: Answer): void;
  /** This node was dropped and goes on as a new member. */
  onReborn(incarnation: string): void;
  /** A frame that the group does not know: news. */
  onFrame(from: string, body: Frame['body']): void;
  /** This node cannot join the group, and why. */
  onRefused(why: string): void;
}

/** Where a node stands and what it is given. */
export interface GroupDependencies<S> {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly deployment: string;
  readonly seeds: readonly string[];
  /** Names or addresses of the founding cores; empty on a node that never founds. */
  readonly founders: readonly string[];
  /** So many voters there should be, as far as there are disks; the founders alone without it. */
  readonly votersWanted?: number;
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
  readonly incarnation: string;
  readonly epoch: number;
  readonly atMs: number;
  readonly unable: boolean;
}

const LOG_KEPT = 256;
const CONTACT_MS = 1200;
const GAP_MS = 2500;

/**
 * A node's place in the process group: membership, views, causal and total
 * order, grants. Driven from outside by `receive` and `heartbeat`; it owns no
 * socket, no timer and no file.
 * @example
 * const group = new Group(dependencies);
 * group.tick(); // every 50 ms
 * group.receive(frame); // for each frame that comes
 */
export class Group<S> {
  #dependencies: GroupDependencies<S>;
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
  #detector: FailureDetector;
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
  #heartbeatSequence = 0;
  #heartbeatSentMs = new Map<number, number>();
  #lastHeartbeatMs = -Infinity;
  #lastHelloMs = -Infinity;
  #lastFetchMs = -Infinity;
  #gapSinceMs: number | undefined;
  #leaving = false;
  #byes = new Set<string>();
  /** When the disk last synced something, while writes are waiting. */
  #disk: { syncs: number; sinceMs: number } | undefined;
  #unable = new Set<string>();

  constructor(dependencies: GroupDependencies<S>) {
    this.#dependencies = dependencies;
    this.#seat = create(SeatSchema, {
      name: dependencies.name,
      incarnation: randomId(dependencies.chance),
      address: dependencies.address,
      zone: dependencies.zone,
      disk: dependencies.acceptor?.disk ?? '',
      speaks: dependencies.speaks.most,
      speaksFrom: dependencies.speaks.least,
    });
    this.#grants = new Grants(dependencies.times.grantMs);
    this.#detector = new FailureDetector(dependencies.times);
    this.#claims =
      dependencies.acceptor === undefined ? undefined : new Claims(this.#claimContext(dependencies.acceptor));
    const accepted = dependencies.acceptor?.accepted;
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

  /** Incarnation of the coordinator that this node follows, if one was heard lately. */
  get coordinatorIncarnation(): string | undefined {
    return this.#liveFollowing()?.incarnation;
  }

  get epoch(): number {
    return Math.max(this.#epochSeen, this.#dependencies.acceptor?.promisedEpoch ?? 0);
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
    if (!this.#inView || this.#held === undefined || this.#leaving) return -Infinity;
    return this.#grants.endMs(this.#held.view, this.#seat.incarnation, this.#held.number, this.#now());
  }

  /** This node holds all that was agreed before this moment. */
  informedMs(): number {
    return this.grantEndMs() - this.#dependencies.times.grantMs;
  }

  /** The version in force at another member when it last answered a heartbeat. */
  versionAt(incarnation: string): number | undefined {
    return this.#grants.versionAt(incarnation);
  }

  granted(): boolean {
    return this.grantEndMs() > this.#now();
  }

  /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
  dutyEpoch(): number | undefined {
    const nowMs = this.#now();
    if (this.#dutySinceMs === undefined || nowMs < this.#dutySinceMs + this.#dependencies.times.grantMs)
      return undefined;
    return this.#hasDuty(nowMs) ? this.#coordinator?.epoch : undefined;
  }

  #hasDuty(nowMs: number): boolean {
    if (this.#coordinator?.ready !== true || !this.#inView || this.#held === undefined || this.#leaving)
      return false;
    const endMs =
      this.#grants.dutyEndMs(this.#held.view, this.#seat.incarnation, nowMs) -
      this.#dependencies.times.grantMs / 4;
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

  tick(): void {
    const nowMs = this.#now();
    const awayMs = this.#detector.tick(nowMs);
    if (awayMs > 0) {
      this.#claims?.woke(nowMs);
      for (const channel of this.#channels.values()) channel.slept(awayMs);
      if (this.#disk !== undefined) this.#disk.sinceMs += awayMs;
    }
    const stalled = this.#isDiskStalled(nowMs);
    if (stalled && this.#inView) this.#rejoin();
    if (nowMs - this.#lastHeartbeatMs >= this.#dependencies.times.heartbeatMs && this.#inView)
      this.#sendHeartbeats(nowMs);
    if (nowMs - this.#lastHelloMs >= this.#dependencies.times.helloMs && !stalled) this.#sendHellos(nowMs);
    if (!this.#leaving && !stalled) this.#lead(nowMs);
    if (this.#hasDuty(nowMs)) this.#dutySinceMs ??= nowMs;
    this.#submitWaiting();
    this.#heartbeatChannels(nowMs);
    if (this.#gapSinceMs !== undefined && nowMs - this.#gapSinceMs > GAP_MS) this.#rejoin();
  }

  /** A disk that has synced nothing for too long, though writes wait: this node leaves the view until it does. */
  #isDiskStalled(nowMs: number): boolean {
    const { acceptor, times } = this.#dependencies;
    if (acceptor === undefined || !acceptor.busy) {
      this.#disk = undefined;
      return false;
    }
    if (this.#disk?.syncs !== acceptor.syncs) this.#disk = { syncs: acceptor.syncs, sinceMs: nowMs };
    return nowMs - this.#disk.sinceMs > times.lagMs;
  }

  receive(frame: Frame): void {
    const { from, body } = frame;
    if (from === this.#seat.incarnation) return;
    if (body.case === 'hello') return this.#onHello(body.value);
    if (body.case === 'helloAck') return this.#onHelloAck(body.value);
    if (frame.to !== '' && frame.to !== this.#seat.incarnation) return;
    switch (body.case) {
      case 'heartbeat':
        return this.#onBeat(from, body.value);
      case 'heartbeatAck':
        return this.#onHeartbeatAck(from, body.value);
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
        return this.#detector.report(from);
      default:
        return this.#dependencies.audience.onFrame(from, body);
    }
  }

  /** Sends a frame of news to a member. */
  postTo(incarnation: string, body: Frame['body']): void {
    const seat = this.#seats.get(incarnation);
    if (seat !== undefined) this.#post(seat, body);
  }

  #now(): number {
    return this.#dependencies.clock.nowMs();
  }

  #others(): Seat[] {
    return (this.view?.members ?? []).filter((member) => member.incarnation !== this.#seat.incarnation);
  }

  #post(seat: Seat, body: Frame['body']): void {
    this.#dependencies.post(seat.address, this.#frame(seat.incarnation, body));
  }

  #frame(to: string, body: Frame['body']): Frame {
    const frame = create(FrameSchema, {
      wire: WIRE,
      deployment: this.#dependencies.deployment,
      from: this.#seat.incarnation,
      to,
    });
    frame.body = body;
    return frame;
  }

  #parcel(seat: Seat, body: Parcel['body']): void {
    if (seat.incarnation === this.#seat.incarnation) return this.#onBody(seat.incarnation, body);
    this.#seats.set(seat.incarnation, seat);
    let channel = this.#channels.get(seat.incarnation);
    if (channel === undefined) {
      channel = new Channel();
      this.#channels.set(seat.incarnation, channel);
    }
    if (!channel.post(body)) return this.#overflow(seat.incarnation);
    this.#postParcels(seat, channel, this.#now());
  }

  #postParcels(seat: Seat, channel: Channel, nowMs: number): void {
    for (const parcel of channel.tick(nowMs)) {
      parcel.holds = this.#inView ? (this.#held?.number ?? 0) : 0;
      this.#post(seat, { case: 'parcel', value: parcel });
    }
  }

  /** A channel that has lost a body is at its end: the member goes, or this node does if it is the one cut off. */
  #overflow(incarnation: string): void {
    if (this.granted()) this.#detector.report(incarnation);
    else if (this.#inView) this.#rejoin();
  }

  /** Live: answers our heartbeats and does not lag behind our parcels beyond the bound. */
  #isLive(incarnation: string, nowMs: number): boolean {
    const lagMs = this.#channels.get(incarnation)?.lagMs(nowMs) ?? 0;
    return lagMs <= this.#dependencies.times.lagMs && this.#detector.live(incarnation, nowMs);
  }

  #heartbeatChannels(nowMs: number): void {
    for (const [incarnation, channel] of this.#channels) {
      const seat = this.#seats.get(incarnation);
      if (seat !== undefined) this.#postParcels(seat, channel, nowMs);
    }
  }

  #learnSeat(seat: Seat): void {
    this.#seats.set(seat.incarnation, seat);
    if (seat.address !== this.#seat.address) this.#addresses.add(seat.address);
  }

  // Finding each other.

  #sendHellos(nowMs: number): void {
    this.#lastHelloMs = nowMs;
    const lost = this.#inView && !this.granted();
    if (this.#leaving || (this.#inView && !lost)) return;
    for (const [incarnation, contact] of this.#contacts) {
      if (nowMs - contact.atMs > 10 * CONTACT_MS) this.#contacts.delete(incarnation);
    }
    const greetings = new Map<string, string>();
    for (const [incarnation, greeting] of this.#greetings) {
      const address = this.#seats.get(incarnation)?.address;
      if (address !== undefined) greetings.set(address, greeting);
    }
    for (const address of new Set([...this.#dependencies.seeds, ...this.#addresses])) {
      if (address === this.#seat.address) continue;
      const value = create(HelloSchema, {
        seat: this.#seat,
        founding: this.#mayFound(),
        number: this.#number(),
        echo: this.#inView ? '' : (greetings.get(address) ?? ''),
      });
      this.#dependencies.post(address, this.#frame('', { case: 'hello', value }));
    }
  }

  #number(): number {
    return Math.max(this.#held?.number ?? 0, this.#dependencies.acceptor?.accepted?.number ?? 0);
  }

  #onHello(hello: Hello): void {
    const seat = hello.seat;
    if (seat === undefined || seat.incarnation === this.#seat.incarnation) return;
    const nowMs = this.#now();
    this.#learnSeat(seat);
    const known = this.#greeted.get(seat.incarnation) ?? {
      greeting: randomId(this.#dependencies.chance),
      sinceMs: nowMs,
    };
    this.#greeted.set(seat.incarnation, known);
    const { number, founding } = hello;
    if (hello.echo === known.greeting) {
      this.#detector.answered(seat.incarnation, nowMs);
      this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView: false, number, founding });
    }
    const view = this.view;
    const member = view !== undefined && rankOf(view, seat.incarnation) >= 0;
    if (
      member &&
      hello.echo !== '' &&
      nowMs - (this.#welcomedMs.get(seat.incarnation) ?? -Infinity) > 2 * this.#dependencies.times.helloMs
    ) {
      this.#welcomedMs.set(seat.incarnation, nowMs);
      this.#welcome(seat);
    }
    const others = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    const value = create(HelloAckSchema, {
      seat: this.#seat,
      greeting: known.greeting,
      known: [
        ...(view?.members ?? []).filter((other) => other.incarnation !== seat.incarnation || member),
        ...others.map((contact) => contact.seat).filter((other) => other.incarnation !== seat.incarnation),
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
    const version = toVersion(this.#dependencies.play, this.#held, this.#lastEntry);
    this.#parcel(seat, { case: 'chosen', value: create(ChosenSchema, { versions: [version] }) });
  }

  #fresh(contact: Contact, nowMs: number): boolean {
    return nowMs - contact.atMs < CONTACT_MS;
  }

  #onHelloAck(ack: HelloAck): void {
    const seat = ack.seat;
    if (seat === undefined || seat.incarnation === this.#seat.incarnation) return;
    const nowMs = this.#now();
    this.#learnSeat(seat);
    this.#greetings.set(seat.incarnation, ack.greeting);
    this.#detector.answered(seat.incarnation, nowMs);
    const { inView, number, founding } = ack;
    if (ack.refused !== '' && !this.#inView) this.#dependencies.audience.onRefused(ack.refused);
    this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView, number, founding });
    for (const known of ack.known)
      if (known.incarnation !== this.#seat.incarnation) this.#addresses.add(known.address);
    const listed = ack.known.some((known) => known.incarnation === this.#seat.incarnation);
    if (this.#inView && inView && !listed && number > this.#number()) this.#rejoin();
  }

  #rejoin(): void {
    for (const member of this.#held?.view.members ?? []) this.#addresses.add(member.address);
    this.#addresses.delete(this.#seat.address);
    this.#seat = reborn(this.#seat, randomId(this.#dependencies.chance));
    this.#inView = false;
    this.#causal = undefined;
    this.#staying = undefined;
    this.#gapSinceMs = undefined;
    this.#coordinator = undefined;
    this.#claims?.forget();
    this.#following = undefined;
    this.#detector.clear();
    this.#channels.clear();
    this.#grants.clear();
    this.#reports.clear();
    this.#greetings.clear();
    this.#dependencies.audience.onReborn(this.#seat.incarnation);
  }

  // Heartbeats and grants.

  #sendHeartbeats(nowMs: number): void {
    const held = this.#held;
    if (held === undefined) return;
    this.#lastHeartbeatMs = nowMs;
    this.#heartbeatSequence += 1;
    this.#heartbeatSentMs.set(this.#heartbeatSequence, nowMs);
    this.#heartbeatSentMs.delete(this.#heartbeatSequence - 64);
    const others = this.#others();
    const value = this.#heartbeatOf(held, others, nowMs);
    const gatherer = held.level === 1 ? undefined : this.#gatherer(held.view, nowMs);
    const counts = clone(HeartbeatSchema, value);
    counts.delivered = [...(this.#causal?.delivered ?? [])];
    if (gatherer === this.#seat.incarnation) value.stable = [...(this.#causal?.stable ?? [])];
    for (const member of others) {
      const counted = held.level === 1 || member.incarnation === gatherer;
      this.#post(member, { case: 'heartbeat', value: counted ? counts : value });
    }
    if (this.#coordinator !== undefined)
      this.#follow(this.#seat.incarnation, this.#coordinator.epoch, value.unable);
  }

  /**
   * The member that gathers what all have delivered and tells the others what
   * may be let go: the lowest-ranked that is live. Each telling each would cost
   * the cube of the group.
   */
  #gatherer(view: View, nowMs: number): string {
    const first = view.members.find(
      (member) => member.incarnation === this.#seat.incarnation || this.#isLive(member.incarnation, nowMs),
    );
    return first?.incarnation ?? this.#seat.incarnation;
  }

  #heartbeatOf(held: Held<S>, others: readonly Seat[], nowMs: number): Heartbeat {
    return create(HeartbeatSchema, {
      sequence: this.#heartbeatSequence,
      view: held.view.number,
      number: held.number,
      epoch: this.#coordinator?.epoch ?? 0,
      suspects: others
        .filter((member) => !this.#isLive(member.incarnation, nowMs))
        .map((member) => member.incarnation),
      unable: nowMs < this.#unableUntilMs || this.#leaving,
      agreed: this.#coordinator?.agreed ?? this.agreed,
    });
  }

  #onBeat(from: string, heartbeat: Heartbeat): void {
    const held = this.#held;
    if (!this.#inView || held === undefined) return;
    const seat = this.#seats.get(from);
    const known = rankOf(held.view, from) >= 0;
    if (heartbeat.number > held.number) this.#fetch(from);
    if (!known && heartbeat.number > held.number) return;
    if (known) this.#heed(from, heartbeat);
    if (seat === undefined) return;
    const value = create(HeartbeatAckSchema, {
      sequence: heartbeat.sequence,
      number: held.number,
      epoch: this.epoch,
      dropped: !known,
      duty: heartbeat.epoch > 0 && heartbeat.epoch >= this.epoch,
      // The others agree without a member that leaves: it must not vouch for who may miss what they agree.
      withheld: this.#leaving || (this.#staying !== undefined && !this.#staying.has(from)),
    });
    this.#post(seat, { case: 'heartbeatAck', value });
  }

  #heed(from: string, heartbeat: Heartbeat): void {
    if (heartbeat.epoch > 0 && heartbeat.epoch >= this.epoch) {
      this.#epochSeen = heartbeat.epoch;
      this.#follow(from, heartbeat.epoch, heartbeat.unable);
      this.#agreedSeen = Math.max(this.#agreedSeen, heartbeat.agreed);
    }
    if (heartbeat.epoch > (this.#coordinator?.epoch ?? Infinity)) this.#resign();
    this.#reports.set(from, heartbeat.suspects);
    if (heartbeat.unable) this.#unable.add(from);
    else this.#unable.delete(from);
    if (heartbeat.view === this.#held?.view.number) {
      this.#causal?.learnDelivered(from, heartbeat.delivered);
      this.#causal?.learnStable(heartbeat.stable);
    }
    this.#coordinator?.holds(from, heartbeat.number);
  }

  #follow(incarnation: string, epoch: number, unable: boolean): void {
    this.#following = { incarnation, epoch, atMs: this.#now(), unable };
  }

  #liveFollowing(): Following | undefined {
    const following = this.#following;
    if (following === undefined || following.unable || following.epoch < this.epoch) return undefined;
    const nowMs = this.#now();
    if (nowMs - following.atMs > this.#dependencies.times.suspectMs) return undefined;
    if (following.incarnation === this.#seat.incarnation)
      return this.#coordinator === undefined ? undefined : following;
    return this.#isLive(following.incarnation, nowMs) ? following : undefined;
  }

  #onHeartbeatAck(from: string, ack: HeartbeatAck): void {
    const sentMs = this.#heartbeatSentMs.get(ack.sequence);
    const held = this.#held;
    if (!this.#inView || held === undefined || sentMs === undefined) return;
    this.#detector.answered(from, this.#now());
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
    if (nowMs - this.#lastFetchMs < this.#dependencies.times.resendMs) return;
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
    const read = fromVersion(this.#dependencies.play, version);
    if (read.isErr || rankOf(read.value.view, this.#seat.incarnation) < 0) return;
    this.#held = read.value;
    this.#log(version);
    this.#enterView(read.value.view);
    this.#dependencies.audience.onVersion(read.value, undefined);
    this.#openView();
    this.#sendHeartbeats(this.#now());
  }

  #deliver(held: Held<S>, version: Version): void {
    const entry = version.entry ?? create(EntrySchema);
    if (entry.view !== undefined) this.#causal?.finish(entry.cut);
    const next = advance(this.#dependencies.play, held, version.epoch, entry);
    this.#held = next;
    this.#log(version);
    if (entry.view !== undefined && rankOf(entry.view, this.#seat.incarnation) < 0) return this.#rejoin();
    if (entry.view !== undefined) this.#enterView(entry.view);
    this.#dependencies.audience.onVersion(next, entry);
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
    const incarnations = new Set(view.members.map((member) => member.incarnation));
    for (const member of view.members) {
      this.#learnSeat(member);
      this.#detector.watch(member.incarnation, nowMs);
    }
    for (const incarnation of this.#channels.keys())
      if (!incarnations.has(incarnation)) this.#channels.delete(incarnation);
    for (const incarnation of this.#seats.keys()) {
      const contact = this.#contacts.get(incarnation);
      if (incarnations.has(incarnation) || (contact !== undefined && this.#fresh(contact, nowMs))) continue;
      this.#seats.delete(incarnation);
      this.#contacts.delete(incarnation);
      this.#greeted.delete(incarnation);
      this.#welcomedMs.delete(incarnation);
      this.#greetings.delete(incarnation);
      this.#detector.forget(incarnation);
    }
    this.#reports.clear();
    this.#causal = new Causal(view, this.#seat.incarnation, (cast) => this.#hear(view, cast));
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
    if (sender !== undefined) this.#dependencies.audience.onCast(sender, cast.payload);
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
    if (seat !== undefined && still && bodies.some((body) => body.case === 'chosen'))
      this.#postParcels(seat, channel, this.#now());
  }

  #onBody(from: string, body: Parcel['body']): void {
    switch (body.case) {
      case 'cast':
        return this.#onCast(body.value);
      case 'chosen':
        for (const version of body.value.versions) this.#takeVersion(from, version);
        return;
      case 'submit': {
        const seat =
          from === this.#seat.incarnation
            ? this.#seat
            : this.view?.members.find((member) => member.incarnation === from);
        if (body.value.operation !== undefined && seat !== undefined)
          this.#coordinator?.submit(body.value.operation, seat);
        return;
      }
      case 'answer':
        if (this.#waiting.delete(body.value.id)) this.#dependencies.audience.onAnswer(body.value);
        return;
      case undefined:
        return;
    }
  }

  #submitWaiting(): void {
    const following = this.#liveFollowing();
    const seat =
      following?.incarnation === this.#seat.incarnation
        ? this.#seat
        : this.#seats.get(following?.incarnation ?? '');
    if (seat === undefined) return;
    const nowMs = this.#now();
    for (const [id, waiting] of this.#waiting) {
      if (nowMs - waiting.sentMs < 1000) continue;
      const again = waiting.sentMs !== -Infinity;
      waiting.sentMs = nowMs;
      const answer = again ? this.ask(id) : undefined;
      if (answer !== undefined) this.#onBody(this.#seat.incarnation, { case: 'answer', value: answer });
      else
        this.#parcel(seat, { case: 'submit', value: create(SubmitSchema, { operation: waiting.operation }) });
    }
  }

  // Stopping for a view change.

  #onStop(from: string, stop: Stop): void {
    const held = this.#held;
    if (!this.#inView || held === undefined || stop.epoch < this.epoch || stop.epoch < this.#stopEpoch)
      return;
    if (stop.view > held.view.number) return this.#fetch(from);
    if (stop.view < held.view.number) return;
    this.#epochSeen = stop.epoch;
    const seat = this.#seats.get(from);
    if (seat !== undefined)
      this.#post(seat, { case: 'flush', value: this.#flush(stop.epoch, stop.change, stop.staying) });
  }

  #flush(epoch: number, change: number, staying: readonly string[]): Flush {
    this.#stopEpoch = epoch;
    this.#staying = new Set(staying);
    const unstable = this.#causal?.stop() ?? [];
    return create(FlushSchema, { epoch, change, unstable });
  }

  // Electing a coordinator.

  #voters(): readonly Voter[] {
    const accepted = this.#dependencies.acceptor?.accepted?.state?.voters ?? [];
    return this.#held !== undefined && this.#held.voters.length > 0 && this.#inView
      ? this.#held.voters
      : accepted;
  }

  #voterSeat(disk: string): Seat | undefined {
    const nowMs = this.#now();
    const member = this.view?.members.find(
      (seat) => seat.disk === disk && this.#isLive(seat.incarnation, nowMs),
    );
    if (member !== undefined) return member;
    for (const contact of this.#contacts.values()) {
      if (contact.seat.disk === disk && this.#fresh(contact, nowMs)) return contact.seat;
    }
    return undefined;
  }

  #lead(nowMs: number): void {
    const { acceptor, times } = this.#dependencies;
    const claims = this.#claims;
    if (acceptor === undefined || claims === undefined) return;
    if (this.#coordinator !== undefined) {
      if (!this.#inView || this.granted()) this.#grantLostMs = undefined;
      else this.#grantLostMs ??= nowMs;
      if (this.#grantLostMs !== undefined && nowMs - this.#grantLostMs > times.resignMs) {
        this.#unableUntilMs = nowMs + 2 * times.resignMs;
        return this.#resign();
      }
      return this.#coordinator.tick(nowMs);
    }
    if (this.#mayFound()) return this.#found(nowMs);
    if (claims.pressing) return claims.tick(nowMs);
    if ((!claims.due(nowMs) && !this.#allOutside(nowMs)) || nowMs < this.#unableUntilMs || acceptor.busy)
      return;
    if (!claims.isTaken(undefined, nowMs) && this.#isNext(acceptor.disk, nowMs)) claims.begin(nowMs);
  }

  /** Whether every voter is there and none is in a view, as after a loss of power everywhere: nobody need be waited for. */
  #allOutside(nowMs: number): boolean {
    const { acceptor } = this.#dependencies;
    const voters = this.#voters();
    if (this.#inView || acceptor === undefined || voters.length === 0) return false;
    const outside = [...this.#contacts.values()].filter(
      (contact) => !contact.inView && this.#fresh(contact, nowMs),
    );
    return voters.every(
      ({ disk }) => disk === acceptor.disk || outside.some((contact) => contact.seat.disk === disk),
    );
  }

  /**
   * Whether no voter of lower rank can be reached. Lives in the view come
   * first, in its order; an voter that is back under a new incarnation comes after them.
   */
  #isNext(disk: string, nowMs: number): boolean {
    const voters = this.#voters().map((voter) => voter.disk);
    if (!voters.includes(disk)) return false;
    if (this.#inView) {
      const before = this.#held?.view.members.find(
        (member) =>
          member.incarnation === this.#seat.incarnation ||
          (voters.includes(member.disk) &&
            this.#isLive(member.incarnation, nowMs) &&
            !this.#unable.has(member.incarnation)),
      );
      return before?.incarnation === this.#seat.incarnation;
    }
    const fresh = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    if (fresh.some((contact) => contact.inView && voters.includes(contact.seat.disk))) return false;
    const first = voters.find(
      (known) => known === disk || fresh.some((contact) => contact.number > 0 && contact.seat.disk === known),
    );
    return first === disk;
  }

  #claimContext(acceptor: Acceptor): ClaimContext {
    const { times, chance } = this.#dependencies;
    return {
      acceptor,
      times,
      chance,
      nowMs: () => this.#now(),
      voters: () => this.#voters(),
      voterSeat: (disk) => this.#voterSeat(disk),
      seat: (incarnation) => this.#seats.get(incarnation),
      post: (seat, body) => this.#post(seat, body),
      following: () => this.#liveFollowing()?.incarnation,
      epoch: () => this.epoch,
      sawEpoch: (epoch) => {
        this.#epochSeen = Math.max(this.#epochSeen, epoch);
      },
      take: (epoch, version) => this.#take(epoch, version),
    };
  }

  #take(epoch: number, version: Version): void {
    const base = fromVersion(this.#dependencies.play, version);
    if (base.isErr) return;
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
    this.#grantLostMs = undefined;
    this.#dutySinceMs = undefined;
    this.#grants.clearDuties();
    this.#coordinator = new Coordinator(
      this.#context(),
      epoch,
      base.value,
      version.entry ?? create(EntrySchema),
      this.#now(),
      (number) => {
        this.#agreedSeen = Math.max(this.#agreedSeen, number);
      },
    );
    this.#follow(this.#seat.incarnation, epoch, false);
    this.#coordinator.tick(this.#now());
  }

  #resign(): void {
    this.#coordinator = undefined;
    this.#claims?.resigned();
    if (this.#following?.incarnation === this.#seat.incarnation) this.#following = undefined;
  }

  #context(): CoordinatorContext<S> {
    const { play, times, acceptor } = this.#dependencies;
    return {
      play,
      times,
      disk: acceptor?.disk ?? '',
      votersWanted: this.#dependencies.votersWanted ?? 0,
      self: () => this.#seat,
      heldNumber: () => (this.#inView ? (this.#held?.number ?? 0) : 0),
      left: (incarnation) => this.#byes.has(incarnation),
      live: (incarnation) => this.#isLive(incarnation, this.#now()),
      reported: (incarnation) => this.#isReported(incarnation),
      joiners: () => this.#joiners(),
      voterSeat: (disk) => this.#voterSeat(disk),
      post: (seat, body) => this.#post(seat, body),
      parcel: (seat, body) => this.#parcel(seat, body),
      vote: (version) => {
        const value = create(ProposeSchema, { disk: acceptor?.disk ?? '', version });
        acceptor?.propose(value, (accepted) => this.#onAccepted(accepted));
      },
      flushSelf: (change, staying) => this.#flush(this.epoch, change, staying).unstable,
      deliverSelf: (version) => this.#takeVersion(this.#seat.incarnation, version),
    };
  }

  #isReported(incarnation: string): boolean {
    const view = this.view;
    if (view === undefined) return false;
    const reports = view.members.filter((member) =>
      this.#reports.get(member.incarnation)?.includes(incarnation),
    ).length;
    return reports >= majority(view.members.length);
  }

  #joiners(): Seat[] {
    const nowMs = this.#now();
    const joiners = [...this.#contacts.values()]
      .filter((contact) => !contact.inView && this.#fresh(contact, nowMs))
      .map((contact) => contact.seat);
    const members = this.#held?.view;
    const fresh = joiners.filter(
      (seat) => !this.#inView || members === undefined || rankOf(members, seat.incarnation) < 0,
    );
    return this.#inView ? fresh : [this.#seat, ...fresh];
  }

  #onPropose(from: string, propose: Propose): void {
    const acceptor = this.#dependencies.acceptor;
    const seat = this.#seats.get(from);
    if (acceptor === undefined || seat === undefined) return;
    const version = propose.version;
    if (version === undefined) return;
    const listed = version.state?.voters.some((voter) => voter.disk === acceptor.disk) ?? false;
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
    const { acceptor } = this.#dependencies;
    return acceptor !== undefined && this.#founderName() !== undefined && acceptor.accepted === undefined;
  }

  /** How the founders' list calls this node: by name or by address. */
  #founderName(): string | undefined {
    const { founders, name, address } = this.#dependencies;
    return founders.find((founder) => founder === name || founder === address);
  }

  #found(nowMs: number): void {
    const { acceptor, founders, deployment, play } = this.#dependencies;
    const own = this.#founderName();
    if (acceptor === undefined || [...founders].sort()[0] !== own) return;
    const fresh = [...this.#contacts.values()].filter((contact) => this.#fresh(contact, nowMs));
    if (fresh.some((contact) => contact.inView || contact.number > 0)) return;
    const seats = [this.#seat];
    for (const founder of founders) {
      if (founder === own) continue;
      const contact = fresh.find(
        ({ seat, founding }) =>
          (seat.name === founder || seat.address === founder) && founding && seat.disk !== '',
      );
      if (contact === undefined) return;
      seats.push(contact.seat);
    }
    const voters = seats.map((seat) => ({
      $typeName: 'rainrun.v1.Voter' as const,
      disk: seat.disk,
      name: seat.name,
    }));
    const epoch = acceptor.promisedEpoch + 1;
    const held: Held<S> = {
      epoch,
      number: 1,
      deployment,
      view: create(ViewSchema, { epoch, number: 1, members: seats }),
      before: undefined,
      voters,
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
