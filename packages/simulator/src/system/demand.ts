/** The simulated demand for models and adapters, and whether edges know a worker for it. */
import { create } from '@bufbuild/protobuf';
import type { EdgeReplica } from '@rainrun/cluster-node';
import { ModelDemandSchema, type ModelDemand } from '@rainrun/messages';
import type { Machine } from './machine.js';
import { SERVICE, type WorkerPool } from './workers.js';

/** Demand for one model or adapter at every edge. */
export interface Need {
  readonly model: string;
  /** Empty for the model itself. */
  readonly adapter: string;
  readonly count: number;
}

/**
 * The current demand, the same at all edges.
 * @example
 * demand.needs = [{ model: 'm0', adapter: '', count: 2 }];
 */
export class Demand {
  needs: readonly Need[] = [];
  #workers: WorkerPool;

  constructor(workers: WorkerPool) {
    this.#workers = workers;
  }

  /** Returns the demand that an edge reports to the coordinator. */
  demandsOf(follower: EdgeReplica): ModelDemand[] {
    return this.needs.map(({ model, adapter, count }) => {
      const known = knowsHolder(follower, model, adapter);
      return create(ModelDemandSchema, {
        service: SERVICE,
        model,
        adapter,
        waiting: known ? 0 : count,
        inFlight: known ? count : 0,
        perS: count,
      });
    });
  }

  /** Whether an edge knows no worker for some model or adapter in demand. */
  isUnserved(follower: EdgeReplica): boolean {
    return this.needs.some(({ model, adapter }) => !knowsHolder(follower, model, adapter));
  }

  /** Whether an edge knows a worker that holds a model, and that worker does hold it. */
  isServed(edge: Machine, { model, adapter }: Need): boolean {
    const { follower } = edge.running ?? {};
    if (follower === undefined) return false;
    for (const known of follower.workers.values()) {
      const worker = this.#workers.workerAt(known.address);
      const believed = known.models.get(model);
      const held = worker?.id === known.id ? worker.models.get(model) : undefined;
      if (known.draining || believed === undefined || held === undefined) continue;
      if (adapter === '' || (believed.has(adapter) && held.has(adapter))) return true;
    }
    return false;
  }
}

function knowsHolder(follower: EdgeReplica, model: string, adapter: string): boolean {
  for (const worker of follower.workers.values()) {
    const adapters = worker.models.get(model);
    if (worker.draining || follower.state.evacuated.includes(worker.zone) || adapters === undefined) continue;
    if (adapter === '' || adapters.has(adapter)) return true;
  }
  return false;
}
