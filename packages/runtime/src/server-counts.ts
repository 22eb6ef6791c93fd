/** The counters of what the clients of a server hold, under their names in the log. */
import type { MemoryBudget } from '@rainrun/common';
import type { ConnectionLimit } from './connection-limit.js';
import type { PipelineLimit } from './pipeline-limit.js';
import type { UnfinishedBodies } from './unfinished-bodies.js';

/** The bounds of a server that are counted. */
export interface ServerBounds {
  readonly bodies: MemoryBudget;
  readonly unfinishedBodies: UnfinishedBodies;
  readonly connections: ConnectionLimit;
  readonly pipelines: PipelineLimit;
}

/** What is held and its bounds, and how many bodies and connections gave way, were refused or closed. */
export function serverCounts(bounds: ServerBounds): Record<string, number> {
  const { bodies, unfinishedBodies, connections, pipelines } = bounds;
  const { heldBytes, limitBytes, evicted, refused } = bodies.counts;
  const { open, limit, closed } = connections.counts;
  return {
    bodyBytes: heldBytes,
    bodyBytesLimit: Math.round(limitBytes),
    bodiesEvicted: evicted,
    bodiesRefused: refused,
    bodiesIdle: unfinishedBodies.idleCount,
    connections: open,
    connectionsLimit: limit,
    connectionsEvicted: closed,
    pipelinesClosed: pipelines.closed,
  };
}
