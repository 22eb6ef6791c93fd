/** The order of requests at an edge of the platform system: by tenant, then by route, then by arrival. */
import type { Configuration } from '@rainrun/configuration';
import type { RoutedRequest } from './request.js';
import { ATTEMPT_POLICY, PRIORITY_POLICY } from './routing-policy.js';

/**
 * The priority of a request's tenant; 0 is highest. It stops counting against a request that has waited for long: with
 * the highest from then on it goes before whatever arrives later, so a steady load of more urgent tenants starves
 * nobody.
 */
function tenantPriority(request: RoutedRequest, nowMs: number): number {
  const { directory, tenant, arrivedMs, endMs } = request;
  if (directory === undefined) return PRIORITY_POLICY.middleTenant;
  const isAged = nowMs - arrivedMs >= (endMs - arrivedMs) * PRIORITY_POLICY.ageingRatio;
  return isAged ? PRIORITY_POLICY.highestTenant : (tenant?.priority ?? PRIORITY_POLICY.middleTenant);
}

/**
 * Negative if one request goes before another, as for `Array.sort`.
 * @example
 * requests.sort((one, other) => compareUrgency(one, other, nowMs));
 */
export function compareUrgency(one: RoutedRequest, other: RoutedRequest, nowMs: number): number {
  return (
    tenantPriority(one, nowMs) - tenantPriority(other, nowMs) ||
    one.route.priority - other.route.priority ||
    one.arrivedMs - other.arrivedMs
  );
}

/** Every priority that requests of a configuration can have, in order. */
interface PriorityScale {
  readonly tenants: readonly number[];
  readonly routes: readonly number[];
}

/**
 * What workers are told of a request's priority, in the order of the pair of tenant and route. Without tenants, or
 * where all of them are alike, it is the route's priority.
 * @example
 * const priorities = new WorkerPriorities();
 * priorities.of(request, configuration, nowMs); // 0 to 9, 0 first
 */
export class WorkerPriorities {
  #current: { readonly configuration: Configuration; readonly scale: PriorityScale | undefined } | undefined;

  of(request: RoutedRequest, configuration: Configuration | undefined, nowMs: number): number {
    const scale = configuration === undefined ? undefined : this.#scale(configuration);
    const { priority } = request.route;
    if (scale === undefined || request.directory === undefined)
      return Math.min(ATTEMPT_POLICY.maxPriority, priority);
    return rank(scale, tenantPriority(request, nowMs), priority);
  }

  #scale(configuration: Configuration): PriorityScale | undefined {
    if (this.#current?.configuration !== configuration)
      this.#current = { configuration, scale: scaleOf(configuration) };
    return this.#current.scale;
  }
}

/** Undefined where the tenants do not differ, or no route tells workers a priority. */
function scaleOf({ tenants, routes }: Configuration): PriorityScale | undefined {
  const { middleTenant } = PRIORITY_POLICY;
  const ofTenants = (tenants ?? []).map(({ priority }) => priority ?? middleTenant);
  const ofAnyone = routes.some((route) => route.public) ? [middleTenant] : [];
  const priorities = ascending([...ofTenants, ...ofAnyone]);
  const streaming = routes.filter(({ kind }) => kind === 'streaming');
  if (priorities.length < 2 || streaming.length === 0) return undefined;
  return { tenants: priorities, routes: ascending(streaming.map(({ priority }) => priority)) };
}

function ascending(values: readonly number[]): number[] {
  return [...new Set(values)].sort((one, other) => one - other);
}

/** The place of a pair among all pairs; several share one where there are more pairs than places. */
function rank(scale: PriorityScale, ofTenant: number, ofRoute: number): number {
  const places = ATTEMPT_POLICY.maxPriority + 1;
  const pairs = scale.tenants.length * scale.routes.length;
  const place = placeIn(scale.tenants, ofTenant) * scale.routes.length + placeIn(scale.routes, ofRoute);
  return pairs <= places ? place : Math.floor((place * places) / pairs);
}

/** The place of a value; of one that is not there, as after a change of the configuration, that of the next one. */
function placeIn(values: readonly number[], value: number): number {
  const place = values.findIndex((known) => known >= value);
  return place < 0 ? values.length - 1 : place;
}
