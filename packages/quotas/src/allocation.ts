/** The quota of one tenant at its allocator, from the takeover wait to the granting of permits. */
import type { QuotaBudget } from './quota-budget.js';
import { TokenBucket } from './token-bucket.js';

/**
 * How long after a takeover no request is refused as over the quota, unless the bucket becomes full earlier:
 * until then its level does not reflect what the tenant has sent.
 */
const SETTLING_MS = 4000;

/**
 * Settling time after a handover of a bucket filled to at least `SHORT_SETTLING_MIN_FILL`, since few
 * requests then wait for permits.
 */
const SHORT_SETTLING_MS = 500;

/** Fraction of the depth from which a handed-over bucket gets the short settling time. */
const SHORT_SETTLING_MIN_FILL = 0.5;

/**
 * State of an allocation: `waiting` for the predecessor's lease to end or for its handover, `settling` while
 * it grants permits but refuses none as over the quota, or `serving`.
 */
export type AllocationState = 'waiting' | 'settling' | 'serving';

/** The answer to a request for permits. */
export interface AllocationAnswer {
  readonly granted: number;
  /**
   * Time until the next permit is available; undefined if the missing permits do not count as over the quota
   * yet.
   */
  readonly retryAfterMs: number | undefined;
}

/**
 * The token bucket of a tenant at the core that allocates its quota. Before the start it holds only the
 * reserve and is not refilled, because the predecessor may still grant permits. While it settles after the
 * start, its level does not reflect what the tenant has sent, so no request is refused as over the quota.
 * @example
 * const allocation = new Allocation(budget, reserve);
 * allocation.startAt(committedMs + waitMs);
 * allocation.answer(3, nowMs).granted; // from the reserve until the start
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

  /** Number of permits granted so far. */
  get granted(): number {
    return this.#granted;
  }

  /** Number of permits refused so far as over the quota. */
  get refused(): number {
    return this.#refused;
  }

  /** Time at which the wait ends; undefined while it is unknown. */
  get startMs(): number | undefined {
    return this.#startMs;
  }

  level(nowMs: number): number {
    return this.#bucket.level(nowMs);
  }

  /** Starts the allocation at `startMs`, after which the predecessor can no longer grant permits. */
  startAt(startMs: number): void {
    this.#startMs = startMs;
    this.#bucket.startRefill(startMs);
  }

  /** Starts the allocation now with the `level` of permits that the predecessor left when it stopped. */
  takeOver(level: number, nowMs: number): void {
    this.#bucket.add(level);
    if (this.#bucket.level(nowMs) >= SHORT_SETTLING_MIN_FILL * this.#bucket.depth)
      this.#settlingMs = SHORT_SETTLING_MS;
    this.startAt(nowMs);
  }

  reconfigure(budget: QuotaBudget, nowMs: number): void {
    this.#bucket.reconfigure(budget.bucket, nowMs);
  }

  /**
   * Empties the bucket of a tenant removed from the configuration, so that it finds no permits if it is added
   * again.
   */
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
