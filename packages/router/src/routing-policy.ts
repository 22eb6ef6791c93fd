/**
 * Constants of how an edge of the platform system routes requests: bounds, time-outs and backoff, each with its unit.
 * Mechanisms read them from here and define none of their own.
 */

/** When a request waits, and how many may. */
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
  /** Priority of tenants that name none, and of requests without a tenant on public routes: the middle of 0 to 9. */
  defaultTenantPriority: 5,
  highestTenantPriority: 0,
  /** Part of its time after which the priority of its tenant stops counting against a request. */
  ageingRatio: 0.25,
} as const;

/** When a started attempt counts as stalled. */
export const ATTEMPT_POLICY = {
  /** Least silence after which a worker counts as silent, in milliseconds. */
  silentMs: 1000,
  /** A worker heard on any connection within this time is at work, in milliseconds. */
  recentlyHeardMs: 700,
  /** Least silence that a plain request bears, in milliseconds. */
  minPlainSilenceMs: 400,
  /** Silence that a plain request bears, in multiples of its target latency. */
  plainSilenceTargets: 3,
  /** Silence that a started stream bears from a worker at work, in multiples of its longest gap. */
  streamSilenceGaps: 4,
  /** How often a request at a silent worker looks for another one, in milliseconds. */
  failoverIntervalMs: 250,
  /** The link gives a send up this much after the request's deadline, in milliseconds. */
  stallMarginMs: 50,
  /** Largest plain response that is buffered, in bytes. */
  maxBufferedBytes: 16 * 1024 * 1024,
  /** Least urgent priority that is sent to workers. */
  lowestPriority: 9,
} as const;

/** How a stream of which the client has a part is resumed. */
export const RESUME_POLICY = {
  /** How often a stream that waits looks for a worker, in milliseconds. */
  intervalMs: 250,
  /** Clients give a stream up after a silence of the longest of these. */
  clientSilence: {
    /** In milliseconds. */
    minMs: 2000,
    /** In multiples of the route's target latency. */
    targets: 4,
    /** In multiples of the route's longest gap between events. */
    gaps: 8,
  },
} as const;

/** How a worker that failed or was full is left alone. */
export const BACKOFF_POLICY = {
  /** After the first failure, in milliseconds; doubled with each further one in a row. */
  firstMs: 400,
  /** Longest backoff, in milliseconds. */
  maxMs: 6000,
  /** After a rejection that names no time, in milliseconds. */
  fullMs: 25,
} as const;

/** How workers are compared, in requests in flight unless said otherwise. */
export const BALANCER_POLICY = {
  /** A worker of another zone must have so many fewer. */
  zonePenalty: 2,
  /** A worker whose prefix cache fits may have so many more than the least loaded. */
  prefixCacheSlack: 4,
  /** Prompts of at least so many tokens follow the prefix cache. */
  longPromptTokens: 1500,
  /** Workers that each long prefix is cached at: edges choose alike among them without a message between them. */
  prefixCacheReplicas: 2,
  /** Part of a worker's connections that the edges share out. */
  connectionRatio: 0.9,
  /** Requests that one edge may always have in flight at a worker. */
  minInFlight: 2,
} as const;

/** How many requests a worker gets while it warms up. */
export const WARM_UP_POLICY = {
  /** Part of the service's warm-up rate that the edges use. */
  rateRatio: 0.8,
  /** Tokens are earned for at most this time since the last look, in milliseconds. */
  maxRefillMs: 200,
} as const;
