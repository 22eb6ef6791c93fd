/** The size of a fleet that is played. */
export interface Size {
  /** Edges, the real one among them; the cores come on top. */
  readonly nodes: number;
  /** Workers, a row of the table each. */
  readonly rows: number;
  readonly models: number;
  readonly adapters: number;
  readonly routes: number;
  /** Pairs of model and adapter that each edge asks for at the same time. */
  readonly asked: number;
}

/** A worker as the stand-in lists it. */
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

/** The one service of the made-up site. */
export const SERVICE = 'findings-llm';
/** The host under which the service is called. */
export const HOST = 'findings.example';
/** Requests that a worker takes at once. */
export const SLOTS = 24;
/** Models that a worker holds when it is first listed, and adapters of each of them. */
const MODELS_PER_WORKER = 2;
const ADAPTERS_PER_MODEL = 2;
const REGIONS = 6;
const ZONES = 23;
/** Addresses on which the stand-in answers for the workers. */
export const ADDRESSES = 64;
const FIRST_REVISION = 1;

/** The zone of the worker at a place of the table. */
export function zoneOf(index: number): string {
  return `zone-${String(index % ZONES).padStart(2, '0')}`;
}

/** The region that a zone lies in. */
export function regionOf(zone: string): string {
  return `region-${Number(zone.slice(-2)) % REGIONS}`;
}

/** Zone by zone, the region it lies in. */
export function regions(): Record<string, string> {
  return Object.fromEntries(
    Array.from({ length: ZONES }, (_, index) => [zoneOf(index), regionOf(zoneOf(index))]),
  );
}

/** The name of the model at a place of the catalogue. */
export function modelName(index: number): string {
  return `model-${String(index).padStart(3, '0')}`;
}

/** The name of the adapter at a place of the catalogue. */
export function adapterName(index: number): string {
  return `adapter-${String(index).padStart(4, '0')}`;
}

/** Half of the models stand somewhere from the beginning; the others are idle until they are asked for. */
export function initialModelCount({ models, rows }: Size): number {
  return Math.max(1, Math.min(Math.floor(models / 2), rows));
}

/** Adapter `nth` belongs to the model that this names: spread evenly. */
export function modelOfAdapter(index: number, { models }: Size): number {
  return index % models;
}

/**
 * The worker at a place of the table.
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

/** One route of the document; `turn` makes it differ from what it was. */
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
 * The configuration of a site: routes, one service of engines, its models.
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
