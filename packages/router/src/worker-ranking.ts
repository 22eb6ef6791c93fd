/** Orders the workers that can take a request at an edge of the platform system, the best first. */
import { spread } from '@rainrun/common';
import type { ClientRequest, WorkerView } from './request.js';
import { BALANCER_POLICY } from './routing-policy.js';

/**
 * Orders workers by load and zone. For a prompt with a long shared prefix, workers that should have the
 * prefix cached come first unless they have much more load. Sorts `workers` in place.
 * @param inFlight - requests in flight from this edge at a worker
 * @example
 * rankWorkers(clientRequest, workers, { zone: 'north', inFlight: (id) => statuses.inFlight(id) });
 */
export function rankWorkers(
  clientRequest: ClientRequest,
  workers: WorkerView[],
  edge: { readonly zone: string; inFlight(id: string): number },
): WorkerView[] {
  const loads = new Map(
    workers.map((worker) => [
      worker.id,
      edge.inFlight(worker.id) + (worker.zone === edge.zone ? 0 : BALANCER_POLICY.zonePenalty),
    ]),
  );
  const leastLoad = Math.min(...loads.values());
  function loadOf(worker: WorkerView): number {
    return loads.get(worker.id) ?? 0;
  }
  // Ties are broken by a hash of the request id: by the shared prefix, all edges would choose the same worker.
  workers.sort(
    (one, other) =>
      loadOf(one) - loadOf(other) ||
      spread(`${clientRequest.id} ${other.id}`) - spread(`${clientRequest.id} ${one.id}`),
  );
  const prefix = clientRequest.prefix.at(-1);
  if (prefix === undefined || clientRequest.promptTokens < BALANCER_POLICY.longPromptTokens) return workers;
  const replicas = cacheReplicas(`${clientRequest.model}/${clientRequest.adapter}/${prefix}`, workers);
  const maxLoad = leastLoad + BALANCER_POLICY.zonePenalty + BALANCER_POLICY.prefixCacheSlack;
  const preferred = workers.filter((worker) => replicas.includes(worker) && loadOf(worker) <= maxLoad);
  return [...preferred, ...workers.filter((worker) => !preferred.includes(worker))];
}

/** Workers at which a prefix should be cached, chosen by rendezvous hashing: the same ones at every edge. */
function cacheReplicas(key: string, workers: readonly WorkerView[]): WorkerView[] {
  return [...workers]
    .sort((one, other) => spread(`${key} ${other.id}`) - spread(`${key} ${one.id}`))
    .slice(0, BALANCER_POLICY.prefixCacheReplicas);
}
