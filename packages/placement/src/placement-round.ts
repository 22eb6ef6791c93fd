/** The input and state of one planning round of the platform system. */
import type { CopyTarget } from './copy-demand.js';
import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';
import { PLACEMENT_POLICY } from './policy.js';
import type { WorkerRecord } from './worker-table.js';

/** Time that edges get to learn that they may send no more to what is unloaded, in milliseconds. */
export const DRAIN_MS = 15;
/** A copy is not evicted within this time of its load, in milliseconds. */
export const MIN_RESIDENCE_MS = 800;

/** One planning round of a service. */
export interface PlacementRound {
  readonly engine: Engine;
  /** Workers that may get orders. */
  readonly rows: readonly WorkerRecord[];
  readonly demands: ReadonlyMap<string, Demand>;
  readonly targets: ReadonlyMap<string, CopyTarget>;
  /** Number of workers that load from the store when the round begins. */
  readonly loadingFromStore: number;
  /** Loaded and planned copies by model; updated with each decision of the round. */
  readonly copies: Map<string, number>;
  /** How long this coordinator has received demand for the service, in milliseconds. */
  readonly observedMs: number;
  readonly nowMs: number;
}

/** A copy that is needed. */
export interface CopyNeed {
  readonly model: string;
  /** Copies of a lower value may be evicted for it. */
  readonly value: number;
  /** The higher, the sooner it is loaded. */
  readonly urgency: number;
  /** How long the model has been requested without being loaded anywhere; 0 for a further copy. */
  readonly ageMs: number;
  /** Requests that each present copy carries; infinite for a first copy. */
  readonly loadPerCopy: number;
}

/**
 * Whether the demand for a model was observed long enough to tell how many copies it needs. When traffic
 * starts, and after a change of coordinator, the observed demand is too low.
 * @example
 * isObserved(round, 'model-1');
 */
export function isObserved({ engine, observedMs }: PlacementRound, model: string): boolean {
  return observedMs >= PLACEMENT_POLICY.eviction.observationLoads * (engine.models.get(model)?.loadMs ?? 0);
}

/**
 * Whether requests for a model are running or waiting.
 * @example
 * isActive(round, 'model-1');
 */
export function isActive({ demands }: PlacementRound, model: string): boolean {
  const demand = demands.get(model);
  return demand !== undefined && demand.inFlight + demand.waiting > 0;
}
