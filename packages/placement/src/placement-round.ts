import type { CopyTarget } from './copy-demand.js';
import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';
import { PLACEMENT_POLICY } from './policy.js';
import type { WorkerRecord } from './worker-table.js';

/** So long edges are given to learn that they may send no more for what is to go. */
export const SETTLE_MS = 15;
/** A copy stays in use so long once it is loaded. */
export const RESIDE_MS = 800;

/** What one plan of a service decides on. */
export interface PlacementRound {
  readonly engine: Engine;
  /** Workers that may be ordered. */
  readonly rows: readonly WorkerRecord[];
  readonly demands: ReadonlyMap<string, Demand>;
  readonly targets: ReadonlyMap<string, CopyTarget>;
  /** Workers that load from the store when the round begins. */
  readonly fetching: number;
  /** Copies of each model that stand or come; kept up to date with what the round decides. */
  readonly copies: Map<string, number>;
  /** For how long this coordinator has heard what is asked for of the service. */
  readonly watchedMs: number;
  readonly nowMs: number;
}

/** A copy that is wanted. */
export interface CopyNeed {
  readonly model: string;
  /** It takes the place of copies that are worth less. */
  readonly worth: number;
  /** The higher, the sooner it is loaded. */
  readonly urgency: number;
  /** Since when its model is asked for and stands nowhere; 0 for a further copy. */
  readonly ageMs: number;
  /** Requests that each present copy carries. */
  readonly load: number;
}

/**
 * Whether the demand for a model was watched for long enough to know how many copies it needs. At the start of
 * traffic, and under a new coordinator, few copies seem to be needed of any.
 * @example
 * isWatched(round, 'model-1');
 */
export function isWatched({ engine, watchedMs }: PlacementRound, model: string): boolean {
  return watchedMs >= PLACEMENT_POLICY.keeping.watchedLoads * (engine.models.get(model)?.loadMs ?? 0);
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
