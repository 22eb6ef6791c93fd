import { SeededRandom } from '@rainrun/common';
import { formatRecordedCall, formatDayHeader, type RecordedCall } from './day.js';

/** Traffic of one request kind of one group: latency target, rate and prompts, with the share of the group. */
interface RequestKindShape {
  readonly group: string;
  readonly share: number;
  readonly kind: string;
  readonly targetMs: number;
  readonly patienceMs: number;
  /** Mean requests per second; arrivals are a Poisson process. */
  readonly perS: number;
  readonly stream: boolean;
  /** Length of each prompt, in characters. */
  readonly chars: number;
  /** Number of distinct prompt prefixes. */
  readonly prefixes: number;
}

/** Size, models and traffic of a deployment, from which example specs and days are generated. */
export interface Shape {
  readonly deployment: string;
  readonly edges: number;
  readonly cores: number;
  readonly zones: readonly string[];
  /** Number of workers that serve models. */
  readonly workers: number;
  /** Number of workers that serve lookups. */
  readonly lookups: number;
  readonly models: number;
  readonly adapters: number;
  /** Prefix of the names of models: `turbine` gives `turbine-1`. */
  readonly modelNamePrefix: string;
  /** Prefix of the names of adapters. */
  readonly adapterNamePrefix: string;
  readonly pool: string;
  readonly lookupPath: string;
  readonly lookupGroup: string;
  readonly lookupsPerS: number;
  readonly kinds: readonly RequestKindShape[];
}

const CHAT_PATH = '/v1/chat/completions';

/** Shapes of the known deployments, by name. */
export const SHAPES: Readonly<Record<string, Shape>> = {
  vejsargs: {
    deployment: 'vejsargs',
    edges: 9,
    cores: 3,
    zones: ['coast', 'ridge', 'harbour'],
    workers: 8,
    lookups: 3,
    models: 36,
    adapters: 40,
    modelNamePrefix: 'turbine',
    adapterNamePrefix: 'site',
    pool: 'specifications',
    lookupPath: '/v1/lookup/turbines',
    lookupGroup: 'dashboards',
    lookupsPerS: 30,
    kinds: [
      {
        group: 'technicians',
        share: 6,
        kind: 'question',
        targetMs: 800,
        patienceMs: 6000,
        perS: 8,
        stream: true,
        chars: 160,
        prefixes: 12,
      },
      {
        group: 'analysts',
        share: 3,
        kind: 'question',
        targetMs: 3000,
        patienceMs: 20_000,
        perS: 2,
        stream: true,
        chars: 400,
        prefixes: 20,
      },
      {
        group: 'overnight',
        share: 1,
        kind: 'history',
        targetMs: 20_000,
        patienceMs: 60_000,
        perS: 0.5,
        stream: false,
        chars: 6000,
        prefixes: 8,
      },
    ],
  },
  malabon: {
    deployment: 'malabon',
    edges: 8,
    cores: 3,
    zones: ['market', 'river', 'hill'],
    workers: 13,
    lookups: 3,
    models: 30,
    adapters: 55,
    modelNamePrefix: 'ticket',
    adapterNamePrefix: 'barangay',
    pool: 'seat-board',
    lookupPath: '/v1/lookup/seats',
    lookupGroup: 'seat-board',
    lookupsPerS: 45,
    kinds: [
      {
        group: 'buyers',
        share: 6,
        kind: 'seat-question',
        targetMs: 700,
        patienceMs: 5000,
        perS: 12,
        stream: true,
        chars: 140,
        prefixes: 16,
      },
      {
        group: 'barangay-offices',
        share: 2,
        kind: 'question',
        targetMs: 2000,
        patienceMs: 15_000,
        perS: 2,
        stream: true,
        chars: 300,
        prefixes: 12,
      },
      {
        group: 'resellers',
        share: 2,
        kind: 'listing-screen',
        targetMs: 1500,
        patienceMs: 10_000,
        perS: 3,
        stream: false,
        chars: 700,
        prefixes: 6,
      },
      {
        group: 'casework',
        share: 1,
        kind: 'refund-draft',
        targetMs: 10_000,
        patienceMs: 45_000,
        perS: 0.5,
        stream: true,
        chars: 3000,
        prefixes: 4,
      },
    ],
  },
  small: {
    deployment: 'small',
    edges: 5,
    cores: 3,
    zones: ['north', 'east', 'west'],
    workers: 4,
    lookups: 2,
    models: 8,
    adapters: 6,
    modelNamePrefix: 'model',
    adapterNamePrefix: 'adapter',
    pool: 'specifications',
    lookupPath: '/v1/lookup/turbines',
    lookupGroup: 'dashboards',
    lookupsPerS: 10,
    kinds: [
      {
        group: 'technicians',
        share: 3,
        kind: 'question',
        targetMs: 800,
        patienceMs: 6000,
        perS: 8,
        stream: true,
        chars: 160,
        prefixes: 4,
      },
      {
        group: 'analysts',
        share: 1,
        kind: 'question',
        targetMs: 3000,
        patienceMs: 20_000,
        perS: 3,
        stream: false,
        chars: 400,
        prefixes: 4,
      },
    ],
  },
};

