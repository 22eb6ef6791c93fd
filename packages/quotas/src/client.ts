/** The edge's side of quotas: requests wait here for permits, which are drawn from the allocators in batches. */
import { create } from '@bufbuild/protobuf';
import type { Clock, RandomSource } from '@rainrun/common';
import {
  QuotaDrawSchema,
  QuotaNeedSchema,
  type Member,
  type QuotaAnswer,
  type QuotaDraw,
  type QuotaGrant,
} from '@rainrun/messages';
import { allocatorOf } from './allocator-choice.js';
import type { QuotaView } from './allocator.js';
import { Draws, type SentDraw } from './draws.js';
import type { PermitAnswer, PermitSource, QuotaBounds } from './permits.js';
import { permitLifetimeMs } from './quota-budget.js';
import { TenantRequests } from './tenant-requests.js';

/** A refusal is remembered no longer than this. */
const REFUSAL_MEMORY_MOST_MS = 100;

/** A core that cannot allocate now is asked again after so long. */
const ASK_AGAIN_MS = 100;

/** Requests that wait for permits at most; those beyond it are refused. */
const WAITING_MOST = 4096;

/** What a request is told that finds too many waiting. */
const FULL_RETRY_AFTER_MS = 1000;

/** Idle tenants are forgotten at this interval. */
const FORGET_INTERVAL_MS = 1000;

/** Draws are numbered from a random number below this on, so that a grant for an earlier process is not mistaken. */
const FIRST_DRAW_BELOW = 2 ** 31;

/** What a client is made with. */
export interface QuotaClientOptions {
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly bounds: QuotaBounds;
  /** This edge under its present incarnation: where grants go. */
  readonly self: () => Member;
  /** Sends a draw to a core; it may be lost. */
  readonly send: (to: Member, draw: QuotaDraw) => void;
  /**
   * How long permits may be used, from the moment at which their draw was sent.
   * @default by the bounds
   */
  readonly permitLifetimeMs?: number;
}

/** What the client holds and has done, as operators see it. */
export interface QuotaClientStats {
  readonly waiting: number;
  readonly keptPermits: number;
  readonly drawsSent: number;
  readonly granted: number;
  readonly refused: number;
}

/** An allocator that is drawn from, with the tenants that have requests waiting for it. */
interface Lane {
  readonly member: Member;
  readonly draws: Draws;
  readonly tenants: Set<TenantRequests>;
}

/**
 * Draws permits for the requests that wait, one draw in flight for each allocator; what comes meanwhile goes into the
 * next. A permit ends a fixed time after its draw was sent, by this edge's monotonic clock, so no clocks are compared
 * and a grant that comes late is worth nothing by itself.
 * @example
 * const client = new QuotaClient({ clock, chance, bounds, self: () => member, send });
 * client.learnView(view);
 * const cancel = client.acquire('tenant-1', (answer) => proceed(answer));
 * client.receive(grant, clock.nowMs());
 * client.tick(clock.nowMs()); // every 50 ms or more often
 */
