import { createHash } from 'node:crypto';
import { fault, type Fault, type FaultKind } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';

const Count = v.pipe(v.number(), v.minValue(0));
const Word = v.pipe(v.string(), v.minLength(1));

const ModelSchema = v.looseObject({
  name: Word,
  sizeMb: Count,
  loadS: v.optional(Count, 1),
  adapters: v.optional(Count, 0),
  adapterMb: v.optional(Count, 0),
});

const EngineSchema = v.looseObject({
  slots: v.optional(Count, 1),
  kvTokens: v.optional(Count, 0),
  models: v.optional(v.array(ModelSchema), []),
  roomMb: v.optional(Count, 0),
  adapterPlaces: v.optional(Count, 0),
  loadsPerS: v.optional(Count, 0),
});

const ServiceSchema = v.looseObject({
  name: Word,
  healthPath: v.optional(v.string(), '/health'),
  connections: v.optional(Count, 0),
  warmupS: v.optional(Count, 0),
  warmupPerS: v.optional(Count, 0),
  engine: v.optional(v.nullable(EngineSchema)),
});

const RouteSchema = v.looseObject({
  name: Word,
  host: Word,
  prefix: v.pipe(v.string(), v.startsWith('/')),
  service: v.optional(v.nullable(v.string())),
  split: v.optional(v.nullable(v.array(v.looseObject({ service: Word, weight: Count })))),
  kind: v.optional(v.picklist(['idempotent', 'non_idempotent', 'streaming']), 'non_idempotent'),
  timeoutMs: v.pipe(v.number(), v.gtValue(0, 'a time-out above 0')),
  targetMs: v.optional(Count, 1000),
  gapMs: v.optional(Count, 0),
  attempts: v.optional(Count, 1),
  priority: v.optional(Count, 5),
  regions: v.optional(v.nullable(v.array(v.string()))),
  affinity: v.optional(v.boolean(), false),
  resumable: v.optional(v.boolean(), false),
});

const LimitsSchema = v.looseObject({
  headerBytes: v.optional(Count, 16_384),
  bodyBytes: v.optional(Count, 4_194_304),
  headerMs: v.optional(Count, 3000),
  idleMs: v.optional(Count, 15_000),
});

const ConfigurationSchema = v.looseObject({
  revision: v.pipe(v.number(), v.integer(), v.minValue(1)),
  routes: v.array(RouteSchema),
  services: v.array(ServiceSchema),
  limits: v.optional(v.nullable(LimitsSchema)),
});

/** A checked configuration of routes and services. Fields that are not known are kept. */
export type Configuration = v.InferOutput<typeof ConfigurationSchema>;
export type RouteEntry = Configuration['routes'][number];
export type ServiceEntry = Configuration['services'][number];
export type EngineEntry = v.InferOutput<typeof EngineSchema>;
export type ModelEntry = v.InferOutput<typeof ModelSchema>;
export type Limits = v.InferOutput<typeof LimitsSchema>;

/** The limits where a configuration names none. */
export const USUAL_LIMITS: Limits = v.parse(LimitsSchema, {});

function placeFaults(configuration: Configuration): string[] {
  const services = new Set(configuration.services.map((service) => service.name));
  const places = new Set<string>();
  const names = new Set<string>();
  const faults: string[] = [];
  for (const [at, route] of configuration.routes.entries()) {
    const path = `routes.${at} (${route.name})`;
    const place = `${route.host.toLowerCase()} ${route.prefix}`;
    if (places.has(place)) faults.push(`${path}: host and prefix "${place}" stand here a second time`);
    if (names.has(route.name)) faults.push(`${path}: the name stands here a second time`);
    places.add(place);
    names.add(route.name);
    const split = route.split ?? [];
    const targets = split.length > 0 ? split.map((part) => part.service) : [route.service ?? ''];
    for (const target of targets)
      if (!services.has(target)) faults.push(`${path}: unknown service "${target}"`);
    if (split.length > 0 && split.reduce((sum, part) => sum + part.weight, 0) <= 0)
      faults.push(`${path}: the weights sum to 0`);
    if (split.length === 0 && route.split !== undefined && route.split !== null)
      faults.push(`${path}: a split without parts`);
  }
  if (services.size !== configuration.services.length)
    faults.push('services: a name stands here a second time');
  return faults;
}

/**
 * Checks a configuration whole; a fault names each place and what is wrong there.
 * @example
 * checkConfiguration({ revision: 1, routes: [], services: [] }).isOk; // true
 */
