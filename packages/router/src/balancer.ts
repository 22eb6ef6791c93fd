/** Chooses a worker for a request at an edge of the platform system. */
import { spread } from '@rainrun/common';
import type { NoWorkerReason, RoutedRequest, WorkerView } from './request.js';
import { BALANCER_POLICY } from './routing-policy.js';
import { rankWorkers } from './worker-ranking.js';
import { WorkerStatusTable, type WorkerStatusDependencies } from './worker-status.js';

/** What the balancer knows beyond the workers themselves. */
export interface BalancerDependencies extends WorkerStatusDependencies {
  /** The zone of this edge. */
  readonly zone: string;
  /** Zones whose workers get no new requests. */
  evacuated(): readonly string[];
  /** The region that a zone belongs to; empty if it belongs to none. */
  region(zone: string): string;
}

/** `sharePercent` of a worker to which every edge may send. */
const ALL_EDGES_PERCENT = 100;

/**
 * Chooses a worker for a request: one that has its model loaded, has capacity, and is
 * least loaded as far as this edge knows; prompts that share a long prefix go
 * where they went before, the same at every edge.
 * @example
 * const choice = balancer.choose(request, workers);
 * if (typeof choice === 'string') wait(choice);
 */
export class Balancer {
  #dependencies: BalancerDependencies;
  #statuses: WorkerStatusTable;

  constructor(dependencies: BalancerDependencies) {
    this.#dependencies = dependencies;
    this.#statuses = new WorkerStatusTable(dependencies);
  }

  /** What this edge experienced of each worker. */
  get statuses(): WorkerStatusTable {
    return this.#statuses;
  }

  /** The worker for a request, or why none can take it now. Takes a warm-up token of the worker that it returns. */
  choose(request: RoutedRequest, workers: Iterable<WorkerView>): WorkerView | NoWorkerReason {
    const { clientRequest, service } = request;
    const nowMs = this.#dependencies.nowMs();
    const evacuated = this.#dependencies.evacuated();
    const maxInFlight = this.#maxInFlight(service.connections);
    const allowed: WorkerView[] = [];
    const ejected: WorkerView[] = [];
    let reason: NoWorkerReason = 'none';
    for (const worker of workers) {
      if (!this.#isEligible(request, worker, evacuated)) continue;
      const unavailable = this.#unavailableReason(request, worker, maxInFlight, nowMs);
      if (unavailable === undefined) (this.#isAllowedByShare(worker) ? allowed : ejected).push(worker);
      else if (unavailable !== 'model-not-loaded' || reason === 'none') reason = unavailable;
    }
    // A worker that fails some of its requests is better than none.
    const candidates = allowed.length > 0 ? allowed : ejected;
    if (candidates.length === 0) return reason;
    const ranked = rankWorkers(clientRequest, candidates, {
      zone: this.#dependencies.zone,
      inFlight: (id) => this.#statuses.inFlight(id),
    });
    return (
      ranked.find((worker) => this.#statuses.takeWarmUpToken(worker, service.warmupPerS)) ?? 'warming-up'
    );
  }

  /** Whether a worker has a model and an adapter of it loaded, by its row and by its own answers. */
  hasModel(worker: WorkerView, model: string, adapter: string): boolean {
    if (model === '' || worker.models.size === 0) return model === '';
    const adapters = worker.models.get(model);
    if (adapters === undefined || (adapter !== '' && !adapters.has(adapter))) return false;
    return !this.#statuses.lacksModel(worker, model, adapter);
  }

  /** Whether a worker may get requests of this service and route at all. */
  #isEligible({ service, route }: RoutedRequest, worker: WorkerView, evacuated: readonly string[]): boolean {
    if (worker.service !== service.name || worker.draining || evacuated.includes(worker.zone)) return false;
    const regions = route.regions ?? [];
    return regions.length === 0 || regions.includes(this.#dependencies.region(worker.zone));
  }

  /** Why an eligible worker cannot take a request now; undefined if it can. */
  #unavailableReason(
    { clientRequest, excludedWorkers }: RoutedRequest,
    worker: WorkerView,
    maxInFlight: number,
    nowMs: number,
  ): NoWorkerReason | undefined {
    if (!this.hasModel(worker, clientRequest.model, clientRequest.adapter)) return 'model-not-loaded';
    const { backoffUntilMs, inFlight } = this.#statuses.status(worker.id);
    if (excludedWorkers.has(worker.id) || nowMs < backoffUntilMs) return 'backed-off';
    const limit = Math.min(maxInFlight, Math.max(BALANCER_POLICY.minInFlight, worker.slots));
    return inFlight >= limit ? 'full' : undefined;
  }

  /** Whether this edge is among those that may send to a worker. */
  #isAllowedByShare({ id, sharePercent }: WorkerView): boolean {
    if (sharePercent >= ALL_EDGES_PERCENT) return true;
    return spread(`${id} ${this.#dependencies.salt}`) % ALL_EDGES_PERCENT < sharePercent;
  }

  /** Requests that this edge may have in flight at one worker, by its part of the worker's connections. */
  #maxInFlight(connections: number): number {
    if (connections <= 0) return Infinity;
    const { connectionRatio, minInFlight } = BALANCER_POLICY;
    const share = (connections * connectionRatio) / Math.max(1, this.#dependencies.edges());
    return Math.max(minInFlight, Math.floor(share));
  }
}
