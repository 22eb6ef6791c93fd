/** Times of connections from edges and cores on the platform to workers. */
import type { LinkTimes } from '@rainrun/gateway';

/** Connections to workers on a platform: new ones are dear, so they are kept as long as a worker keeps them. */
export const WORKER_CONNECTION_TIMES: LinkTimes = {
  connectMs: 600,
  keepAliveTimeout: 30_000,
  keepAliveMaxTimeout: 300_000,
  keepAliveTimeoutThreshold: 1000,
};
