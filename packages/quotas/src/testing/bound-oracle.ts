/** Oracle A: no window sees more requests of a tenant than the bound. */
import type { QuotaBounds, TenantLimit } from '../permits.js';
import { windowBound } from '../quota-budget.js';

/** A change of a limit is in force everywhere, and permits by the limit before have ended, after so long. */
export const LIMIT_CHANGE_MS = 1100;

/** A window with too many requests. */
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
 * Counts each tenant's requests in every window that ends with one. Where the limit changed, the highest one that
 * may have been in force in some part of the window counts.
 */
export class BoundOracle {
  readonly breaches: BoundBreach[] = [];
  /** The fullest window so far, as a part of its bound. */
  peakUsage = 0;
  #bounds: QuotaBounds;
  #sentMs = new Map<string, number[]>();
  #changes = new Map<string, LimitChange[]>();

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  /** A limit is in force from now on. */
  onLimit(limit: TenantLimit, nowMs: number): void {
    const changes = this.#changes.get(limit.name) ?? [];
    changes.push({ fromMs: nowMs, bound: windowBound(limit, this.#bounds) });
    this.#changes.set(limit.name, changes);
  }

  /** The first byte of a request goes to a worker. */
  onSent(tenant: string, nowMs: number): void {
    const window = this.#sentMs.get(tenant) ?? [];
    this.#sentMs.set(tenant, window);
    window.push(nowMs);
    const startMs = nowMs - this.#bounds.windowMs;
    while ((window[0] ?? nowMs) < startMs) window.shift();
    const bound = this.#highestBoundSince(tenant, startMs - LIMIT_CHANGE_MS);
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
