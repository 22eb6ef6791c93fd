import { create } from '@bufbuild/protobuf';
import {
  ClaimSchema,
  PromiseSchema,
  type Claim,
  type Elector,
  type Frame,
  type Promise as Promised,
  type Seat,
  type Version,
} from '@rainrun/courier';
import type { Chance } from '@rainrun/nacelle';
import type { Acceptor } from './acceptor.js';
import { later, majority } from './play.js';
import type { GroupTimes } from './times.js';

/** What claims need of the node that they run in. */
export interface ClaimDesk {
  readonly acceptor: Acceptor;
  readonly times: GroupTimes;
  readonly chance: Chance;
  nowMs(): number;
  electors(): readonly Elector[];
  /** Where the elector with this disk is now, if it is known. */
  electorSeat(disk: string): Seat | undefined;
  seat(life: string): Seat | undefined;
  post(seat: Seat, body: Frame['body']): void;
  /** Life of the coordinator that this node follows, if one is heard. */
  following(): string | undefined;
  /** Newest epoch that this node knows of. */
  epoch(): number;
  sawEpoch(epoch: number): void;
  /** A majority promised an epoch: this node coordinates from this version on. */
  take(epoch: number, version: Version): void;
}

interface Claiming {
  readonly epoch: number;
  readonly bornMs: number;
  sentMs: number;
  /** Electors that would grant; the claim itself comes once they are a majority. */
  readonly supporters: Set<string>;
  asking: boolean;
  readonly promises: Map<string, Promised>;
}

/**
 * Claims of an elector to the next epoch, and its answers to those of others.
 * It asks first whether a majority would grant, so that it unseats nobody who
 * is at work.
 * @example
 * const claims = new Claims(desk);
 * if (claims.due(nowMs) && !claims.isTaken(undefined, nowMs)) claims.begin(nowMs);
 */
export class Claims {
  #desk: ClaimDesk;
  #claiming: Claiming | undefined;
  #afterMs: number;
  #courtedMs = -Infinity;

  constructor(desk: ClaimDesk) {
    this.#desk = desk;
    this.#afterMs = desk.nowMs() + desk.times.suspectMs + desk.chance.next() * 300;
  }

  /** Whether a claim is under way. */
  get pressing(): boolean {
    return this.#claiming !== undefined;
  }

  due(nowMs: number): boolean {
    return nowMs >= this.#afterMs;
  }

  /** This node has slept: it listens before it claims. */
  woke(nowMs: number): void {
    this.#afterMs = Math.max(this.#afterMs, nowMs + this.#desk.times.suspectMs);
  }

  /** This node has ceased to coordinate. */
  resigned(): void {
    const { times, chance } = this.#desk;
    this.#afterMs = this.#desk.nowMs() + times.suspectMs + chance.next() * 500;
  }

  /** A coordinator of the newest epoch has proposed something. */
  courted(): void {
    this.#courtedMs = this.#desk.nowMs();
  }

  forget(): void {
    this.#claiming = undefined;
  }

  /** Whether a coordinator is at work as far as this node can see; a claim against it is not supported. */
  isTaken(claimant: string | undefined, nowMs: number): boolean {
    const following = this.#desk.following();
    if (following !== undefined && following !== claimant) return true;
    return nowMs - this.#courtedMs < this.#desk.times.suspectMs;
  }

  begin(nowMs: number): void {
    const { acceptor } = this.#desk;
    const epoch = this.#desk.epoch() + 1;
    this.#claiming = { epoch, bornMs: nowMs, sentMs: -Infinity, asking: true, supporters: new Set([acceptor.disk]), promises: new Map() };
    this.#press(this.#claiming, nowMs);
  }

  beat(nowMs: number): void {
    if (this.#claiming !== undefined) this.#press(this.#claiming, nowMs);
  }

  #press(claiming: Claiming, nowMs: number): void {
    const { acceptor, times } = this.#desk;
    if (nowMs - claiming.bornMs > times.suspectMs) return this.#drop(nowMs);
    if (nowMs - claiming.sentMs < times.resendMs) return;
    claiming.sentMs = nowMs;
    const { epoch, asking } = claiming;
    const value = create(ClaimSchema, { epoch, disk: acceptor.disk, asking });
    for (const elector of this.#desk.electors()) {
      if (asking ? claiming.supporters.has(elector.disk) : claiming.promises.has(elector.disk)) continue;
      const seat = this.#desk.electorSeat(elector.disk);
      if (elector.disk === acceptor.disk) acceptor.claim(value, (promise) => this.onPromise(promise));
      else if (seat !== undefined) this.#desk.post(seat, { case: 'claim', value });
    }
  }

  #drop(nowMs: number): void {
    this.#claiming = undefined;
    this.#afterMs = nowMs + 200 + this.#desk.chance.next() * 800;
  }

  onClaim(from: string, claim: Claim): void {
    const { acceptor } = this.#desk;
    const seat = this.#desk.seat(from);
    if (seat === undefined) return;
    const taken = this.isTaken(from, this.#desk.nowMs());
    if (taken || claim.asking) {
      const granted = !taken && claim.epoch > acceptor.promisedEpoch;
      const { epoch, asking } = claim;
      const value = create(PromiseSchema, { epoch, asking, granted, disk: acceptor.disk, seenEpoch: this.#desk.epoch() });
      return this.#desk.post(seat, { case: 'promise', value });
    }
    acceptor.claim(claim, (promise) => this.#desk.post(seat, { case: 'promise', value: promise }));
  }

  onPromise(promise: Promised): void {
    const claiming = this.#claiming;
    this.#desk.sawEpoch(promise.granted ? 0 : promise.seenEpoch);
    if (claiming === undefined || promise.epoch !== claiming.epoch) return;
    if (!promise.granted) return this.#drop(this.#desk.nowMs());
    if (promise.asking) return this.#supported(claiming, promise.disk);
    claiming.promises.set(promise.disk, promise);
    const best = bestOf(claiming);
    const electors = best?.state?.electors ?? [];
    const promised = electors.filter((elector) => claiming.promises.has(elector.disk)).length;
    const mine = this.#desk.electors();
    const promisedOfMine = mine.filter((elector) => claiming.promises.has(elector.disk)).length;
    if (best === undefined || promised < majority(electors.length) || promisedOfMine < majority(mine.length)) return;
    this.#claiming = undefined;
    if (electors.some((elector) => elector.disk === this.#desk.acceptor.disk)) this.#desk.take(claiming.epoch, best);
  }

  #supported(claiming: Claiming, disk: string): void {
    claiming.supporters.add(disk);
    const electors = this.#desk.electors();
    const supporters = electors.filter((elector) => claiming.supporters.has(elector.disk)).length;
    if (!claiming.asking || supporters < majority(electors.length)) return;
    claiming.asking = false;
    claiming.sentMs = -Infinity;
    this.#press(claiming, this.#desk.nowMs());
  }
}

/** The newest version that an elector accepted, of those that promised. */
function bestOf(claiming: Claiming): Version | undefined {
  let best: Version | undefined;
  for (const { accepted } of claiming.promises.values()) {
    if (accepted !== undefined && (best === undefined || later(accepted, best))) best = accepted;
  }
  return best;
}
