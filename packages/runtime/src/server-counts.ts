/** The counters of what the clients of a server hold, under their names in the log. */
import type { MemoryBudget } from '@rainrun/common';
import type { ConnectionLimit } from './connection-limit.js';
import type { PipelineLimit } from './pipeline-limit.js';

/** The bounds of a server that are counted. */
export interface ServerBounds {
  readonly bodies: MemoryBudget;
  readonly connections: ConnectionLimit;
  readonly pipelines: PipelineLimit;
}

/** What is held and its bounds, and how many bodies and connections gave way, were refused or closed. */
export function serverCounts({ bodies, connections, pipelines }: ServerBounds): Record<string, number> {
  const { heldBytes, limitBytes, evicted, refused } = bodies.counts;
  const { open, limit, closed } = connections.counts;
  return {
    bodyBytes: heldBytes,
    bodyBytesLimit: Math.round(limitBytes),
    bodiesEvicted: evicted,
    bodiesRefused: refused,
    connections: open,
    connectionsLimit: limit,
    connectionsEvicted: closed,
    pipelinesClosed: pipelines.closed,
  };
}
