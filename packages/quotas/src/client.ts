/**
 * The edge's side of quotas: queues requests that wait for permits and draws the permits from the allocators
 * in batches.
 */
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

/**
 * Longest time for which a refusal is cached, so that further requests are refused without asking the core.
 */
const MAX_REFUSAL_CACHE_MS = 100;

/** How long to wait before asking a core again after it answered that it cannot allocate. */
const UNAVAILABLE_RETRY_MS = 100;

/** Maximum number of requests that wait for permits; further requests are refused. */
const MAX_WAITING_REQUESTS = 4096;

/** Retry interval given to a request that is refused because too many requests are waiting. */
const QUEUE_FULL_RETRY_AFTER_MS = 1000;

/** Interval at which the records of idle tenants are deleted. */
const IDLE_CLEANUP_INTERVAL_MS = 1000;

/**
 * Draw numbers start at a random number below this value, so that a grant for an earlier process of this edge
 * is not mistaken for a grant of the current one.
 */
const FIRST_DRAW_RANGE = 2 ** 31;

/** Options of a `QuotaClient`. */
export interface QuotaClientOptions {
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly bounds: QuotaBounds;
  /** Returns this edge with its current incarnation, to which cores send grants. */
  readonly self: () => Member;
  /** Sends a draw to a core. The message may be lost. */
  readonly send: (to: Member, draw: QuotaDraw) => void;
  /**
   * Lifetime of permits, measured from the time at which their draw was sent.
   * @default derived from the bounds
   */
  readonly permitLifetimeMs?: number;
}

/** Current contents and counters of a `QuotaClient`, for operators. */
export interface QuotaClientStats {
  readonly waiting: number;
  readonly surplusPermits: number;
  readonly drawsSent: number;
  readonly granted: number;
  readonly refused: number;
}

/**
 * The queue of one allocator: the tenants with requests that wait for its permits, and the draws sent to it.
 */
interface AllocatorQueue {
  readonly member: Member;
  readonly draws: DrawTracker;
  readonly tenants: Set<TenantRequests>;
}

/**
 * Draws permits for waiting requests, with one draw in flight per allocator; requests that arrive in the
 * meantime go into the next draw. A permit expires a fixed time after its draw was sent, by this edge's
 * monotonic clock. Clocks of different machines are therefore never compared, and a late grant carries only
 * expired permits.
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
  /** Queues by the incarnation of their allocator. */
  #queues = new Map<string, AllocatorQueue>();
  #lastDraw: number;
  #drawsSent = 0;
  /** Set while a grant is applied, so that requests made by its callbacks are batched into the next draw. */
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

  /** Chooses allocators by `view` from now on. A view that is not newer than the current one is ignored. */
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

  /** Applies a grant sent by a core. */
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

  /** Sends draws that are due and deletes the records of idle tenants. */
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

  /**
   * Answer that needs no draw: a surplus permit, a cached refusal, or a refusal because too many requests
   * wait.
   */
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

  /** Sends a draw for all requests that wait for an allocator, unless a draw to it is in flight. */
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
    // After this time the granted permits have expired, and a refusal no longer reflects the quota.
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
