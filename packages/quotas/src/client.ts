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
import { DrawTracker, type SentDraw } from './draw-tracker.js';
import type { PermitAnswer, PermitSource, QuotaBounds } from './permits.js';
import { permitLifetimeMs } from './quota-budget.js';
import { TenantRequests } from './tenant-requests.js';

/** A refusal is remembered no longer than this. */
const MAX_REFUSAL_CACHE_MS = 100;

/** A core that cannot allocate now is asked again after so long. */
const UNAVAILABLE_RETRY_MS = 100;

/** Requests that wait for permits at most; those beyond it are refused. */
const MAX_WAITING_REQUESTS = 4096;

/** What a request is told that finds too many waiting. */
const QUEUE_FULL_RETRY_AFTER_MS = 1000;

/** Idle tenants are forgotten at this interval. */
const IDLE_CLEANUP_INTERVAL_MS = 1000;

/** Draws are numbered from a random number below this on, so that a grant for an earlier process is not mistaken. */
const FIRST_DRAW_RANGE = 2 ** 31;

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
  readonly surplusPermits: number;
  readonly drawsSent: number;
  readonly granted: number;
  readonly refused: number;
}

/** An allocator that is drawn from, with the tenants that have requests waiting for it. */
interface AllocatorQueue {
  readonly member: Member;
  readonly draws: DrawTracker;
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
  #queues = new Map<string, AllocatorQueue>();
  #lastDraw: number;
  #drawsSent = 0;
  /** While answers are handed out, requests that they bring about wait for the next draw. */
  #isApplyingGrant = false;
  #waiting = 0;
  #granted = 0;
  #refused = 0;
  #nextCleanupMs = -Infinity;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
    this.#lifetimeMs = options.permitLifetimeMs ?? permitLifetimeMs(options.bounds);
    this.#lastDraw = Math.floor(options.chance.next() * FIRST_DRAW_RANGE);
  }

  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void {
    const nowMs = this.#options.clock.nowMs();
    const requests = this.#requestsOf(tenant);
    const immediate = this.#immediateAnswer(requests, nowMs);
    if (immediate !== undefined) {
      this.#countAnswer(immediate);
      done(immediate);
      return () => undefined;
    }
    return this.#enqueue(requests, done, nowMs);
  }

  /** Learns a view, by which allocators are chosen; the newest counts. */
  learnView(view: QuotaView): void {
    if (this.#view !== undefined && !isNewer(view, this.#view)) return;
    this.#view = view;
    const previousQueues = this.#queues;
    this.#queues = new Map();
    for (const member of view.members) {
      if (member.disk === '') continue;
      const draws = previousQueues.get(member.incarnation)?.draws ?? new DrawTracker(this.#lifetimeMs);
      this.#queues.set(member.incarnation, { member, draws, tenants: new Set() });
    }
    const nowMs = this.#options.clock.nowMs();
    for (const requests of this.#tenants.values()) {
      requests.retryAtMs = -Infinity;
      if (requests.waiting > 0) this.#queueOf(requests)?.tenants.add(requests);
    }
    for (const queue of this.#queues.values()) this.#sendDraw(queue, nowMs);
  }

  /** Takes a grant that a core sent. */
  receive(grant: QuotaGrant, nowMs: number): void {
    for (const queue of this.#queues.values()) {
      const draw = queue.draws.resolve(grant.draw);
      if (draw === undefined) continue;
      this.#isApplyingGrant = true;
      this.#applyGrant(queue, draw, grant, nowMs);
      this.#isApplyingGrant = false;
      this.#sendDraw(queue, nowMs);
      return;
    }
  }

  /** Sends what is due. */
  tick(nowMs: number): void {
    for (const queue of this.#queues.values()) this.#sendDraw(queue, nowMs);
    if (nowMs < this.#nextCleanupMs) return;
    this.#nextCleanupMs = nowMs + IDLE_CLEANUP_INTERVAL_MS;
    for (const [tenant, requests] of this.#tenants) if (requests.isIdle(nowMs)) this.#tenants.delete(tenant);
  }

  stats(): QuotaClientStats {
    let surplusPermits = 0;
    for (const requests of this.#tenants.values()) surplusPermits += requests.surplusPermits;
    return {
      waiting: this.#waiting,
      surplusPermits,
      drawsSent: this.#drawsSent,
      granted: this.#granted,
      refused: this.#refused,
    };
  }

  /** A kept permit or a remembered refusal, where there is one. */
  #immediateAnswer(requests: TenantRequests, nowMs: number): PermitAnswer | undefined {
    const endMs = requests.takeSurplusPermit(nowMs);
    if (endMs !== undefined) return { kind: 'granted', permit: { endMs } };
    const refusedForMs = requests.refusedForMs(nowMs);
    if (refusedForMs > 0) return { kind: 'over-quota', retryAfterMs: refusedForMs };
    if (this.#waiting >= MAX_WAITING_REQUESTS)
      return { kind: 'over-quota', retryAfterMs: QUEUE_FULL_RETRY_AFTER_MS };
    return undefined;
  }

  #enqueue(requests: TenantRequests, done: (answer: PermitAnswer) => void, nowMs: number): () => void {
    let isWaiting = true;
    this.#waiting += 1;
    const withdraw = requests.wait((answer) => {
      isWaiting = false;
      this.#waiting -= 1;
      this.#countAnswer(answer);
      done(answer);
    });
    const queue = this.#queueOf(requests);
    queue?.tenants.add(requests);
    if (queue !== undefined) this.#sendDraw(queue, nowMs);
    return () => {
      if (!isWaiting) return;
      isWaiting = false;
      this.#waiting -= 1;
      withdraw();
    };
  }

  #countAnswer(answer: PermitAnswer): void {
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

  #queueOf({ tenant }: TenantRequests): AllocatorQueue | undefined {
    const member = this.#view === undefined ? undefined : allocatorOf(tenant, this.#view.members);
    return member === undefined ? undefined : this.#queues.get(member.incarnation);
  }

  /** Sends a draw for all requests that wait for an allocator, unless one is in flight. */
  #sendDraw({ draws, member, tenants }: AllocatorQueue, nowMs: number): void {
    if (this.#isApplyingGrant || tenants.size === 0 || !draws.canSend(nowMs)) return;
    const needs = new Map<string, number>();
    for (const requests of tenants) {
      if (requests.waiting === 0) tenants.delete(requests);
      else if (requests.retryAtMs <= nowMs) needs.set(requests.tenant, requests.waiting);
    }
    if (needs.size === 0) return;
    this.#lastDraw += 1;
    this.#drawsSent += 1;
    draws.recordSent({ draw: this.#lastDraw, sentMs: nowMs, needs });
    const message = create(QuotaDrawSchema, {
      edge: this.#options.self(),
      draw: this.#lastDraw,
      needs: [...needs].map(([tenant, permits]) => create(QuotaNeedSchema, { tenant, permits })),
    });
    this.#options.send(member, message);
  }

  #applyGrant(queue: AllocatorQueue, draw: SentDraw, grant: QuotaGrant, nowMs: number): void {
    const endMs = draw.sentMs + this.#lifetimeMs;
    // What a core said so long ago is neither a permit nor news of the quota.
    if (endMs <= nowMs) return;
    for (const answer of grant.answers) {
      const asked = draw.needs.get(answer.tenant);
      if (asked !== undefined) this.#applyAnswer(queue, answer, asked, endMs, nowMs);
    }
  }

  #applyAnswer(
    queue: AllocatorQueue,
    answer: QuotaAnswer,
    asked: number,
    endMs: number,
    nowMs: number,
  ): void {
    const requests = this.#requestsOf(answer.tenant);
    requests.grant(answer.granted, endMs);
    const shortfall = asked - answer.granted;
    if (shortfall <= 0) return;
    if (answer.unavailable) {
      if (this.#queueOf(requests) === queue) requests.retryAtMs = nowMs + UNAVAILABLE_RETRY_MS;
      return;
    }
    const { retryAfterMs } = answer;
    const refuseUntilMs = nowMs + Math.min(retryAfterMs, MAX_REFUSAL_CACHE_MS);
    requests.refuse(shortfall, retryAfterMs, refuseUntilMs);
  }
}

function isNewer(one: QuotaView, other: QuotaView): boolean {
  if (one.number !== other.number) return one.number > other.number;
  return one.epoch > other.epoch;
}
