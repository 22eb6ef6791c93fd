/**
 * The arithmetic of a quota: how what the bound allows above the limit is divided between the lifetime of
 * permits, drift of clocks, jitter of requests and changes of the allocator. The proof is in docs/design/quotas.md.
 */
import type { QuotaBounds, TenantLimit } from './permits.js';
import type { BucketShape } from './token-bucket.js';

/** Monotonic clocks of two machines are taken to run apart by no more than this part each. */
const CLOCK_DRIFT_MOST = 0.01;

/** The part of the overshoot that goes to the lifetime of permits; the rest is for drift. */
const LIFETIME_PART = 0.8;

/** Permits live at least so long, so that one can be used where the bounds allow no overshoot. */
const PERMIT_LIFETIME_LEAST_MS = 200;

/** The part of what stays free that deepens the bucket, so that jitter on the way refuses nothing. */
const GRACE_PART = 0.25;

/** Processes that may spend a reserve within one window, at the least. */
const RESERVE_HOLDERS_LEAST = 6;

/** How a tenant's allowance is divided. */
export interface QuotaBudget {
  readonly bucket: BucketShape;
  /** What one process that becomes the allocator may grant before it knows what its predecessor granted. */
  readonly reserve: number;
}

/**
 * How long a permit may be used, from the moment at which the edge sent its draw.
 * @example
 * permitLifetimeMs({ windowMs: 5000, overshoot: 0.1, slack: 20 }); // 400
 */
export function permitLifetimeMs(bounds: QuotaBounds): number {
  return Math.max(PERMIT_LIFETIME_LEAST_MS, LIFETIME_PART * bounds.overshoot * bounds.windowMs);
}

/** Between two uses of a reserve in one process, and from its start to the first. Longer than all that one window sees. */
export function reserveIntervalMs(bounds: QuotaBounds): number {
  return (bounds.windowMs + 2 * permitLifetimeMs(bounds)) * (1 + 2 * CLOCK_DRIFT_MOST);
}

/** The most requests of a tenant that may be sent in any window. */
export function windowBound(limit: TenantLimit, bounds: QuotaBounds): number {
  const allowed = (limit.ratePerS * bounds.windowMs) / 1000 + limit.burst;
  return allowed * (1 + bounds.overshoot) + bounds.slack;
}

/** Divides a tenant's allowance, where up to `cores` processes allocate. */
export function quotaBudget(limit: TenantLimit, bounds: QuotaBounds, cores: number): QuotaBudget {
  // Requests sent in a window were granted within this time, on a clock that may run fast.
  const grantSpanMs =
    (bounds.windowMs + permitLifetimeMs(bounds) * (1 + 2 * CLOCK_DRIFT_MOST)) * (1 + CLOCK_DRIFT_MOST);
  const available = windowBound(limit, bounds) - limit.burst;
  const tokensPerMs = Math.max(0, Math.min(limit.ratePerS / 1000, available / grantSpanMs));
  const free = Math.max(0, available - tokensPerMs * grantSpanMs);
  const holders = Math.max(RESERVE_HOLDERS_LEAST, cores + 1);
  return {
    bucket: { depth: limit.burst + free * GRACE_PART, tokensPerMs },
    reserve: (free * (1 - GRACE_PART)) / holders,
  };
}