export class QuotaClient implements PermitSource {
  #options: QuotaClientOptions;
  #lifetimeMs: number;
  #view: QuotaView | undefined;
  #tenants = new Map<string, TenantRequests>();
  /** By the allocator's incarnation. */
  #lanes = new Map<string, Lane>();
  #lastDraw: number;
  #drawsSent = 0;
  /** While answers are handed out, requests that they bring about wait for the next draw. */
  #isTakingGrant = false;
  #waiting = 0;
  #granted = 0;
  #refused = 0;
  #forgetMs = -Infinity;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
    this.#lifetimeMs = options.permitLifetimeMs ?? permitLifetimeMs(options.bounds);
    this.#lastDraw = Math.floor(options.chance.next() * FIRST_DRAW_BELOW);
  }

  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void {
    const nowMs = this.#options.clock.nowMs();
    const requests = this.#requestsOf(tenant);
    const immediate = this.#immediateAnswer(requests, nowMs);
    if (immediate !== undefined) {
      this.#count(immediate);
      done(immediate);
      return () => undefined;
    }
    return this.#wait(requests, done, nowMs);
  }

  /** Learns a view, by which allocators are chosen; the newest counts. */
  learnView(view: QuotaView): void {
    if (this.#view !== undefined && !isNewer(view, this.#view)) return;
    this.#view = view;
    const lanes = this.#lanes;
    this.#lanes = new Map();
    for (const member of view.members) {
      if (member.disk === '') continue;
      const draws = lanes.get(member.incarnation)?.draws ?? new Draws(this.#lifetimeMs);
      this.#lanes.set(member.incarnation, { member, draws, tenants: new Set() });
    }
    const nowMs = this.#options.clock.nowMs();
    for (const requests of this.#tenants.values()) {
      requests.askAgainMs = -Infinity;
      if (requests.waiting > 0) this.#laneOf(requests)?.tenants.add(requests);
    }
    for (const lane of this.#lanes.values()) this.#draw(lane, nowMs);
  }

  /** Takes a grant that a core sent. */
  receive(grant: QuotaGrant, nowMs: number): void {
    for (const lane of this.#lanes.values()) {
      const draw = lane.draws.answered(grant.draw);
      if (draw === undefined) continue;
      this.#isTakingGrant = true;
      this.#takeGrant(lane, draw, grant, nowMs);
      this.#isTakingGrant = false;
      this.#draw(lane, nowMs);
      return;
    }
  }

  /** Sends what is due. */
  tick(nowMs: number): void {
    for (const lane of this.#lanes.values()) this.#draw(lane, nowMs);
    if (nowMs < this.#forgetMs) return;
    this.#forgetMs = nowMs + FORGET_INTERVAL_MS;
    for (const [tenant, requests] of this.#tenants) if (requests.isIdle(nowMs)) this.#tenants.delete(tenant);
  }

  stats(): QuotaClientStats {
    let keptPermits = 0;
    for (const requests of this.#tenants.values()) keptPermits += requests.keptPermits;
    return {
      waiting: this.#waiting,
      keptPermits,
      drawsSent: this.#drawsSent,
      granted: this.#granted,
      refused: this.#refused,
    };
  }

  /** A kept permit or a remembered refusal, where there is one. */
  #immediateAnswer(requests: TenantRequests, nowMs: number): PermitAnswer | undefined {
    const endMs = requests.takeKeptPermit(nowMs);
    if (endMs !== undefined) return { kind: 'granted', permit: { endMs } };
    const refusedForMs = requests.refusedForMs(nowMs);
    if (refusedForMs > 0) return { kind: 'over-quota', retryAfterMs: refusedForMs };
    if (this.#waiting >= WAITING_MOST) return { kind: 'over-quota', retryAfterMs: FULL_RETRY_AFTER_MS };
    return undefined;
  }

  #wait(requests: TenantRequests, done: (answer: PermitAnswer) => void, nowMs: number): () => void {
    let isWaiting = true;
    this.#waiting += 1;
    const withdraw = requests.wait((answer) => {
      isWaiting = false;
      this.#waiting -= 1;
      this.#count(answer);
      done(answer);
    });
    const lane = this.#laneOf(requests);
    lane?.tenants.add(requests);
    if (lane !== undefined) this.#draw(lane, nowMs);
    return () => {
      if (!isWaiting) return;
      isWaiting = false;
      this.#waiting -= 1;
      withdraw();
    };
  }

  #count(answer: PermitAnswer): void {
    if (answer.kind === 'granted') this.#granted += 1;
    else this.#refused += 1;
  }

  #requestsOf(tenant: string): TenantRequests {
    const known = this.#tenants.get(tenant);
    if (known !== undefined) return known;
    const requests = new TenantRequests(tenant);
    this.#tenants.set(tenant, requests);
    return requests;
  }

  #laneOf({ tenant }: TenantRequests): Lane | undefined {
    const member = this.#view === undefined ? undefined : allocatorOf(tenant, this.#view.members);
    return member === undefined ? undefined : this.#lanes.get(member.incarnation);
  }

  /** Sends a draw for all requests that wait for an allocator, unless one is in flight. */
  #draw({ draws, member, tenants }: Lane, nowMs: number): void {
    if (this.#isTakingGrant || tenants.size === 0 || !draws.canSend(nowMs)) return;
    const needs = new Map<string, number>();
    for (const requests of tenants) {
      if (requests.waiting === 0) tenants.delete(requests);
      else if (requests.askAgainMs <= nowMs) needs.set(requests.tenant, requests.waiting);
    }
    if (needs.size === 0) return;
    this.#lastDraw += 1;
    this.#drawsSent += 1;
    draws.sent({ draw: this.#lastDraw, sentMs: nowMs, needs });
    const message = create(QuotaDrawSchema, {
      edge: this.#options.self(),
      draw: this.#lastDraw,
      needs: [...needs].map(([tenant, permits]) => create(QuotaNeedSchema, { tenant, permits })),
    });
    this.#options.send(member, message);
  }

  #takeGrant(lane: Lane, draw: SentDraw, grant: QuotaGrant, nowMs: number): void {
    const endMs = draw.sentMs + this.#lifetimeMs;
    // What a core said so long ago is neither a permit nor news of the quota.
    if (endMs <= nowMs) return;
    for (const answer of grant.answers) {
      const asked = draw.needs.get(answer.tenant);
      if (asked !== undefined) this.#takeAnswer(lane, answer, asked, endMs, nowMs);
    }
  }

  #takeAnswer(lane: Lane, answer: QuotaAnswer, asked: number, endMs: number, nowMs: number): void {
    const requests = this.#requestsOf(answer.tenant);
    requests.grant(answer.granted, endMs);
    const rest = asked - answer.granted;
    if (rest <= 0) return;
    if (answer.unavailable) {
      if (this.#laneOf(requests) === lane) requests.askAgainMs = nowMs + ASK_AGAIN_MS;
      return;
    }
    const { retryAfterMs } = answer;
    const untilMs = nowMs + Math.min(retryAfterMs, REFUSAL_MEMORY_MOST_MS);
    requests.refuse(rest, retryAfterMs, untilMs);
  }
}

function isNewer(one: QuotaView, other: QuotaView): boolean {
  if (one.number !== other.number) return one.number > other.number;
  return one.epoch > other.epoch;
}
