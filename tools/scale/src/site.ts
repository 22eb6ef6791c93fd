/** Size of the fleet under test. */
export interface Size {
  /** Number of edges, including the real one but not the cores. */
  readonly nodes: number;
  /** Number of workers; each has one row in the table. */
  readonly rows: number;
  readonly models: number;
  readonly adapters: number;
  readonly routes: number;
  /** Number of model and adapter pairs that each edge demands at the same time. */
  readonly asked: number;
}

/** Worker entry in the stand-in's list. */
export interface WorkerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly leaving: boolean;
  readonly coldMs: number;
  readonly models: readonly (readonly [model: string, adapters: readonly string[]])[];
}

/** Name of the only service of the synthetic site. */
export const SERVICE = 'findings-llm';
/** Host name of the service's routes. */
export const HOST = 'findings.example';
/** Number of requests that a worker processes concurrently. */
export const SLOTS = 24;
/** Models that a worker has loaded when it is first listed, and loaded adapters of each of them. */
const MODELS_PER_WORKER = 2;
const ADAPTERS_PER_MODEL = 2;
const REGIONS = 6;
const ZONES = 23;
/** Addresses on which the stand-in answers for the workers. */
export const ADDRESSES = 64;
const FIRST_REVISION = 1;

/** Zone of the worker with the given table index. */
export function zoneOf(index: number): string {
  return `zone-${String(index % ZONES).padStart(2, '0')}`;
}

/** Region that contains a zone. */
export function regionOf(zone: string): string {
  return `region-${Number(zone.slice(-2)) % REGIONS}`;
}

/** Map of every zone to its region. */
export function regions(): Record<string, string> {
  return Object.fromEntries(
    Array.from({ length: ZONES }, (_, index) => [zoneOf(index), regionOf(zoneOf(index))]),
  );
}

/** Name of the model with the given catalogue index. */
export function modelName(index: number): string {
  return `model-${String(index).padStart(3, '0')}`;
}

/** Name of the adapter with the given catalogue index. */
export function adapterName(index: number): string {
  return `adapter-${String(index).padStart(4, '0')}`;
}

/** Number of models that are loaded from the beginning: half of them; the others are loaded on demand. */
export function initialModelCount({ models, rows }: Size): number {
  return Math.max(1, Math.min(Math.floor(models / 2), rows));
}

/** Index of the model that an adapter belongs to; adapters are spread evenly over the models. */
export function modelOfAdapter(index: number, { models }: Size): number {
  return index % models;
}

/**
 * Creates the worker entry with the given table index.
 * @example
 * worker(0, size, 9100).zone; // 'zone-00'
 */
export function worker(index: number, size: Size, port: number): WorkerEntry {
  const initialModels = initialModelCount(size);
  const perModel = Math.max(1, Math.floor(size.adapters / size.models));
  const models = Array.from({ length: MODELS_PER_WORKER }, (_, nth) => {
    const model = (index * MODELS_PER_WORKER + nth) % initialModels;
    const adapters = Array.from({ length: ADAPTERS_PER_MODEL }, (__, turn) =>
      adapterName(model + size.models * ((index + turn) % Math.max(1, Math.floor(perModel / 2)))),
    );
    return [modelName(model), [...new Set(adapters)]] as const;
  });
  return {
    id: `${SERVICE}-${String(index).padStart(5, '0')}-incarnation-1`,
    service: SERVICE,
    address: `127.77.2.${1 + (index % ADDRESSES)}:${port}`,
    zone: zoneOf(index),
    slots: SLOTS,
    leaving: false,
    coldMs: 0,
    models: [...new Map(models)],
  };
}

/** One route of the configuration; `turn` makes its value differ from earlier versions. */
export function route(index: number, turn: number): Record<string, unknown> {
  return {
    name: `route-${index}`,
    host: HOST,
    prefix: `/tenant-${index}/ask`,
    service: SERVICE,
    kind: 'streaming',
    timeoutMs: 5000 + turn,
    targetMs: 500,
    gapMs: 600,
    priority: 3,
    regions: ['region-0', 'region-1'],
    affinity: true,
  };
}

/**
 * Configuration of a site: its routes, and one service with an engine and models.
 * @example
 * configuration(size)['revision']; // 1
 */
export function configuration(size: Size): Record<string, unknown> {
  const perModel = Math.floor(size.adapters / size.models);
  return {
    revision: FIRST_REVISION,
    routes: Array.from({ length: size.routes }, (_, index) => route(index, 0)),
    services: [
      {
        name: SERVICE,
        connections: 640,
        warmupS: 0,
        engine: {
          slots: SLOTS,
          roomMb: 220_000,
          adapterPlaces: 8,
          loadsPerS: 40,
          models: Array.from({ length: size.models }, (_, index) => ({
            name: modelName(index),
            sizeMb: 70_000,
            loadS: 0.6,
            adapters: perModel,
            adapterMb: 300,
          })),
        },
      },
    ],
  };
}
