/** The configuration of a deployment by routes and services: its form, and how it is checked. */
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import * as v from 'valibot';
import { issueMessage } from './issue-text.js';

/** JSON reads 1e400 as endless and writes that as null, which has another meaning. */
const NonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const NonEmptyText = v.pipe(v.string(), v.minLength(1));

const ModelSchema = v.looseObject({
  name: NonEmptyText,
  sizeMb: NonNegative,
  loadS: v.optional(NonNegative, 1),
  adapters: v.optional(NonNegative, 0),
  adapterMb: v.optional(NonNegative, 0),
});

const EngineSchema = v.looseObject({
  slots: v.optional(NonNegative, 1),
  kvTokens: v.optional(NonNegative, 0),
  models: v.optional(v.array(ModelSchema), []),
  roomMb: v.optional(NonNegative, 0),
  adapterPlaces: v.optional(NonNegative, 0),
  loadsPerS: v.optional(NonNegative, 0),
});

const ServiceSchema = v.looseObject({
  name: NonEmptyText,
  healthPath: v.optional(v.string(), '/health'),
  connections: v.optional(NonNegative, 0),
  warmupS: v.optional(NonNegative, 0),
  warmupPerS: v.optional(NonNegative, 0),
  engine: v.optional(v.nullable(EngineSchema)),
});

const RouteSchema = v.looseObject({
  name: NonEmptyText,
  host: NonEmptyText,
  prefix: v.pipe(v.string(), v.startsWith('/')),
  service: v.optional(v.nullable(v.string())),
  split: v.optional(v.nullable(v.array(v.looseObject({ service: NonEmptyText, weight: NonNegative })))),
  kind: v.optional(v.picklist(['idempotent', 'non_idempotent', 'streaming']), 'non_idempotent'),
  timeoutMs: v.pipe(v.number(), v.finite(), v.gtValue(0, 'a time-out above 0')),
  targetMs: v.optional(NonNegative, 1000),
  gapMs: v.optional(NonNegative, 0),
  attempts: v.optional(NonNegative, 1),
  priority: v.optional(NonNegative, 5),
  regions: v.optional(v.nullable(v.array(v.string()))),
  affinity: v.optional(v.boolean(), false),
  resumable: v.optional(v.boolean(), false),
  public: v.optional(v.boolean(), false),
});

const TenantSchema = v.looseObject({
  name: NonEmptyText,
  apiKeys: v.optional(v.nullable(v.array(NonEmptyText)), []),
  ratePerS: v.optional(v.nullable(NonNegative), 0),
  burst: v.optional(v.nullable(NonNegative), 0),
  priority: v.optional(v.nullable(NonNegative)),
});

const LimitsSchema = v.looseObject({
  headerBytes: v.optional(NonNegative, 16_384),
  bodyBytes: v.optional(NonNegative, 4_194_304),
  headerMs: v.optional(NonNegative, 3000),
  idleMs: v.optional(NonNegative, 15_000),
});

const ConfigurationSchema = v.looseObject({
  revision: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  routes: v.array(RouteSchema),
  services: v.array(ServiceSchema),
  tenants: v.optional(v.nullable(v.array(TenantSchema))),
  limits: v.optional(v.nullable(LimitsSchema)),
});

/** The same, with routes, services and tenants left to be checked one by one. */
const OutlineSchema = v.looseObject({
  ...ConfigurationSchema.entries,
  routes: v.array(v.unknown()),
  services: v.array(v.unknown()),
  tenants: v.optional(v.nullable(v.array(v.unknown()))),
});

/** A checked configuration of routes and services. Fields that are not known are kept. */
export type Configuration = v.InferOutput<typeof ConfigurationSchema>;
/** A route: which requests it takes, and what service they go to. */
export type RouteEntry = Configuration['routes'][number];
/** A service: where its workers come from, and what they run. */
export type ServiceEntry = Configuration['services'][number];
/** What the workers of a service hold and how much of it. */
export type EngineEntry = v.InferOutput<typeof EngineSchema>;
/** A model that the workers of a service may hold. */
export type ModelEntry = v.InferOutput<typeof ModelSchema>;
/** A tenant: the keys of its clients, its priority, and its quota over all edges together. */
export type TenantEntry = v.InferOutput<typeof TenantSchema>;
/** Bounds on what a client may send, and for how long. */
export type Limits = v.InferOutput<typeof LimitsSchema>;

/** The limits where a configuration names none. */
export const DEFAULT_LIMITS: Limits = v.parse(LimitsSchema, {});

/** Faults across entries: duplicate names and routes, unknown services. */
function crossReferenceFaults(configuration: Configuration): string[] {
  const services = new Set(configuration.services.map((service) => service.name));
  const matches = new Set<string>();
  const names = new Set<string>();
  const faults: string[] = [];
  for (const [index, route] of configuration.routes.entries()) {
    const match = `${route.host.toLowerCase()} ${route.prefix}`;
    const found = routeFaults(route, services);
    if (matches.has(match)) found.push(`host and prefix "${match}" stand here a second time`);
    if (names.has(route.name)) found.push('the name stands here a second time');
    matches.add(match);
    names.add(route.name);
    for (const message of found) faults.push(`routes.${index} (${route.name}): ${message}`);
  }
  if (services.size !== configuration.services.length)
    faults.push('services: a name stands here a second time');
  faults.push(...tenantFaults(configuration.tenants ?? []));
  return faults;
}