/**
 * Generates the example spec of a deployment; the same shape always gives the same spec.
 * @example
 * exampleSpec(SHAPES['vejsargs']);
 */
export function exampleSpec(shape: Shape): Record<string, unknown> {
  const random = new SeededRandom(shape.models);
  const models = Array.from({ length: shape.models }, (_, index) => ({
    name: `${shape.modelNamePrefix}-${index + 1}`,
    sizeMb: 4000 + Math.floor(random.next() * 12) * 1000,
  }));
  const adapters = Array.from({ length: shape.adapters }, (_, index) => ({
    name: `${shape.adapterNamePrefix}-${index + 1}`,
    model: models[index % Math.ceil(shape.models / 2)]?.name ?? '',
    sizeMb: 50 + Math.floor(random.next() * 6) * 50,
  }));
  const groups = shape.kinds.map(({ group, share, kind, targetMs, patienceMs }) => ({
    name: group,
    share,
    kinds: [{ name: kind, targetMs, patienceMs }],
    models: ['*'],
  }));
  groups.push({
    name: shape.lookupGroup,
    share: 1,
    kinds: [{ name: 'lookup', targetMs: 250, patienceMs: 2000 }],
    models: ['*'],
  });
  return {
    deployment: shape.deployment,
    zones: shape.zones,
    store: { pullsPerMinute: 240, concurrentPulls: 4 },
    retries: { ratio: 0.2, allowance: 10 },
    workers: { roomMb: 80_000, slots: 8 },
    models,
    adapters,
    groups,
    routes: [
      { path: CHAT_PATH, serve: 'chat' },
      { path: shape.lookupPath, serve: 'lookup', pool: shape.pool },
    ],
  };
}

/** Draws an index below `count`; low indices are drawn far more often, as popular models are. */
function skewedIndex(random: SeededRandom, count: number): number {
  return Math.min(count - 1, Math.floor(count * random.next() ** 2.5));
}

/**
 * Generates a day of traffic of the deployment's request kinds; the same seed gives the same day.
 * @example
 * generateDay(SHAPES['malabon'], 60, 1).split('\n').length;
 */
export function generateDay(shape: Shape, seconds: number, seed: number): string {
  const random = new SeededRandom(seed);
  const spec = exampleSpec(shape) as { adapters: { name: string; model: string }[] };
  const calls: RecordedCall[] = [];
  for (const kind of shape.kinds) {
    for (let atMs = gapMs(random, kind.perS); atMs < seconds * 1000; atMs += gapMs(random, kind.perS)) {
      const model = `${shape.modelNamePrefix}-${1 + skewedIndex(random, shape.models)}`;
      const modelAdapters = spec.adapters.filter((adapter) => adapter.model === model);
      const adapter =
        modelAdapters.length > 0 && random.next() < 0.4
          ? (modelAdapters[skewedIndex(random, modelAdapters.length)]?.name ?? '')
          : '';
      const { group, kind: name, stream, chars, prefixes } = kind;
      calls.push({
        atMs: Math.round(atMs),
        group,
        kind: name,
        path: CHAT_PATH,
        model,
        adapter,
        stream,
        prefix: skewedIndex(random, prefixes),
        chars,
      });
    }
  }
  for (
    let atMs = gapMs(random, shape.lookupsPerS);
    atMs < seconds * 1000;
    atMs += gapMs(random, shape.lookupsPerS)
  ) {
    calls.push({
      atMs: Math.round(atMs),
      group: shape.lookupGroup,
      kind: 'lookup',
      path: shape.lookupPath,
      model: '',
      adapter: '',
      stream: false,
      prefix: 0,
      chars: 0,
    });
  }
  calls.sort((one, other) => one.atMs - other.atMs);
  return `${[formatDayHeader(shape.deployment), ...calls.map((call) => formatRecordedCall(call))].join('\n')}\n`;
}

/**
 * Generates an overload by one group: each of its request kinds arrives at `perS`, a rate far beyond the
 * share of the group, and almost nothing else does.
 * @example
 * generateOverload(SHAPES['vejsargs'], 'overnight', 60, 20, 1);
 */
export function generateOverload(
  shape: Shape,
  group: string,
  perS: number,
  seconds: number,
  seed: number,
): string {
  const kinds = shape.kinds.filter((kind) => kind.group === group).map((kind) => ({ ...kind, perS }));
  return generateDay({ ...shape, kinds, lookupsPerS: 0.001 }, seconds, seed);
}

/** Draws an exponentially distributed interval between arrivals, in milliseconds. */
function gapMs(random: SeededRandom, perS: number): number {
  return (-Math.log(1 - random.next()) / perS) * 1000;
}
