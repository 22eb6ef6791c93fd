/** What a configuration says of the workers of a service and of the models that they load. */

/** What a model weighs and how long it takes to load. */
export interface EngineModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapterMb: number;
}

/** The engines of one service. */
export interface Engine {
  readonly service: string;
  readonly slots: number;
  readonly roomMb: number;
  readonly adapterPlaces: number;
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, EngineModel>;
}

/**
 * So many loads from the store at once run at full speed; each one beyond makes all of them slower.
 * @example
 * loadsAtOnce({ ...engine, loadsPerS: 6, models: new Map([['m', { ...model, loadMs: 600 }]]) }); // 4
 */
export function maxConcurrentLoads(engine: Engine): number {
  let shortestMs = Infinity;
  for (const { loadMs } of engine.models.values()) shortestMs = Math.min(shortestMs, loadMs);
  return Number.isFinite(shortestMs) ? Math.max(1, Math.round((engine.loadsPerS * shortestMs) / 1000)) : 1;
}
