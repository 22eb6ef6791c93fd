/** Chooses a worker for a request at an edge of the platform system. */
import { spread } from '@rainrun/common';
import type { NoWorkerReason, RoutedRequest, WorkerView } from './request.js';
import { BALANCER_POLICY } from './routing-policy.js';
import { rankWorkers } from './worker-ranking.js';
import { WorkerStatusTable, type WorkerStatusDependencies } from './worker-status.js';

/** What the balancer needs from its edge. */
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
 * Chooses the worker for a request: of those that have its model loaded and have capacity, the one least
 * loaded by this edge. Prompts with a long shared prefix go to the workers that should have it cached, the
 * same ones at every edge.
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

  /** The status of each worker, as observed by this edge. */
  get statuses(): WorkerStatusTable {
    return this.#statuses;
  }

  /** The worker for a request, or why none can take it now. Consumes a warm-up token of the chosen worker. */
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
    // A worker ejected as an outlier fails some of its requests, but is better than none.
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

  /** Whether a worker has a model and its adapter loaded, according to its row and its 421 responses. */
  hasModel(worker: WorkerView, model: string, adapter: string): boolean {
    if (model === '' || worker.models.size === 0) return model === '';
    const adapters = worker.models.get(model);
    if (adapters === undefined || (adapter !== '' && !adapters.has(adapter))) return false;
    return !this.#statuses.lacksModel(worker, model, adapter);
  }

  /** Whether a worker may get requests of this service and route, regardless of its current state. */
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

  /** Whether this edge is in the share of edges that may send to a worker. */
  #isAllowedByShare({ id, sharePercent }: WorkerView): boolean {
    if (sharePercent >= ALL_EDGES_PERCENT) return true;
    return spread(`${id} ${this.#dependencies.salt}`) % ALL_EDGES_PERCENT < sharePercent;
  }

  /** Most requests that this edge may have in flight at one worker: its share of the worker's connections. */
  #maxInFlight(connections: number): number {
    if (connections <= 0) return Infinity;
    const { connectionRatio, minInFlight } = BALANCER_POLICY;
    const share = (connections * connectionRatio) / Math.max(1, this.#dependencies.edges());
    return Math.max(minInFlight, Math.floor(share));
  }
}
