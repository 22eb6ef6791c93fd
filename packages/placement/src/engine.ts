/** The configured properties of the workers of a service and of the models that they load. */

/** The size and the load time of a model. */
export interface EngineModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapterMb: number;
}

/** The capacity of each worker of one service, and the models that the service can load. */
export interface Engine {
  readonly service: string;
  readonly slots: number;
  readonly roomMb: number;
  readonly adapterPlaces: number;
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, EngineModel>;
}

/**
 * How many concurrent loads from the store run at full speed; each further one slows down all of them.
 * @example
 * maxConcurrentLoads({ ...engine, loadsPerS: 6, models: new Map([['m', { ...model, loadMs: 600 }]]) }); // 4
 */
export function maxConcurrentLoads(engine: Engine): number {
  let shortestMs = Infinity;
  for (const { loadMs } of engine.models.values()) shortestMs = Math.min(shortestMs, loadMs);
  return Number.isFinite(shortestMs) ? Math.max(1, Math.round((engine.loadsPerS * shortestMs) / 1000)) : 1;
}
