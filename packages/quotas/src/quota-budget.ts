/**
 * The arithmetic of a quota: how what the bound allows above the limit is divided between the lifetime of
 * permits, drift of clocks, jitter of requests and changes of the allocator. The proof is in docs/design/quotas.md.
 */
import type { QuotaBounds, TenantLimit } from './permits.js';
import type { BucketConfig } from './token-bucket.js';

/** Monotonic clocks of two machines are taken to run apart by no more than this part each. */
const MAX_CLOCK_DRIFT = 0.01;

/** The part of the overshoot that goes to the lifetime of permits; the rest is for drift. */
const LIFETIME_FRACTION = 0.8;

/** Permits live at least so long, so that one can be used where the bounds allow no overshoot. */
const MIN_PERMIT_LIFETIME_MS = 200;

/** The part of what stays free that deepens the bucket, so that jitter on the way refuses nothing. */
const DEPTH_ALLOWANCE_FRACTION = 0.25;

/** Allocators that may spend a reserve within one window: the last two that had the tenant, see `reserveIntervalMs`. */
const MAX_RESERVE_HOLDERS = 2;

/** How a tenant's allowance is divided. */
export interface QuotaBudget {
  readonly bucket: BucketConfig;
  /** What one process that becomes the allocator may grant before it knows what its predecessor granted. */
  readonly reserve: number;
}

/**
 * How long a permit may be used, from the moment at which the edge sent its draw.
 * @example
 * permitLifetimeMs({ windowMs: 5000, overshoot: 0.1, slack: 20 }); // 400
 */
export function permitLifetimeMs(bounds: QuotaBounds): number {
  return Math.max(MIN_PERMIT_LIFETIME_MS, LIFETIME_FRACTION * bounds.overshoot * bounds.windowMs);
}

/**
 * For how long a view must be known to be committed, so that a takeover in the next one may use a reserve. All that
 * had the tenant before that view have stopped a lease after its commit, so what they spent lies in no window with
 * what is spent now; only the last one may have spent a reserve in the same window.
 */
export function reserveIntervalMs(bounds: QuotaBounds, leaseMs: number): number {
  return (bounds.windowMs + 2 * permitLifetimeMs(bounds) + leaseMs) * (1 + 2 * MAX_CLOCK_DRIFT);
}

/** The most requests of a tenant that may be sent in any window. */
export function windowBound(limit: TenantLimit, bounds: QuotaBounds): number {
  const allowed = (limit.ratePerS * bounds.windowMs) / 1000 + limit.burst;
  return allowed * (1 + bounds.overshoot) + (limit.slack ?? bounds.slack);
}

/**
 * Divides a tenant's allowance.
 * @example
 * quotaBudget({ name: 'tenant-1', ratePerS: 5, burst: 5 }, { windowMs: 5000, overshoot: 0.1, slack: 20 }).reserve; // 7.7
 */
export function quotaBudget(limit: TenantLimit, bounds: QuotaBounds): QuotaBudget {
  // Requests sent in a window were granted within this time, on a clock that may run fast.
  const grantSpanMs =
    (bounds.windowMs + permitLifetimeMs(bounds) * (1 + 2 * MAX_CLOCK_DRIFT)) * (1 + MAX_CLOCK_DRIFT);
  const available = windowBound(limit, bounds) - limit.burst;
  const tokensPerMs = Math.max(0, Math.min(limit.ratePerS / 1000, available / grantSpanMs));
  const remaining = Math.max(0, available - tokensPerMs * grantSpanMs);
  return {
    bucket: { depth: limit.burst + remaining * DEPTH_ALLOWANCE_FRACTION, tokensPerMs },
    reserve: (remaining * (1 - DEPTH_ALLOWANCE_FRACTION)) / MAX_RESERVE_HOLDERS,
  };
}
