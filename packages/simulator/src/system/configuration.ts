/**
 * Sample configurations and patches that simulated operators send, and an independent model of applying a
 * patch.
 */
import { mixedHash } from '@rainrun/common';
import { sampleTenants } from './quota-load.js';
import { ENGINE, SERVICE, sizeOf } from './workers.js';

/** A configuration document in the program's own format. */
export type Document = Readonly<Record<string, unknown>>;

/** A patch that sets and drops items by name. */
export interface Patch {
  readonly revision: number;
  readonly set: Readonly<Record<string, unknown>>;
  readonly drop: Readonly<Record<string, readonly string[]>>;
}

const ADAPTERS_PER_MODEL = 4;

function routeOf(name: string, prefix: string, note: string): Record<string, unknown> {
  return { name, host: 'a.example', prefix, service: SERVICE, kind: 'streaming', timeoutMs: 5000, note };
}

function modelOf(place: number): Record<string, unknown> {
  const name = `m${place}`;
  return {
    name,
    sizeMb: sizeOf(name),
    loadS: ENGINE.loadMs / 1000,
    adapters: ADAPTERS_PER_MODEL,
    adapterMb: ENGINE.adapterMb,
  };
}

/**
 * Builds a configuration for the simulated workers; `mark` distinguishes documents with the same revision.
 * @example
 * sampleDocument(5, 12, 'first')['revision']; // 5
 */
export function sampleDocument(
  revision: number,
  models: number,
  mark: string,
  furtherRoutes = 0,
): Record<string, unknown> {
  const further = Array.from({ length: furtherRoutes }, (_, place) =>
    routeOf(`further-${place}`, `/further-${place}/`, mark),
  );
  const { slots, roomMb, adapterPlaces, loadsPerS } = ENGINE;
  const engine = {
    slots,
    roomMb,
    adapterPlaces,
    loadsPerS,
    models: Array.from({ length: models }, (_, place) => modelOf(place)),
  };
  return {
    revision,
    mark,
    routes: [routeOf('ask', '/ask/', mark), ...further],
    services: [{ name: SERVICE, engine }],
    tenants: sampleTenants(),
  };
}

/** Builds a tenant for one change, with an API key that no other tenant has. */
function tenantOf(name: string, mark: string): Record<string, unknown> {
  return { name, apiKeys: [`key-${mark}`], ratePerS: 1, note: mark };
}

/**
 * Builds a patch that adds or replaces one route and one tenant, and drops another of each.
 * @example
 * samplePatch(7, 'second', 1).drop; // { routes: ['extra-0'], tenants: ['extra-0'] }
 */
export function samplePatch(revision: number, mark: string, place: number): Patch {
  return {
    revision,
    set: {
      mark,
      routes: [routeOf(`extra-${place}`, `/extra-${place}/`, mark)],
      tenants: [tenantOf(`extra-${place}`, mark)],
    },
    drop: { routes: [`extra-${place - 1}`], tenants: [`extra-${place - 1}`] },
  };
}

/**
 * Whether an invalid change has a shared API key rather than an unknown service. The hash of its mark
 * decides, so that no further random number is drawn.
 */
function sharesKey(mark: unknown): boolean {
  return mixedHash(String(mark)) % 2 === 0;
}

/** Builds a second tenant that also has the first tenant's API key. */
function tenantSharingKey(mark: string): Record<string, unknown> {
  const [first] = sampleTenants();
  return {
    ...tenantOf('sharing', mark),
    apiKeys: [`key-${mark}`, ...(first?.['apiKeys'] as string[])],
  };
}

/** Builds a patch that adds a route to an unknown service, or a tenant with the API key of another. */
export function sampleInvalidPatch(revision: number, mark: string): Patch {
  if (sharesKey(mark)) return { revision, set: { mark, tenants: [tenantSharingKey(mark)] }, drop: {} };
  const route = { ...routeOf('invalid', '/invalid/', mark), service: 'nowhere' };
  return { revision, set: { mark, routes: [route] }, drop: {} };
}

/**
 * Returns the configuration with a route to an unknown service, or with a tenant that has the API key of
 * another.
 */
export function makeInvalid(document: Document): Record<string, unknown> {
  const mark = String(document['mark']);
  if (sharesKey(mark)) return { ...document, tenants: [...sampleTenants(), tenantSharingKey(mark)] };
  const [route, ...others] = document['routes'] as Record<string, unknown>[];
  return { ...document, routes: [{ ...route, service: 'nowhere' }, ...others] };
}

/**
 * Applies a patch to a configuration, implemented independently of the program's own code.
 * @example
 * patchDocument({ revision: 5, routes: [] }, samplePatch(7, 'second', 1))['revision']; // 7
 */
export function patchDocument(document: Document, { revision, set, drop }: Patch): Record<string, unknown> {
  const routes = patchList(document['routes'], set['routes'], drop['routes']);
  const tenants = patchList(document['tenants'], set['tenants'], drop['tenants']);
  return { ...document, ...set, routes, tenants, revision };
}

function patchList(held: unknown, set: unknown, drop: readonly string[] = []): Record<string, unknown>[] {
  const upserts = (set ?? []) as Record<string, unknown>[];
  const kept = ((held ?? []) as Record<string, unknown>[]).filter(({ name }) => !drop.includes(String(name)));
  const replaced = kept.map((item) => upserts.find(({ name }) => name === item['name']) ?? item);
  const added = upserts.filter(({ name }) => !kept.some((item) => item['name'] === name));
  return [...replaced, ...added];
}

/** Serializes a document so that equal documents give the same text, whatever the order of their keys. */
export function canonicalText(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    typeof part === 'object' && part !== null && !Array.isArray(part)
      ? Object.fromEntries(Object.entries(part).sort(([one], [other]) => (one < other ? -1 : 1)))
      : part,
  );
}

/**
 * Returns the ID of the change that wrote a configuration, from its revision and mark; undefined without a
 * mark.
 */
export function changeIdOf(revision: number, written: Document | undefined): string | undefined {
  const mark = written?.['mark'];
  return typeof mark === 'string' ? `${revision} ${mark}` : undefined;
}
