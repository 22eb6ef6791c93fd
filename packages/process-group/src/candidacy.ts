import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  PromiseSchema,
  type Prepare,
  type Frame,
  type Promise as Promised,
  type Member,
  type Version,
} from '@rainrun/messages';
import type { RandomSource } from '@rainrun/common';
import type { Acceptor } from './acceptor.js';
import { disksOf, isQuorum, later, type VoterSets } from './play.js';
import type { GroupTimes } from './times.js';

/** What claims need of the node that they run in. */
export interface CandidacyContext {
  readonly acceptor: Acceptor;
  readonly times: GroupTimes;
  readonly chance: RandomSource;
  nowMs(): number;
  /** The voters of the newest version that this node knows of. */
  voters(): VoterSets;
  /** Where the voter with this disk is now, if it is known. */
  memberOfVoter(disk: string): Member | undefined;
  member(incarnation: string): Member | undefined;
  send(seat: Member, body: Frame['body']): void;
  /** Incarnation of the coordinator that this node follows, if one is heard. */
  followedCoordinator(): string | undefined;
  /** Newest epoch that this node knows of. */
  epoch(): number;
  learnEpoch(epoch: number): void;
  /** A majority promised an epoch: this node coordinates from this version on. */
  becomeCoordinator(epoch: number, version: Version): void;
}

interface PrepareRound {
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
 * const claims = new Candidacy(context);
 * if (claims.due(nowMs) && !claims.isTaken(undefined, nowMs)) claims.begin(nowMs);
 */
export class Candidacy {
  #context: CandidacyContext;
  #claiming: PrepareRound | undefined;
  #afterMs: number;
  #courtedMs = -Infinity;

  constructor(context: CandidacyContext) {
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
    const following = this.#context.followedCoordinator();
    if (following !== undefined && following !== claimant) return true;
    return nowMs - this.#courtedMs < this.#context.times.suspectMs;
  }

  begin(nowMs: number): void {
    const { acceptor } = this.#context;
    const epoch = this.#context.epoch() + 1;
    const claiming: PrepareRound = {
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

  #press(claiming: PrepareRound, nowMs: number): void {
    const { acceptor, times } = this.#context;
    if (nowMs - claiming.bornMs > times.suspectMs) return this.#drop(nowMs);
    if (nowMs - claiming.sentMs < times.resendMs) return;
    claiming.sentMs = nowMs;
    const { epoch, asking } = claiming;
    const value = create(PrepareSchema, { epoch, disk: acceptor.disk, preVote: asking });
    for (const disk of disksOf(this.#context.voters())) {
      if (asking ? claiming.supporters.has(disk) : claiming.promises.has(disk)) continue;
      const seat = this.#context.memberOfVoter(disk);
      if (disk === acceptor.disk) acceptor.prepare(value, (promise) => this.onPromise(promise));
      else if (seat !== undefined) this.#context.send(seat, { case: 'prepare', value });
    }
  }

  #drop(nowMs: number): void {
    this.#claiming = undefined;
    this.#afterMs = nowMs + 200 + this.#context.chance.next() * 800;
  }

  onClaim(from: string, claim: Prepare): void {
    const { acceptor } = this.#context;
    const seat = this.#context.member(from);
    if (seat === undefined) return;
    const taken = this.isTaken(from, this.#context.nowMs());
    if (taken || claim.preVote) {
      const granted = !taken && claim.epoch > acceptor.promisedEpoch;
      const { epoch, preVote: asking } = claim;
      const value = create(PromiseSchema, {
        epoch,
        preVote: asking,
        granted,
        disk: acceptor.disk,
        seenEpoch: this.#context.epoch(),
      });
      return this.#context.send(seat, { case: 'promise', value });
    }
    acceptor.prepare(claim, (promise) => this.#context.send(seat, { case: 'promise', value: promise }));
  }

  onPromise(promise: Promised): void {
    const claiming = this.#claiming;
    this.#context.learnEpoch(promise.granted ? 0 : promise.seenEpoch);
    if (claiming === undefined || promise.epoch !== claiming.epoch) return;
    if (!promise.granted) return this.#drop(this.#context.nowMs());
    if (promise.preVote) return this.#supported(claiming, promise.disk);
    claiming.promises.set(promise.disk, promise);
    this.#conclude(claiming);
  }

  /**
   * Takes the epoch once a quorum promised it. This node's own disk must be
   * among them: after a crash it would otherwise claim the same epoch again,
   * and coordinate in it a second time.
   */
  #conclude(claiming: PrepareRound): void {
    const { promises, epoch } = claiming;
    const { disk } = this.#context.acceptor;
    const best = bestOf(claiming);
    if (best?.state === undefined || !promises.has(disk)) return;
    if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises)) return;
    this.#claiming = undefined;
    if (best.state.voters.some((voter) => voter.disk === disk)) this.#context.becomeCoordinator(epoch, best);
  }

  #supported(claiming: PrepareRound, disk: string): void {
    claiming.supporters.add(disk);
    if (!claiming.asking || !isQuorum(this.#context.voters(), claiming.supporters)) return;
    claiming.asking = false;
    claiming.sentMs = -Infinity;
    this.#press(claiming, this.#context.nowMs());
  }
}

/** The newest version that an voter accepted, of those that promised. */
function bestOf(claiming: PrepareRound): Version | undefined {
  let best: Version | undefined;
  for (const { accepted } of claiming.promises.values()) {
    if (accepted !== undefined && (best === undefined || later(accepted, best))) best = accepted;
  }
  return best;
}
