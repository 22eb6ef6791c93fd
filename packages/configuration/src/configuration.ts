/** The schema and the checks of a configuration of routes and services. */
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import * as v from 'valibot';
import { issueMessage } from './issue-text.js';

/**
 * Finite, since JSON.parse reads 1e400 as Infinity and JSON.stringify writes that as null, which means
 * something else.
 */
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

/** The configuration schema without the routes, services and tenants, which are checked one by one. */
const OutlineSchema = v.looseObject({
  ...ConfigurationSchema.entries,
  routes: v.array(v.unknown()),
  services: v.array(v.unknown()),
  tenants: v.optional(v.nullable(v.array(v.unknown()))),
});

/** A checked configuration of routes and services. Unknown fields are kept. */
export type Configuration = v.InferOutput<typeof ConfigurationSchema>;
/** A route: the requests that it matches, and the service that they are sent to. */
export type RouteEntry = Configuration['routes'][number];
/** A service: how its workers are checked and warmed up, and what they run. */
export type ServiceEntry = Configuration['services'][number];
/** The models that the workers of a service may hold, and the capacity of one worker. */
export type EngineEntry = v.InferOutput<typeof EngineSchema>;
/** A model that the workers of a service may hold. */
export type ModelEntry = v.InferOutput<typeof ModelSchema>;
/** A tenant: the keys of its clients, its priority, and its quota over all edges together. */
export type TenantEntry = v.InferOutput<typeof TenantSchema>;
/** Limits on the size of a client's request and on how long the client may take to send it. */
export type Limits = v.InferOutput<typeof LimitsSchema>;

/** The limits that apply where a configuration sets none. */
export const DEFAULT_LIMITS: Limits = v.parse(LimitsSchema, {});

/** Returns the faults across entries: duplicate names and routes, unknown services, shared API keys. */
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

/** Returns the faults across tenants. The messages name the tenants concerned and never show a key. */
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
 * Checks the items of one list and caches the results. Most items of a configuration are the same objects as
 * in the one before, and items are never changed in place, so an item of the previous list is not checked
 * again.
 */
class CachedListChecker<S extends v.GenericSchema> {
  #schema: S;
  #previous: ReadonlyMap<unknown, v.InferOutput<S>> = new Map();

  constructor(schema: S) {
    this.#schema = schema;
  }

  /** Returns the valid items as parsed, and adds the faults of the other items to `faults`. */
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
 * Checks a complete configuration; the fault lists the path and the message of the first errors.
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

/** Results of earlier checks; they stay valid because documents are never changed in place. */
const checkedDocuments = new WeakMap<object, Result<Configuration, Fault>>();

/**
 * Returns the configuration in a document of the replicated state, checked once for each document; undefined
 * if there is no document, or if it is invalid because an earlier build accepted it.
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

/** Checks the tenants. Null and undefined stay as they are: they mean that requests need no key. */
function checkedTenants(
  list: readonly unknown[] | null | undefined,
  faults: string[],
): TenantEntry[] | null | undefined {
  return list === null || list === undefined ? list : TENANT_CHECKER.checkedItems(list, 'tenants', faults);
}

function badSpec(faults: readonly string[]): Result<Configuration, Fault> {
  return Result.err(fault('bad-spec', faults.slice(0, REPORTED_FAULTS_MAX).join('\n')));
}
