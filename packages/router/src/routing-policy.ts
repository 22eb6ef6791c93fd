/**
 * Tuning constants of request routing at an edge of the platform system: limits, timeouts and backoff, each
 * with its unit. All routing code reads them from here.
 */

/** Limits on waiting requests, and `Retry-After` of rejections. */
export const ADMISSION_POLICY = {
  /** Requests that may wait at one edge, in the waiting queue or for a first configuration. */
  maxWaitingRequests: 2000,
  /** How long a request waits for the first configuration after a start, in milliseconds. */
  configurationWaitMs: 1500,
  /** `Retry-After` of a request that found the waiting queue full, in seconds. */
  queueFullRetryAfterS: 1,
  /** `Retry-After` of a request that no worker took, in seconds. */
  noWorkerRetryAfterS: 0.2,
} as const;

/** How requests of tenants are ordered; a priority of 0 is highest. */
export const PRIORITY_POLICY = {
  /** Priority of tenants that set none, and of public requests without a tenant: the middle of 0 to 9. */
  defaultTenantPriority: 5,
  highestTenantPriority: 0,
  /** Fraction of a request's time after which it gets the highest tenant priority, to prevent starvation. */
  ageingRatio: 0.25,
} as const;

/** When a started attempt counts as stalled. */
export const ATTEMPT_POLICY = {
  /** Shortest silence after which a worker counts as silent, in milliseconds. */
  silentMs: 1000,
  /** A worker that sent a byte on any connection within this time counts as active, in milliseconds. */
  recentlyHeardMs: 700,
  /** Lower bound of the silence limit of a non-streaming request, in milliseconds. */
  minPlainSilenceMs: 400,
  /** Silence limit of a non-streaming request, in multiples of its target latency. */
  plainSilenceTargets: 3,
  /** Silence limit of a started stream at an active worker, in multiples of the route's longest gap. */
  streamSilenceGaps: 4,
  /** How often a request at a silent worker tries to fail over to another one, in milliseconds. */
  failoverIntervalMs: 250,
  /** The link abandons a send this long after the request's deadline, in milliseconds. */
  stallMarginMs: 50,
  /** Largest non-streaming response that is buffered, in bytes. */
  maxBufferedBytes: 16 * 1024 * 1024,
  /** Lowest priority that is sent to workers; 0 is the highest. */
  lowestPriority: 9,
} as const;

/** How a stream is resumed of which the client already has a part. */
export const RESUME_POLICY = {
  /** How often an interrupted stream looks for a worker, in milliseconds. */
  intervalMs: 250,
  /** A client is assumed to give up a silent stream after the longest of these. */
  clientSilence: {
    /** In milliseconds. */
    minMs: 2000,
    /** In multiples of the route's target latency. */
    targets: 4,
    /** In multiples of the route's longest gap between events. */
    gaps: 8,
  },
} as const;

/** How long a worker that failed or was full gets no requests. */
export const BACKOFF_POLICY = {
  /** Backoff after the first failure, in milliseconds; doubled with each consecutive one. */
  firstMs: 400,
  /** Longest backoff, in milliseconds. */
  maxMs: 6000,
  /** Backoff after a rejection that names no time, in milliseconds. */
  fullMs: 25,
} as const;

/** How workers are ranked; values are in requests in flight unless stated otherwise. */
export const BALANCER_POLICY = {
  /** Load added to a worker in another zone: it must have this many requests fewer to rank equally. */
  zonePenalty: 2,
  /** A worker that should have the prefix cached may have this many more than the least loaded one. */
  prefixCacheSlack: 4,
  /** Prompts of at least this many tokens are routed by prefix cache. */
  longPromptTokens: 1500,
  /** Workers at which each long prefix is cached; all edges choose the same ones without communication. */
  prefixCacheReplicas: 2,
  /** Fraction of a worker's connections that the edges divide among themselves. */
  connectionRatio: 0.9,
  /** Requests that one edge may always have in flight at a worker. */
  minInFlight: 2,
} as const;

/** How many requests a worker gets while it warms up. */
export const WARM_UP_POLICY = {
  /** Fraction of the service's warm-up rate that the edges use. */
  rateRatio: 0.8,
  /** Longest time since the last refill for which tokens are earned, in milliseconds. */
  maxRefillMs: 200,
} as const;
