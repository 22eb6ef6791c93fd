import { create } from '@bufbuild/protobuf';
import {
  ClaimSchema,
  PromiseSchema,
  type Claim,
  type Frame,
  type Promise as Promised,
  type Seat,
  type Version,
} from '@rainrun/messages';
import type { Chance } from '@rainrun/common';
import type { Acceptor } from './acceptor.js';
import { disksOf, isQuorum, later, type VoterSets } from './play.js';
import type { GroupTimes } from './times.js';

/** What claims need of the node that they run in. */
export interface ClaimContext {
  readonly acceptor: Acceptor;
  readonly times: GroupTimes;
  readonly chance: Chance;
  nowMs(): number;
  /** The voters of the newest version that this node knows of. */
  voters(): VoterSets;
  /** Where the voter with this disk is now, if it is known. */
  voterSeat(disk: string): Seat | undefined;
  seat(incarnation: string): Seat | undefined;
  post(seat: Seat, body: Frame['body']): void;
  /** Incarnation of the coordinator that this node follows, if one is heard. */
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
  /** Voters that would grant; the claim itself comes once they are a majority. */
  readonly supporters: Set<string>;
  asking: boolean;
  readonly promises: Map<string, Promised>;
}

/**
 * Claims of an voter to the next epoch, and its answers to those of others.
 * It asks first whether a majority would grant, so that it unseats nobody who
 * is at work.
 * @example
 * const claims = new Claims(context);
 * if (claims.due(nowMs) && !claims.isTaken(undefined, nowMs)) claims.begin(nowMs);
 */
export class Claims {
  #context: ClaimContext;
  #claiming: Claiming | undefined;
  #afterMs: number;
  #courtedMs = -Infinity;

  constructor(context: ClaimContext) {
    this.#context = context;
    this.#afterMs = context.nowMs() + context.times.suspectMs + context.chance.next() * 300;
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
    this.#afterMs = Math.max(this.#afterMs, nowMs + this.#context.times.suspectMs);
  }

  /** This node has ceased to coordinate. */
  resigned(): void {
    const { times, chance } = this.#context;
    this.#afterMs = this.#context.nowMs() + times.suspectMs + chance.next() * 500;
  }

  /** A coordinator of the newest epoch has proposed something. */
  courted(): void {
    this.#courtedMs = this.#context.nowMs();
  }

  forget(): void {
    this.#claiming = undefined;
  }

  /** Whether a coordinator is at work as far as this node can see; a claim against it is not supported. */
  isTaken(claimant: string | undefined, nowMs: number): boolean {
    const following = this.#context.following();
    if (following !== undefined && following !== claimant) return true;
    return nowMs - this.#courtedMs < this.#context.times.suspectMs;
  }

  begin(nowMs: number): void {
    const { acceptor } = this.#context;
    const epoch = this.#context.epoch() + 1;
    const claiming: Claiming = {
      epoch,
      bornMs: nowMs,
      sentMs: -Infinity,
      asking: true,
      supporters: new Set([acceptor.disk]),
      promises: new Map(),
    };
    this.#claiming = claiming;
    this.#press(claiming, nowMs);
    this.#supported(claiming, acceptor.disk);
  }

  tick(nowMs: number): void {
    if (this.#claiming !== undefined) this.#press(this.#claiming, nowMs);
  }

  #press(claiming: Claiming, nowMs: number): void {
    const { acceptor, times } = this.#context;
    if (nowMs - claiming.bornMs > times.suspectMs) return this.#drop(nowMs);
    if (nowMs - claiming.sentMs < times.resendMs) return;
    claiming.sentMs = nowMs;
    const { epoch, asking } = claiming;
    const value = create(ClaimSchema, { epoch, disk: acceptor.disk, asking });
    for (const disk of disksOf(this.#context.voters())) {
      if (asking ? claiming.supporters.has(disk) : claiming.promises.has(disk)) continue;
      const seat = this.#context.voterSeat(disk);
      if (disk === acceptor.disk) acceptor.claim(value, (promise) => this.onPromise(promise));
      else if (seat !== undefined) this.#context.post(seat, { case: 'claim', value });
    }
  }

  #drop(nowMs: number): void {
    this.#claiming = undefined;
    this.#afterMs = nowMs + 200 + this.#context.chance.next() * 800;
  }

  onClaim(from: string, claim: Claim): void {
    const { acceptor } = this.#context;
    const seat = this.#context.seat(from);
    if (seat === undefined) return;
    const taken = this.isTaken(from, this.#context.nowMs());
    if (taken || claim.asking) {
      const granted = !taken && claim.epoch > acceptor.promisedEpoch;
      const { epoch, asking } = claim;
      const value = create(PromiseSchema, {
        epoch,
        asking,
        granted,
        disk: acceptor.disk,
        seenEpoch: this.#context.epoch(),
      });
      return this.#context.post(seat, { case: 'promise', value });
    }
    acceptor.claim(claim, (promise) => this.#context.post(seat, { case: 'promise', value: promise }));
  }

  onPromise(promise: Promised): void {
    const claiming = this.#claiming;
    this.#context.sawEpoch(promise.granted ? 0 : promise.seenEpoch);
    if (claiming === undefined || promise.epoch !== claiming.epoch) return;
    if (!promise.granted) return this.#drop(this.#context.nowMs());
    if (promise.asking) return this.#supported(claiming, promise.disk);
    claiming.promises.set(promise.disk, promise);
    this.#conclude(claiming);
  }

  /**
   * Takes the epoch once a quorum promised it. This node's own disk must be
   * among them: after a crash it would otherwise claim the same epoch again,
   * and coordinate in it a second time.
   */
  #conclude(claiming: Claiming): void {
    const { promises, epoch } = claiming;
    const { disk } = this.#context.acceptor;
    const best = bestOf(claiming);
    if (best?.state === undefined || !promises.has(disk)) return;
    if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises)) return;
    this.#claiming = undefined;
    if (best.state.voters.some((voter) => voter.disk === disk)) this.#context.take(epoch, best);
  }

  #supported(claiming: Claiming, disk: string): void {
    claiming.supporters.add(disk);
    if (!claiming.asking || !isQuorum(this.#context.voters(), claiming.supporters)) return;
    claiming.asking = false;
    claiming.sentMs = -Infinity;
    this.#press(claiming, this.#context.nowMs());
  }
}

/** The newest version that an voter accepted, of those that promised. */
function bestOf(claiming: Claiming): Version | undefined {
  let best: Version | undefined;
  for (const { accepted } of claiming.promises.values()) {
    if (accepted !== undefined && (best === undefined || later(accepted, best))) best = accepted;
  }
  return best;
}