/** Faults across tenants. Names the tenants concerned and never a key. */
function tenantFaults(tenants: readonly TenantEntry[]): string[] {
  const ownerByKey = new Map<string, string>();
  const names = new Set<string>();
  const faults: string[] = [];
  for (const [index, { name, apiKeys }] of tenants.entries()) {
    if (names.has(name)) faults.push(`tenants.${index} (${name}): the name stands here a second time`);
    names.add(name);
    for (const key of apiKeys ?? []) {
      const owner = ownerByKey.get(key);
      if (owner !== undefined && owner !== name)
        faults.push(`tenants.${index} (${name}): shares a key with "${owner}"`);
      ownerByKey.set(key, name);
    }
  }
  return faults;
}

function routeFaults(route: RouteEntry, services: ReadonlySet<string>): string[] {
  const { split, service } = route;
  const faults: string[] = [];
  if (split === undefined || split === null || split.length === 0) {
    if (!services.has(service ?? '')) faults.push(`unknown service "${service ?? ''}"`);
    if (split?.length === 0) faults.push('a split without parts');
    return faults;
  }
  let weight = 0;
  for (const part of split) {
    if (!services.has(part.service)) faults.push(`unknown service "${part.service}"`);
    weight += part.weight;
  }
  if (weight <= 0) faults.push('the weights sum to 0');
  return faults;
}

const REPORTED_FAULTS_MAX = 8;

function issueText(issue: v.BaseIssue<unknown>, parentPath: string): string {
  const path = [parentPath, v.getDotPath(issue) ?? ''].filter((part) => part !== '').join('.');
  return `${path === '' ? 'configuration' : path}: ${issueMessage(issue)}`;
}

/**
 * Checks the items of one list. Most items of a configuration are taken over
 * from the last one as they are, and never changed in place: those that were
 * part of the last list are not checked again.
 */
class CachedListChecker<S extends v.GenericSchema> {
  #schema: S;
  #previous: ReadonlyMap<unknown, v.InferOutput<S>> = new Map();

  constructor(schema: S) {
    this.#schema = schema;
  }

  /** The items as checked; what is wrong with others is added to `faults`. */
  checkedItems(list: readonly unknown[], name: string, faults: string[]): v.InferOutput<S>[] {
    const checked = new Map<unknown, v.InferOutput<S>>();
    const items: v.InferOutput<S>[] = [];
    for (const [index, item] of list.entries()) {
      const output = this.#previous.get(item) ?? this.#check(item, `${name}.${index}`, faults);
      if (output === undefined) continue;
      items.push(output);
      checked.set(item, output);
    }
    this.#previous = checked;
    return items;
  }

  #check(item: unknown, path: string, faults: string[]): v.InferOutput<S> | undefined {
    const parsed = v.safeParse(this.#schema, item);
    if (parsed.success) return parsed.output;
    faults.push(...parsed.issues.map((issue) => issueText(issue, path)));
    return undefined;
  }
}

const ROUTE_CHECKER = new CachedListChecker(RouteSchema);
const SERVICE_CHECKER = new CachedListChecker(ServiceSchema);
const TENANT_CHECKER = new CachedListChecker(TenantSchema);

/**
 * Checks a complete configuration; a fault names each place and what is wrong there.
 * @example
 * checkConfiguration({ revision: 1, routes: [], services: [] }).isOk; // true
 */
export function checkConfiguration(data: unknown): Result<Configuration, Fault> {
  const outline = v.safeParse(OutlineSchema, data);
  if (!outline.success) return badSpec(outline.issues.map((issue) => issueText(issue, '')));
  const faults: string[] = [];
  const configuration: Configuration = {
    ...outline.output,
    routes: ROUTE_CHECKER.checkedItems(outline.output.routes, 'routes', faults),
    services: SERVICE_CHECKER.checkedItems(outline.output.services, 'services', faults),
    tenants: checkedTenants(outline.output.tenants, faults),
  };
  if (faults.length === 0) faults.push(...crossReferenceFaults(configuration));
  return faults.length > 0 ? badSpec(faults) : Result.ok(configuration);
}

/** What was checked before: documents are never changed in place. */
const checkedDocuments = new WeakMap<object, Result<Configuration, Fault>>();

/**
 * The configuration that a document of the agreed state holds, checked once for each document; undefined where there
 * is none, or an invalid one of an earlier build.
 * @example
 * checkedConfiguration(state.document)?.routes;
 */
export function checkedConfiguration(document: object | undefined): Configuration | undefined {
  if (document === undefined) return undefined;
  let checked = checkedDocuments.get(document);
  if (checked === undefined) {
    checked = checkConfiguration(document);
    checkedDocuments.set(document, checked);
  }
  return checked.isOk ? checked.value : undefined;
}

/** Tenants as checked; null or undefined where the configuration has none, so that requests need no key. */
function checkedTenants(
  list: readonly unknown[] | null | undefined,
  faults: string[],
): TenantEntry[] | null | undefined {
  return list === null || list === undefined ? list : TENANT_CHECKER.checkedItems(list, 'tenants', faults);
}

function badSpec(faults: readonly string[]): Result<Configuration, Fault> {
  return Result.err(fault('bad-spec', faults.slice(0, REPORTED_FAULTS_MAX).join('\n')));
}
