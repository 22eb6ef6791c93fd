/** Types of permits and quotas shared by edges and cores. */

/** The limit of one tenant over all edges together. */
export interface TenantLimit {
  readonly name: string;
  /** Requests per second; 0: no limit. */
  readonly ratePerS: number;
  /** Requests above the rate that the tenant may send at once after an idle period. */
  readonly burst: number;
  /**
   * Requests by which a window may exceed the limit in addition to the overshoot.
   * @default the slack of the bounds
   */
  readonly slack?: number;
}

/** How far the requests of a tenant, summed over all edges, may exceed its limit. */
export interface QuotaBounds {
  /** Length of the sliding window over which requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of (rate x window + burst) by which a window may exceed that value. */
  readonly overshoot: number;
  /** Requests by which a window may exceed the limit in addition to the overshoot. */
  readonly slack: number;
}

/** Permission to send one request to a worker once, before the permit expires. */
export interface Permit {
  /** Expiry time on the monotonic clock of the edge that holds the permit, in milliseconds. */
  readonly endMs: number;
}

/** The answer to one request for a permit. */
export type PermitAnswer =
  | { readonly kind: 'granted'; readonly permit: Permit }
  /** The tenant is over its quota; another permit may be available after `retryAfterMs`. */
  | { readonly kind: 'over-quota'; readonly retryAfterMs: number };

/** Source from which the router of an edge gets permits. */
export interface PermitSource {
  /**
   * Requests a permit to send one request of a tenant that has a limit. `done` is called once, before
   * `acquire` returns or later, and not while no core can allocate for the tenant. The returned function
   * cancels the request for a permit.
   */
  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void;
}

/** Bounds that allow no excess over a limit; used where no others are given. */
export const STRICT_QUOTA_BOUNDS: QuotaBounds = { windowMs: 5000, overshoot: 0, slack: 0 };
