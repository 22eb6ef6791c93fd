/**
 * Divides the excess that the bounds allow over a limit between permit lifetime, clock drift, request jitter
 * and changes of the allocator. The proof that the sum stays within the bounds is in docs/design/quotas.md.
 */
import type { QuotaBounds, TenantLimit } from './permits.js';
import type { BucketConfig } from './token-bucket.js';

/** Assumed maximum drift rate of each machine's monotonic clock. */
const MAX_CLOCK_DRIFT = 0.01;

/** Fraction of the overshoot that is spent on the lifetime of permits; the rest covers clock drift. */
const LIFETIME_FRACTION = 0.8;

/** Minimum lifetime of permits, so that they can be used even if the bounds allow no overshoot. */
const MIN_PERMIT_LIFETIME_MS = 200;

/**
 * Fraction of the remaining excess that is added to the bucket's depth, so that network jitter causes no
 * refusals.
 */
const DEPTH_ALLOWANCE_FRACTION = 0.25;

/**
 * Maximum number of allocators that spend a reserve in one window: a tenant's last two, see
 * `reserveIntervalMs`.
 */
const MAX_RESERVE_HOLDERS = 2;

/** Division of a tenant's allowance into its bucket and the reserve of each new allocator. */
export interface QuotaBudget {
  readonly bucket: BucketConfig;
  /** Permits that a new allocator may grant before it knows how many its predecessor granted. */
  readonly reserve: number;
}

/**
 * Returns the lifetime of a permit, measured from the time at which the edge sent its draw.
 * @example
 * permitLifetimeMs({ windowMs: 5000, overshoot: 0.1, slack: 20 }); // 400
 */
export function permitLifetimeMs(bounds: QuotaBounds): number {
  return Math.max(MIN_PERMIT_LIFETIME_MS, LIFETIME_FRACTION * bounds.overshoot * bounds.windowMs);
}

/**
 * Returns how long a view must be known to be committed before a takeover in the next view may use a reserve.
 * All allocators of the tenant before that view stopped granting one lease after its commit, so no window
 * contains both their requests and the current ones. Only the last allocator may have spent a reserve in the
 * same window.
 */
export function reserveIntervalMs(bounds: QuotaBounds, leaseMs: number): number {
  return (bounds.windowMs + 2 * permitLifetimeMs(bounds) + leaseMs) * (1 + 2 * MAX_CLOCK_DRIFT);
}

/** Returns the maximum number of requests of a tenant that may be sent in any window. */
export function windowBound(limit: TenantLimit, bounds: QuotaBounds): number {
  const allowed = (limit.ratePerS * bounds.windowMs) / 1000 + limit.burst;
  return allowed * (1 + bounds.overshoot) + (limit.slack ?? bounds.slack);
}

/**
 * Divides the allowance of a tenant into its bucket and its reserve.
 * @example
 * const bounds = { windowMs: 5000, overshoot: 0.1, slack: 20 };
 * quotaBudget({ name: 'tenant-1', ratePerS: 5, burst: 5 }, bounds).reserve; // 7.7
 */
export function quotaBudget(limit: TenantLimit, bounds: QuotaBounds): QuotaBudget {
  // Time on a core's possibly fast clock in which the requests sent in one window were granted permits.
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
