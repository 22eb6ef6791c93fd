/** The order of requests at an edge of the platform system: by tenant, then by route, then by arrival. */
import type { Configuration } from '@rainrun/configuration';
import type { RoutedRequest } from './request.js';
import { ATTEMPT_POLICY, PRIORITY_POLICY } from './routing-policy.js';

/**
 * The priority of a request's tenant; 0 is highest. It stops counting against a request that has waited for long: with
 * the highest from then on it goes before whatever arrives later, so a steady load of more urgent tenants starves
 * nobody.
 */
function effectiveTenantPriority(request: RoutedRequest, nowMs: number): number {
  const { directory, tenant, arrivedMs, expiresMs } = request;
  if (directory === undefined) return PRIORITY_POLICY.defaultTenantPriority;
  const isAged = nowMs - arrivedMs >= (expiresMs - arrivedMs) * PRIORITY_POLICY.ageingRatio;
  return isAged
    ? PRIORITY_POLICY.highestTenantPriority
    : (tenant?.priority ?? PRIORITY_POLICY.defaultTenantPriority);
}

/**
 * Negative if one request goes before another, as for `Array.sort`.
 * @example
 * requests.sort((one, other) => compareUrgency(one, other, nowMs));
 */
export function compareUrgency(one: RoutedRequest, other: RoutedRequest, nowMs: number): number {
  return (
    effectiveTenantPriority(one, nowMs) - effectiveTenantPriority(other, nowMs) ||
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

  priorityOf(request: RoutedRequest, configuration: Configuration | undefined, nowMs: number): number {
    const scale = configuration === undefined ? undefined : this.#scaleFor(configuration);
    const { priority } = request.route;
    if (scale === undefined || request.directory === undefined)
      return Math.min(ATTEMPT_POLICY.lowestPriority, priority);
    return priorityLevel(scale, effectiveTenantPriority(request, nowMs), priority);
  }

  #scaleFor(configuration: Configuration): PriorityScale | undefined {
    if (this.#current?.configuration !== configuration)
      this.#current = { configuration, scale: buildScale(configuration) };
    return this.#current.scale;
  }
}

/** Undefined where the tenants do not differ, or no route tells workers a priority. */
function buildScale({ tenants, routes }: Configuration): PriorityScale | undefined {
  const { defaultTenantPriority } = PRIORITY_POLICY;
  const tenantPriorities = (tenants ?? []).map(({ priority }) => priority ?? defaultTenantPriority);
  const publicPriorities = routes.some((route) => route.public) ? [defaultTenantPriority] : [];
  const priorities = sortedDistinct([...tenantPriorities, ...publicPriorities]);
  const streaming = routes.filter(({ kind }) => kind === 'streaming');
  if (priorities.length < 2 || streaming.length === 0) return undefined;
  return { tenants: priorities, routes: sortedDistinct(streaming.map(({ priority }) => priority)) };
}

function sortedDistinct(values: readonly number[]): number[] {
  return [...new Set(values)].sort((one, other) => one - other);
}

/** The place of a pair among all pairs; several share one where there are more pairs than places. */
function priorityLevel(scale: PriorityScale, tenantPriority: number, routePriority: number): number {
  const levels = ATTEMPT_POLICY.lowestPriority + 1;
  const pairs = scale.tenants.length * scale.routes.length;
  const index =
    indexIn(scale.tenants, tenantPriority) * scale.routes.length + indexIn(scale.routes, routePriority);
  return pairs <= levels ? index : Math.floor((index * levels) / pairs);
}

/** The place of a value; of one that is not there, as after a change of the configuration, that of the next one. */
function indexIn(values: readonly number[], value: number): number {
  const index = values.findIndex((candidate) => candidate >= value);
  return index < 0 ? values.length - 1 : index;
}
