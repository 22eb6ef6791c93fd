/** What one planning round of the platform system works on. */
import type { CopyTarget } from './copy-demand.js';
import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';
import { PLACEMENT_POLICY } from './policy.js';
import type { WorkerRecord } from './worker-table.js';

/** Time that edges get to learn that they may send no more to what is unloaded, in milliseconds. */
export const DRAIN_MS = 15;
/** A copy is not evicted within this time of its load, in milliseconds. */
export const MIN_RESIDENCE_MS = 800;

/** What one plan of a service decides on. */
export interface PlacementRound {
  readonly engine: Engine;
  /** Workers that may be ordered. */
  readonly rows: readonly WorkerRecord[];
  readonly demands: ReadonlyMap<string, Demand>;
  readonly targets: ReadonlyMap<string, CopyTarget>;
  /** Workers that load from the store when the round begins. */
  readonly loadingFromStore: number;
  /** Copies of each model that stand or come; kept up to date with what the round decides. */
  readonly copies: Map<string, number>;
  /** For how long this coordinator has received demand for the service, in milliseconds. */
  readonly observedMs: number;
  readonly nowMs: number;
}

/** A copy that is wanted. */
export interface CopyNeed {
  readonly model: string;
  /** It evicts copies of a lower value. */
  readonly value: number;
  /** The higher, the sooner it is loaded. */
  readonly urgency: number;
  /** Since when its model is asked for and stands nowhere; 0 for a further copy. */
  readonly ageMs: number;
  /** Requests that each present copy carries. */
  readonly loadPerCopy: number;
}

/**
 * Whether the demand for a model was watched for long enough to know how many copies it needs. At the start of
 * traffic, and under a new coordinator, few copies seem to be needed of any.
 * @example
 * isObserved(round, 'model-1');
 */
export function isObserved({ engine, observedMs }: PlacementRound, model: string): boolean {
  return observedMs >= PLACEMENT_POLICY.eviction.observationLoads * (engine.models.get(model)?.loadMs ?? 0);
}

/**
 * Whether a model is in use or waited for.
 * @example
 * isActive(round, 'model-1');
 */
export function isActive({ demands }: PlacementRound, model: string): boolean {
  const demand = demands.get(model);
  return demand !== undefined && demand.inFlight + demand.waiting > 0;
}
