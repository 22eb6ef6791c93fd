/**
 * Directory of the workers on a node of the spec family: joins the platform's list, workers' replies and
 * edges' loads.
 */
import type { Observation, WorkerList, WorkerState } from '@rainrun/messages';
import type { HoldingTarget, Spec, SpecState } from '@rainrun/configuration';

/** A worker as this node knows it. */
export interface DirectoryWorker {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly kind: string;
  readonly pool: string;
  readonly draining: boolean;
  readonly evacuated: boolean;
  readonly reachable: boolean;
  readonly roomMb: number;
  readonly slots: number;
  readonly holdings: readonly HoldingTarget[];
  /** When this node first knew each holding, by model and by model/adapter. */
  readonly sinceMs: ReadonlyMap<string, number>;
  /** Requests in flight from other edges, by their last observations. */
  readonly othersInFlight: number;
}

interface EdgeLoad {
  readonly atMs: number;
  readonly inFlight: ReadonlyMap<string, number>;
}

const LOAD_EXPIRY_MS = 5000;

/**
 * Joins the workers that the platform lists, the holdings that workers reported and the requests that other
 * edges have in flight, for the data plane and for placement.
 * @example
 * directory.setList(list);
 * directory.workers(state, 'incarnation-1', nowMs); // every listed worker
 */
export class WorkerDirectory {
  #list: WorkerList | undefined;
  #states = new Map<string, WorkerState>();
  #sinceMs = new Map<string, Map<string, number>>();
  #loadNumbers = new Map<string, number>();
  #loads = new Map<string, EdgeLoad>();

  get generation(): number {
    return this.#list?.generation ?? 0;
  }

  /** Replaces the list of workers by the platform's newest one. */
  setList(list: WorkerList): void {
    this.#list = list;
  }

  /**
   * Records the state that a worker reported. A holding that was loaded again, or whose worker was not
   * reachable before, counts as known since now.
   */
  recordState(state: WorkerState, nowMs: number): void {
    const previousSinceMs = this.#sinceMs.get(state.worker) ?? new Map<string, number>();
    const wasUnreachable = !(this.#states.get(state.worker)?.reachable ?? false);
    const sinceMs = new Map<string, number>();
    for (const { model, adapters, loadNumber: load } of state.holdings) {
      const copyKey = `${state.worker}/${model}`;
      const isNewLoad = wasUnreachable || load > (this.#loadNumbers.get(copyKey) ?? 0);
      this.#loadNumbers.set(copyKey, Math.max(load, this.#loadNumbers.get(copyKey) ?? 0));
      for (const key of [model, ...adapters.map((adapter) => `${model}/${adapter}`)]) {
        sinceMs.set(key, isNewLoad ? nowMs : (previousSinceMs.get(key) ?? nowMs));
      }
    }
    this.#states.set(state.worker, state);
    this.#sinceMs.set(state.worker, sinceMs);
  }

  /** Records the requests that an edge has in flight to each worker. */
  recordObservation(sender: string, observation: Observation, nowMs: number): void {
    const inFlight = new Map(observation.loads.map((load) => [load.worker, load.inFlight]));
    this.#loads.set(sender, { atMs: nowMs, inFlight });
  }

  /** Drops the observations of nodes that are no longer in the view. */
  retainOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#loads.keys())
      if (!incarnations.has(incarnation)) this.#loads.delete(incarnation);
  }

  /** Every listed worker, as the node of incarnation `self` sees it. */
  workers(state: SpecState, self: string, nowMs: number): DirectoryWorker[] {
    const spec = state.spec?.spec;
    return (this.#list?.workers ?? []).map((entry) => {
      const reported = this.#states.get(entry.name);
      const { roomMb, slots } = capacityOf(spec, entry.name);
      return {
        name: entry.name,
        address: entry.address,
        zone: entry.zone,
        kind: entry.kind,
        pool: entry.pool,
        draining: entry.draining,
        evacuated: state.evacuatedZones.includes(entry.zone),
        reachable: entry.kind === 'lookup' || (reported?.reachable ?? false),
        roomMb,
        slots,
        holdings: loadedAndPlaced(reported?.holdings ?? [], state.placement[entry.name] ?? []),
        sinceMs: this.#sinceMs.get(entry.name) ?? new Map<string, number>(),
        othersInFlight: this.#othersInFlight(entry.name, self, nowMs),
      };
    });
  }

  #othersInFlight(worker: string, self: string, nowMs: number): number {
    let sum = 0;
    for (const [incarnation, load] of this.#loads) {
      if (incarnation !== self && nowMs - load.atMs < LOAD_EXPIRY_MS) sum += load.inFlight.get(worker) ?? 0;
    }
    return sum;
  }
}

/**
 * The holdings that are both loaded and placed on a worker, as no request may go to one that is to be
 * unloaded.
 */
function loadedAndPlaced(
  loaded: readonly HoldingTarget[],
  placed: readonly HoldingTarget[],
): HoldingTarget[] {
  return loaded.flatMap(({ model, adapters }) => {
    const target = placed.find((holding) => holding.model === model);
    return target === undefined
      ? []
      : [{ model, adapters: adapters.filter((adapter) => target.adapters.includes(adapter)) }];
  });
}

function capacityOf(spec: Spec | undefined, name: string): { roomMb: number; slots: number } {
  if (spec === undefined) return { roomMb: 0, slots: 1 };
  return spec.workers.named.find((worker) => worker.name === name) ?? spec.workers;
}
