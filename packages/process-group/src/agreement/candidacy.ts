/** The prepare phase of Paxos: how a voter wins the promises of a quorum for the next epoch. */
import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  PromiseSchema,
  type Prepare,
  type Frame,
  type Promise as PromiseMessage,
  type Member,
  type Version,
} from '@rainrun/messages';
import type { RandomSource } from '@rainrun/common';
import type { Acceptor } from './acceptor.js';
import { disksOf, isQuorum, isLater, type VoterSets } from './quorum.js';
import type { GroupTimes } from '../times.js';

/** Upper bound of the random delay that keeps voters that lose a coordinator together from competing. */
const START_JITTER_MS = 300;

/** Fraction of `suspectMs` for which a voter supports no other candidate after it has promised an epoch. */
const PROMISE_HOLD_FRACTION = 1 / 2;

/** Multiple of `suspectMs` to wait after a candidacy in which this node learned that it no longer votes. */
const NON_VOTER_WAIT_FACTOR = 5;

/** What a candidacy needs from the node that it runs in. */
export interface CandidacyContext {
  readonly acceptor: Acceptor;
  readonly times: GroupTimes;
  readonly random: RandomSource;
  nowMs(): number;
  /** The voters of the newest version that this node knows of. */
  voters(): VoterSets;
  /** The member that holds this voter's disk now, if it is reachable. */
  memberOfVoter(disk: string): Member | undefined;
  member(incarnation: string): Member | undefined;
  send(member: Member, body: Frame['body']): void;
  /** Incarnation of the live coordinator that this node follows, if any. */
  followedCoordinator(): string | undefined;
  /** Newest epoch that this node knows of. */
  epoch(): number;
  learnEpoch(epoch: number): void;
  /** Called once a quorum has promised the epoch; this node coordinates from `version` on. */
  becomeCoordinator(epoch: number, version: Version): void;
}

/** The state of one candidacy in progress. */
interface PrepareRound {
  readonly epoch: number;
  readonly startedMs: number;
  sentMs: number;
  /** Voters that granted the pre-vote; the prepare phase begins once they are a quorum. */
  readonly supporters: Set<string>;
  /** Voters that refused, for example because they hear a coordinator. */
  readonly refusers: Set<string>;
  isPreVote: boolean;
  readonly promises: Map<string, PromiseMessage>;
}

/**
 * A voter's candidacy for the next epoch (the prepare phase of Paxos), and its
 * answers to the candidacies of others. A pre-vote asks first whether a quorum
 * would promise, so that a candidate does not depose a working coordinator.
 * @example
 * const candidacy = new Candidacy(context);
 * if (candidacy.isDue(nowMs) && !candidacy.isCoordinated(undefined, nowMs)) candidacy.begin(nowMs);
 */
export class Candidacy {
  #context: CandidacyContext;
  #round: PrepareRound | undefined;
  #nextAttemptMs: number;
  #lastProposalMs = -Infinity;
  /** The candidate to which this voter last promised an epoch, and when. */
  #lastPromise: { readonly candidate: string; readonly atMs: number } | undefined;
  #hasFailed = false;
  #jitter: number;

  constructor(context: CandidacyContext) {
    this.#context = context;
    this.#jitter = context.random.next();
    this.#nextAttemptMs = context.nowMs() + context.times.suspectMs + this.#jitter * START_JITTER_MS;
  }

  /** A random number from 0 to 1, drawn after each attempt, so that two voters rarely try together. */
  get jitter(): number {
    return this.#jitter;
  }

  /** Whether a pre-vote or a prepare phase of this node is in progress. */
  get isUnderWay(): boolean {
    return this.#round !== undefined;
  }

