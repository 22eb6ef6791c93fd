/** Configurations that simulated operators send, and what a change makes of one. */
import { sampleTenants } from './quota-load.js';
import { ENGINE, SERVICE, sizeOf } from './workers.js';

/** A configuration in our terms. */
export type Document = Readonly<Record<string, unknown>>;

/** A change of named items. */
export interface Patch {
  readonly revision: number;
  readonly set: Readonly<Record<string, unknown>>;
  readonly drop: Readonly<Record<string, readonly string[]>>;
}

const ADAPTERS_EACH = 4;

function routeOf(name: string, prefix: string, note: string): Record<string, unknown> {
  return { name, host: 'a.example', prefix, service: SERVICE, kind: 'streaming', timeoutMs: 5000, note };
}

function modelOf(place: number): Record<string, unknown> {
  const name = `m${place}`;
  return {
    name,
    sizeMb: sizeOf(name),
    loadS: ENGINE.loadMs / 1000,
    adapters: ADAPTERS_EACH,
    adapterMb: ENGINE.adapterMb,
  };
}

/**
 * A configuration for the simulated workers; `mark` tells two of them apart.
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

/**
 * A change that adds or replaces one route and removes another.
 * @example
 * samplePatch(7, 'second', 1).drop; // { routes: ['extra-0'] }
 */
export function samplePatch(revision: number, mark: string, place: number): Patch {
  return {
    revision,
    set: { mark, routes: [routeOf(`extra-${place}`, `/extra-${place}/`, mark)] },
    drop: { routes: [`extra-${place - 1}`] },
  };
}

/** A change that adds a route to a service that does not exist. */
export function sampleInvalidPatch(revision: number, mark: string): Patch {
  const route = { ...routeOf('invalid', '/invalid/', mark), service: 'nowhere' };
  return { revision, set: { mark, routes: [route] }, drop: {} };
}

/** The same configuration with a route to a service that does not exist. */
export function makeInvalid(document: Document): Record<string, unknown> {
  const [route, ...others] = document['routes'] as Record<string, unknown>[];
  return { ...document, routes: [{ ...route, service: 'nowhere' }, ...others] };
}

/**
 * What a change makes of a configuration, written apart from the program's own code.
 * @example
 * patchDocument({ revision: 5, routes: [] }, samplePatch(7, 'second', 1))['revision']; // 7
 */
export function patchDocument(document: Document, { revision, set, drop }: Patch): Record<string, unknown> {
  const routes = (document['routes'] ?? []) as Record<string, unknown>[];
  const dropped = drop['routes'] ?? [];
  const kept = routes.filter((route) => !dropped.includes(String(route['name'])));
  const upserts = (set['routes'] ?? []) as Record<string, unknown>[];
  const replaced = kept.map((route) => upserts.find((upsert) => upsert['name'] === route['name']) ?? route);
  const added = upserts.filter((upsert) => !kept.some((route) => route['name'] === upsert['name']));
  return { ...document, ...set, routes: [...replaced, ...added], revision };
}

/** Text that is the same for equal documents, whatever the order of their keys. */
export function canonicalText(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    typeof part === 'object' && part !== null && !Array.isArray(part)
      ? Object.fromEntries(Object.entries(part).sort(([one], [other]) => (one < other ? -1 : 1)))
      : part,
  );
}

/** Which change wrote a configuration, by its revision and mark; undefined for none. */
export function changeIdOf(revision: number, written: Document | undefined): string | undefined {
  const mark = written?.['mark'];
  return typeof mark === 'string' ? `${revision} ${mark}` : undefined;
}
