/** One tenant's quota in the hands of its allocator: from the wait after a takeover to the grants. */
import type { QuotaBudget } from './quota-budget.js';
import { TokenBucket } from './token-bucket.js';

/** After a takeover nothing is called over the quota for so long, unless the bucket was full before. */
const SETTLING_MS = 4000;

/** The same where the predecessor handed over a bucket at least so full, of which little was waited for. */
const SHORT_SETTLING_MS = 500;
const SHORT_SETTLING_MIN_FILL = 0.5;

/** What an allocation does now. */
export type AllocationState = 'waiting' | 'settling' | 'serving';

/** The answer to a need for permits. */
export interface AllocationAnswer {
  readonly granted: number;
  /** When one more is there; undefined where the rest is not to be called over the quota now. */
  readonly retryAfterMs: number | undefined;
}

/**
 * A tenant's bucket at the core that allocates it. Until its start it holds only the reserve and does not fill, since
 * the predecessor may still be granting. For a while after its start the level says nothing about what the tenant
 * sent, so nothing is called over the quota.
 * @example
 * const allocation = new Allocation(budget, reserve);
 * allocation.startAt(committedMs + waitMs);
 * allocation.answer(3, nowMs).granted; // out of the reserve until then
 */
export class Allocation {
  #bucket: TokenBucket;
  #startMs: number | undefined;
  #settlingMs = SETTLING_MS;
  #granted = 0;
  #refused = 0;

  constructor(budget: QuotaBudget, reserve: number) {
    this.#bucket = new TokenBucket(budget.bucket, reserve);
  }

  get depth(): number {
    return this.#bucket.depth;
  }

  /** Permits granted so far. */
  get granted(): number {
    return this.#granted;
  }

  /** Permits refused so far as over the quota. */
  get refused(): number {
    return this.#refused;
  }

  /** When the wait ends; undefined while that cannot be said. */
  get startMs(): number | undefined {
    return this.#startMs;
  }

  level(nowMs: number): number {
    return this.#bucket.level(nowMs);
  }

  /** The predecessor cannot grant after this moment. */
  startAt(startMs: number): void {
    this.#startMs = startMs;
    this.#bucket.startRefill(startMs);
  }

  /** The predecessor has stopped and left so many permits. */
  takeOver(level: number, nowMs: number): void {
    this.#bucket.add(level);
    if (this.#bucket.level(nowMs) >= SHORT_SETTLING_MIN_FILL * this.#bucket.depth)
      this.#settlingMs = SHORT_SETTLING_MS;
    this.startAt(nowMs);
  }

  reconfigure(budget: QuotaBudget, nowMs: number): void {
    this.#bucket.reconfigure(budget.bucket, nowMs);
  }

  /** The tenant is gone from the configuration: nothing is left for it, should it come back. */
  drain(nowMs: number): void {
    this.#bucket.drain(nowMs);
  }

  hasStarted(nowMs: number): boolean {
    return this.#startMs !== undefined && nowMs >= this.#startMs;
  }

  state(nowMs: number): AllocationState {
    if (this.#startMs === undefined || nowMs < this.#startMs) return 'waiting';
    if (this.#bucket.wasFull || nowMs >= this.#startMs + this.#settlingMs) return 'serving';
    return 'settling';
  }

  answer(wanted: number, nowMs: number): AllocationAnswer {
    const granted = this.#bucket.take(wanted, nowMs);
    this.#granted += granted;
    if (granted === wanted || this.state(nowMs) !== 'serving') return { granted, retryAfterMs: undefined };
    this.#refused += wanted - granted;
    const nextMs = this.#bucket.nextTokenMs(nowMs) ?? Infinity;
    return { granted, retryAfterMs: nextMs - nowMs };
  }
}