  /** Whether a candidacy of this node has failed or a term of it has ended since the node started. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** Phase of the candidacy in progress and the disks that have not answered; undefined if there is none. */
  missing(): { readonly isPreVote: boolean; readonly disks: readonly string[] } | undefined {
    const round = this.#round;
    if (round === undefined) return undefined;
    const { isPreVote, promises, supporters } = round;
    const answered: { has(disk: string): boolean } = isPreVote ? supporters : promises;
    return { isPreVote, disks: [...disksOf(this.#context.voters())].filter((disk) => !answered.has(disk)) };
  }

  /** Whether the wait before the next attempt is over. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.#nextAttemptMs;
  }

  /** Called after a suspension of the process: postpones the next attempt to listen for a coordinator. */
  onResume(nowMs: number): void {
    this.#nextAttemptMs = Math.max(this.#nextAttemptMs, nowMs + this.#context.times.suspectMs);
  }

  /** Called when this node has resigned as coordinator: postpones its next attempt. */
  onResigned(): void {
    const { times, random } = this.#context;
    this.#hasFailed = true;
    this.#jitter = random.next();
    this.#nextAttemptMs = this.#context.nowMs() + times.suspectMs + this.#jitter * 500;
  }

  /** Records that a coordinator of the newest epoch has proposed a version. */
  noteProposal(): void {
    this.#lastProposalMs = this.#context.nowMs();
  }

  /** Gives up the candidacy in progress, if any. */
  abandon(): void {
    this.#round = undefined;
  }

  /** Whether this node hears a coordinator other than the candidate; the candidate then gets no promise. */
  isCoordinated(candidate: string | undefined, nowMs: number): boolean {
    const followed = this.#context.followedCoordinator();
    if (followed !== undefined && followed !== candidate) return true;
    const { suspectMs } = this.#context.times;
    const ownDelayMs = candidate === undefined ? this.#jitter * START_JITTER_MS : 0;
    return nowMs - this.#lastProposalMs < suspectMs + ownDelayMs;
  }

  /** Whether another candidate was promised an epoch less than `PROMISE_HOLD_FRACTION` of `suspectMs` ago. */
  isHoldingPromise(candidate: string | undefined, nowMs: number): boolean {
    const lastPromise = this.#lastPromise;
    if (lastPromise === undefined || lastPromise.candidate === candidate) return false;
    return nowMs - lastPromise.atMs < this.#context.times.suspectMs * PROMISE_HOLD_FRACTION;
  }

  /** Starts a candidacy for the epoch after the newest known one: the pre-vote, then the prepare phase. */
  begin(nowMs: number): void {
    const { acceptor } = this.#context;
    const epoch = this.#context.epoch() + 1;
    const round: PrepareRound = {
      epoch,
      startedMs: nowMs,
      sentMs: -Infinity,
      isPreVote: true,
      supporters: new Set([acceptor.disk]),
      refusers: new Set(),
      promises: new Map(),
    };
    this.#round = round;
    this.#sendPrepares(round, nowMs);
    this.#addSupporter(round, acceptor.disk);
  }

  /** Resends the prepare to voters that have not answered; gives the candidacy up after `suspectMs`. */
  tick(nowMs: number): void {
    if (this.#round !== undefined) this.#sendPrepares(this.#round, nowMs);
  }

  #sendPrepares(round: PrepareRound, nowMs: number): void {
    const { acceptor, times } = this.#context;
    if (nowMs - round.startedMs > times.suspectMs) return this.#backOff(nowMs);
    if (nowMs - round.sentMs < times.resendMs) return;
    round.sentMs = nowMs;
    const { epoch, isPreVote } = round;
    const value = create(PrepareSchema, { epoch, disk: acceptor.disk, preVote: isPreVote });
    for (const disk of disksOf(this.#context.voters())) {
      if (isPreVote ? round.supporters.has(disk) : round.promises.has(disk)) continue;
      const member = this.#context.memberOfVoter(disk);
      if (disk === acceptor.disk) acceptor.prepare(value, (promise) => this.onPromise(promise));
      else if (member !== undefined) this.#context.send(member, { case: 'prepare', value });
    }
  }

  #backOff(nowMs: number): void {
    this.#round = undefined;
    this.#hasFailed = true;
    this.#jitter = this.#context.random.next();
    this.#nextAttemptMs = nowMs + 200 + this.#jitter * 800;
  }

  /** Answers another candidate's prepare. A pre-vote is answered without a promise or a disk write. */
  onPrepare(from: string, prepare: Prepare): void {
    const { acceptor } = this.#context;
    const member = this.#context.member(from);
    if (member === undefined) return;
    const nowMs = this.#context.nowMs();
    const isCoordinated = this.isCoordinated(from, nowMs);
    if (isCoordinated || prepare.preVote) {
      const mayGrant = !isCoordinated && !this.isHoldingPromise(from, nowMs);
      const granted = mayGrant && prepare.epoch > acceptor.promisedEpoch;
      const { epoch, preVote: isPreVote } = prepare;
      const value = create(PromiseSchema, {
        epoch,
        preVote: isPreVote,
        granted,
        disk: acceptor.disk,
        seenEpoch: this.#context.epoch(),
      });
      return this.#context.send(member, { case: 'promise', value });
    }
    acceptor.prepare(prepare, (promise) => {
      if (promise.granted) this.#lastPromise = { candidate: from, atMs: this.#context.nowMs() };
      this.#context.send(member, { case: 'promise', value: promise });
    });
  }

  /** Handles an answer to this node's own pre-vote or prepare. */
  onPromise(promise: PromiseMessage): void {
    const round = this.#round;
    this.#context.learnEpoch(promise.granted ? 0 : promise.seenEpoch);
    if (round === undefined || promise.epoch !== round.epoch) return;
    if (!promise.granted) return this.#onRefusal(round, promise);
    if (promise.preVote) return this.#addSupporter(round, promise.disk);
    round.promises.set(promise.disk, promise);
    this.#completeIfPromised(round);
  }

  /**
   * Ends the round if the refusing voter knows a newer epoch. A voter that hears a coordinator, or that
   * promised this epoch to another candidate, does not end it as long as the other voters are a quorum:
   * a working coordinator is heard by more than one voter.
   */
  #onRefusal(round: PrepareRound, { disk, seenEpoch }: PromiseMessage): void {
    round.refusers.add(disk);
    if (seenEpoch > round.epoch || !this.#canReachQuorum(round)) this.#backOff(this.#context.nowMs());
  }

  /** Whether the voters that are reachable and have not refused are a quorum. */
  #canReachQuorum(round: PrepareRound): boolean {
    const { acceptor } = this.#context;
    const voters = this.#context.voters();
    const reachable = [...disksOf(voters)].filter(
      (disk) =>
        !round.refusers.has(disk) &&
        (disk === acceptor.disk || this.#context.memberOfVoter(disk) !== undefined),
    );
    return isQuorum(voters, new Set(reachable));
  }

  /**
   * Becomes coordinator once a quorum has promised the epoch. This node's own disk must be
   * part of that quorum: after a crash it could otherwise prepare the same epoch again
   * and coordinate in it a second time.
   */
  #completeIfPromised(round: PrepareRound): void {
    const { promises, epoch } = round;
    const { disk } = this.#context.acceptor;
    const best = newestAccepted(round);
    if (best?.state === undefined || !promises.has(disk)) return;
    if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises)) return;
    this.#round = undefined;
    if (best.state.voters.some((voter) => voter.disk === disk)) this.#context.becomeCoordinator(epoch, best);
    else this.#backOffAsNonVoter();
  }

  #backOffAsNonVoter(): void {
    this.#hasFailed = true;
    this.#nextAttemptMs = this.#context.nowMs() + NON_VOTER_WAIT_FACTOR * this.#context.times.suspectMs;
  }

  #addSupporter(round: PrepareRound, disk: string): void {
    round.supporters.add(disk);
    if (!round.isPreVote || !isQuorum(this.#context.voters(), round.supporters)) return;
    round.isPreVote = false;
    round.sentMs = -Infinity;
    this.#sendPrepares(round, this.#context.nowMs());
  }
}

/** The newest version that any of the promising voters has accepted. */
function newestAccepted(round: PrepareRound): Version | undefined {
  let best: Version | undefined;
  for (const { accepted } of round.promises.values()) {
    if (accepted !== undefined && (best === undefined || isLater(accepted, best))) best = accepted;
  }
  return best;
}
