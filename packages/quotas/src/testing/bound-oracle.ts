/** Bound oracle: checks that no sliding window contains more requests of a tenant than its bound allows. */
import type { QuotaBounds, TenantLimit } from '../permits.js';
import { windowBound } from '../quota-budget.js';

/**
 * Time after which a limit change is in force everywhere and all permits granted under the old limit have
 * expired.
 */
export const LIMIT_CHANGE_EFFECT_MS = 1100;

/** A window that contains more requests than its bound. */
export interface BoundBreach {
  readonly tenant: string;
  readonly atMs: number;
  readonly sent: number;
  readonly bound: number;
}

interface LimitChange {
  readonly fromMs: number;
  readonly bound: number;
}

/**
 * Counts each tenant's requests in every window that ends with a request. If the limit changed, the bound is
 * that of the highest limit that may have been in force in some part of the window.
 */
export class BoundOracle {
  readonly breaches: BoundBreach[] = [];
  /** Highest number of requests in a window so far, as a fraction of the window's bound. */
  peakUsage = 0;
  #bounds: QuotaBounds;
  #sentMs = new Map<string, number[]>();
  #changes = new Map<string, LimitChange[]>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  /** Records that a limit is in force from now on. */
  onLimit(limit: TenantLimit, nowMs: number): void {
    const changes = this.#changes.get(limit.name) ?? [];
    changes.push({ fromMs: nowMs, bound: windowBound(limit, this.#bounds) });
    this.#changes.set(limit.name, changes);
  }

  /** Records that the first byte of a request is sent to a worker. */
  onSent(tenant: string, nowMs: number): void {
    const window = this.#sentMs.get(tenant) ?? [];
    this.#sentMs.set(tenant, window);
    window.push(nowMs);
    const startMs = nowMs - this.#bounds.windowMs;
    while ((window[0] ?? nowMs) < startMs) window.shift();
    const bound = this.#highestBoundSince(tenant, startMs - LIMIT_CHANGE_EFFECT_MS);
    this.peakUsage = Math.max(this.peakUsage, window.length / bound);
    if (window.length > bound) this.breaches.push({ tenant, atMs: nowMs, sent: window.length, bound });
  }

  #highestBoundSince(tenant: string, sinceMs: number): number {
    const changes = this.#changes.get(tenant) ?? [];
    let highest = 0;
    for (const [index, { bound }] of changes.entries()) {
      const endMs = changes[index + 1]?.fromMs ?? Infinity;
      if (endMs >= sinceMs) highest = Math.max(highest, bound);
    }
    return highest;
  }
}
