/** Timeouts of connections from edges and cores on the platform to workers. */
import type { LinkTimes } from '@rainrun/gateway';

/**
 * Timeouts for connections to workers: new ones are expensive, so idle ones are kept as long as the worker
 * allows.
 */
export const WORKER_CONNECTION_TIMES: LinkTimes = {
  connectMs: 600,
  keepAliveTimeout: 30_000,
  keepAliveMaxTimeout: 300_000,
  keepAliveTimeoutThreshold: 1000,
};