export function checkConfiguration(data: unknown): Result<Configuration, Fault> {
  const parsed = v.safeParse(ConfigurationSchema, data);
  if (!parsed.success) {
    const faults = parsed.issues
      .slice(0, 8)
      .map((issue) => `${v.getDotPath(issue) ?? 'configuration'}: ${issue.message}`);
    return Result.err(fault('bad-spec', faults.join('\n')));
  }
  const faults = placeFaults(parsed.output);
  return faults.length > 0
    ? Result.err(fault('bad-spec', faults.slice(0, 8).join('\n')))
    : Result.ok(parsed.output);
}

/** A change that was taken, so that the same call is answered alike when it comes again. */
interface Taken {
  readonly revision: number;
  readonly digest: string;
}

/** The agreed state of a deployment that is configured by routes and services. */
export interface Deployment {
  /** Grows by one with each operation that changed something. */
  readonly edition: number;
  /** The document as it was sent, in our terms; undefined before the first. */
  readonly document: Readonly<Record<string, unknown>> | undefined;
  readonly revision: number;
  readonly evacuated: readonly string[];
  /** In which edition each zone was last evacuated or taken back. */
  readonly zones: Readonly<Record<string, number>>;
  readonly taken: readonly Taken[];
}

/** The state before anything was agreed. */
export const EMPTY_DEPLOYMENT: Deployment = {
  edition: 0,
  document: undefined,
  revision: 0,
  evacuated: [],
  zones: {},
  taken: [],
};

const TAKEN_KEPT = 256;

const StoredSchema = v.object({
  edition: v.number(),
  document: v.optional(v.record(v.string(), v.unknown())),
  revision: v.number(),
  evacuated: v.array(v.string()),
  zones: v.optional(v.record(v.string(), v.number()), {}),
  taken: v.array(v.object({ revision: v.number(), digest: v.string() })),
});

const PutSchema = v.object({ base: v.optional(v.number()), document: v.record(v.string(), v.unknown()) });
const ItemsSchema = v.record(v.string(), v.unknown());
const PatchSchema = v.object({
  base: v.optional(v.number()),
  patch: v.object({
    revision: v.pipe(v.number(), v.integer()),
    set: v.optional(v.nullable(ItemsSchema), {}),
    drop: v.optional(v.nullable(v.record(v.string(), v.array(v.string()))), {}),
  }),
});
/** `seen` is the edition that the caller's node held: a call that was held up does not undo a later one. */
const ZoneSchema = v.object({
  zone: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  seen: v.optional(v.number()),
});

interface Applied {
  readonly state: Deployment;
  readonly outcome: { readonly kind: 'agreed' | FaultKind; readonly detail: string };
}

function refuse(state: Deployment, kind: FaultKind, detail: string): Applied {
  return { state, outcome: { kind, detail } };
}

function nameOf(item: unknown): unknown {
  return typeof item === 'object' && item !== null ? (item as Record<string, unknown>)['name'] : undefined;
}

/** Lists are changed item by item, by name; anything else is replaced. */
function patched(
  document: Readonly<Record<string, unknown>>,
  set: Readonly<Record<string, unknown>>,
  drop: Readonly<Record<string, readonly string[]>>,
): Record<string, unknown> {
  const next: Record<string, unknown> = { ...document };
  for (const [key, names] of Object.entries(drop)) {
    const list = next[key];
    if (Array.isArray(list)) next[key] = list.filter((item) => !names.includes(String(nameOf(item))));
  }
  for (const [key, value] of Object.entries(set)) {
    const list = next[key];
    if (!Array.isArray(value)) {
      next[key] = value;
      continue;
    }
    const items: unknown[] = Array.isArray(list) ? [...(list as unknown[])] : [];
    for (const item of value as unknown[]) {
      const at = items.findIndex((known) => nameOf(known) === nameOf(item));
      if (at < 0) items.push(item);
      else items[at] = item;
    }
    next[key] = items;
  }
  return next;
}

