/** The models and adapters that workers hold, and the memory that they use. */
import type { Engine } from './engine.js';

/** Adapters by model. */
export type Holdings = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns a mutable copy of holdings.
 * @example
 * copyOf(report.holdings).delete('model-1');
 */
export function copyOf(holdings: Holdings): Map<string, Set<string>> {
  return new Map([...holdings].map(([model, adapters]) => [model, new Set(adapters)]));
}

/**
 * The memory that a model uses with its adapters, in MB; a model that is not configured counts as all of a
 * worker's memory.
 * @example
 * modelMb(engine, 'model-1', 2); // its weights and two adapters
 */
export function modelMb(engine: Engine, model: string, adapters: number): number {
  const known = engine.models.get(model);
  return known === undefined ? engine.roomMb : known.sizeMb + adapters * known.adapterMb;
}

/**
 * The memory that holdings use, in MB.
 * @example
 * usedMb(engine, state.planned) <= engine.roomMb;
 */
export function usedMb(engine: Engine, holdings: Holdings): number {
  let sumMb = 0;
  for (const [model, adapters] of holdings) sumMb += modelMb(engine, model, adapters.size);
  return sumMb;
}

/**
 * The number of adapters of all models together.
 * @example
 * adapterCount(state.planned) < engine.adapterPlaces;
 */
export function adapterCount(holdings: Holdings): number {
  let count = 0;
  for (const adapters of holdings.values()) count += adapters.size;
  return count;
}

/**
 * Whether two holdings have the same models with the same adapters.
 * @example
 * sameHoldings(state.holdings, report.holdings);
 */
export function sameHoldings(one: Holdings, other: Holdings): boolean {
  if (one.size !== other.size) return false;
  return [...one].every(([model, adapters]) => {
    const others = other.get(model);
    return others?.size === adapters.size && [...adapters].every((adapter) => others.has(adapter));
  });
}
