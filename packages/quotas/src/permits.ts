/** Permits and quotas as edges and cores see them. */

/** The limit of one tenant over all edges together. */
export interface TenantLimit {
  readonly name: string;
  /** Requests per second; 0: no limit. */
  readonly ratePerS: number;
  /** Requests above the rate that it may send at once after a rest. */
  readonly burst: number;
  /**
   * Requests by which a window may exceed the limit besides the overshoot.
   * @default the slack of the bounds
   */
  readonly slack?: number;
}

/** How far the sum over all edges may go above a limit. */
export interface QuotaBounds {
  /** Length of the sliding window over which requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Part of (rate x window + burst) by which a window may exceed it. */
  readonly overshoot: number;
  /** Requests by which a window may exceed it besides. */
  readonly slack: number;
}

/** Allows one request to be sent to a worker, once, before its end. */
export interface Permit {
  /** On the monotonic clock of the edge that holds it, in milliseconds. */
  readonly endMs: number;
}

/** The answer to one request for a permit. */
export type PermitAnswer =
  | { readonly kind: 'granted'; readonly permit: Permit }
  /** The tenant is over its quota; another permit may be there after this time. */
  | { readonly kind: 'over-quota'; readonly retryAfterMs: number };

/** Where the router of an edge gets permits. */
export interface PermitSource {
  /**
   * Asks for a permit to send one request of a tenant with a limit. `done` is called once, at once or later; not at
   * all while no core can allocate for the tenant. The returned function withdraws the request for a permit.
   */
  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void;
}

/** Bounds that allow nothing above a limit: where no others are given. */
export const STRICT_QUOTA_BOUNDS: QuotaBounds = { windowMs: 5000, overshoot: 0, slack: 0 };