function adopt(
  state: Deployment,
  base: number | undefined,
  revision: number,
  digest: string,
  next: () => Record<string, unknown>,
): Applied {
  if (state.taken.some((taken) => taken.revision === revision && taken.digest === digest)) {
    return { state, outcome: { kind: 'agreed', detail: `revision ${revision} was taken before` } };
  }
  if (base !== undefined && base !== state.revision)
    return refuse(state, 'conflict', `revision ${state.revision} is in force, not ${base}`);
  const document = next();
  const checked = checkConfiguration(document);
  if (checked.isErr) return refuse(state, checked.error.kind, checked.error.detail);
  if (revision <= state.revision)
    return refuse(state, 'bad-spec', `revision: found ${revision}, expected one above ${state.revision}`);
  const taken = [...state.taken, { revision, digest }].slice(-TAKEN_KEPT);
  return {
    state: { ...state, edition: state.edition + 1, document, revision, taken },
    outcome: { kind: 'agreed', detail: `revision ${revision}` },
  };
}

function setZone(state: Deployment, zone: string, seen: number | undefined, evacuate: boolean): Applied {
  const agreed = { kind: 'agreed', detail: `zone ${zone} ${evacuate ? 'evacuated' : 'taken back'}` } as const;
  if (state.evacuated.includes(zone) === evacuate) return { state, outcome: agreed };
  if (seen !== undefined && (state.zones[zone] ?? 0) > seen) {
    return refuse(
      state,
      'operation-unknown',
      `zone ${zone} was changed in edition ${state.zones[zone] ?? 0}, after edition ${seen}; send it again if it is still meant`,
    );
  }
  const others = state.evacuated.filter((known) => known !== zone);
  const edition = state.edition + 1;
  return {
    state: {
      ...state,
      edition,
      zones: { ...state.zones, [zone]: edition },
      evacuated: evacuate ? [...others, zone].sort() : others,
    },
    outcome: agreed,
  };
}

function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('base64').slice(0, 16);
}

/**
 * Applies one operation to the deployment's state: a pure function, the same on every node.
 * @example
 * applyToDeployment(EMPTY_DEPLOYMENT, { kind: 'zone.evacuate', payload: '{"zone":"north"}' }).state.evacuated; // ['north']
 */
export function applyToDeployment(
  state: Deployment,
  operation: { readonly kind: string; readonly payload: string },
): Applied {
  const { kind, payload } = operation;
  const data = tryOrElse(
    (thrown) => String(thrown),
    () => JSON.parse(payload) as unknown,
  );
  if (data.isErr) return refuse(state, 'bad-request', data.error);
  if (kind === 'configuration.put') {
    const put = v.safeParse(PutSchema, data.value);
    if (!put.success) return refuse(state, 'bad-spec', put.issues[0].message);
    const { base, document } = put.output;
    const revision = typeof document['revision'] === 'number' ? document['revision'] : 0;
    return adopt(state, base, revision, digestOf(`put ${JSON.stringify(document)}`), () => document);
  }
  if (kind === 'configuration.patch') {
    const call = v.safeParse(PatchSchema, data.value);
    if (!call.success) return refuse(state, 'bad-spec', call.issues[0].message);
    const { base, patch } = call.output;
    return adopt(state, base, patch.revision, digestOf(`patch ${JSON.stringify(patch)}`), () => ({
      ...patched(state.document ?? {}, patch.set ?? {}, patch.drop ?? {}),
      revision: patch.revision,
    }));
  }
  const zone = v.safeParse(ZoneSchema, data.value);
  if (zone.success && kind === 'zone.evacuate')
    return setZone(state, zone.output.zone, zone.output.seen, true);
  if (zone.success && kind === 'zone.return')
    return setZone(state, zone.output.zone, zone.output.seen, false);
  return refuse(state, 'bad-request', `no operation "${kind}" with this payload`);
}

/**
 * The state as bytes, for disks, joiners and followers.
 * @example
 * decodeDeployment(encodeDeployment(EMPTY_DEPLOYMENT)).isOk; // true
 */
export function encodeDeployment(state: Deployment): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(state));
}

/**
 * Bytes as a state, or why not.
 * @example
 * decodeDeployment(new Uint8Array([123])).isErr; // true
 */
export function decodeDeployment(bytes: Uint8Array): Result<Deployment, Fault> {
  return tryOrElse(
    (thrown) => fault('damaged', `the deployment's state: ${String(thrown)}`),
    () => JSON.parse(new TextDecoder().decode(bytes)) as unknown,
  ).andThen((data) => {
    const parsed = v.safeParse(StoredSchema, data);
    if (!parsed.success)
      return Result.err<Deployment, Fault>(
        fault('damaged', `the deployment's state: ${parsed.issues[0].message}`),
      );
    const { document, ...rest } = parsed.output;
    return Result.ok<Deployment, Fault>({ ...rest, document });
  });
}
