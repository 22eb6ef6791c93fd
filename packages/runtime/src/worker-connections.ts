/** Connections from edges and cores on the platform to workers: their timeouts, and counters of what comes on them. */
import type { MemoryBudget } from '@rainrun/common';
import type { LinkTimes, WorkerTraffic } from '@rainrun/gateway';

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

/** What all workers have sent since the start, by the names of the counters. */
export function workerTrafficCounts({ total }: WorkerTraffic): Record<string, number> {
  return {
    workerBytes: total.bytes,
    workerPieces: total.pieces,
    workerBytesUnneeded: total.unneededBytes,
  };
}

/** What the responses of workers hold, its bound, and how many gave way or found no room, by the names of the counters. */
export function responseMemoryCounts({ counts }: MemoryBudget): Record<string, number> {
  return {
    answerBytes: counts.heldBytes,
    answerBytesLimit: Math.round(counts.limitBytes),
    answersEvicted: counts.evicted,
    answersRefused: counts.refused,
  };
}
