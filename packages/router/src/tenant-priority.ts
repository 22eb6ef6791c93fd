/** Orders requests at an edge of the platform system: by tenant, then by route, then by arrival. */
import type { Configuration } from '@rainrun/configuration';
import type { RoutedRequest } from './request.js';
import { ATTEMPT_POLICY, PRIORITY_POLICY } from './routing-policy.js';

/**
 * The priority of a request's tenant, with ageing; 0 is highest. A request that has waited for `ageingRatio`
 * of its time gets the highest tenant priority, and from then on precedes whatever arrives later on the same
 * route: a steady load from more urgent tenants cannot starve it.
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
 * Compares two requests for `Array.sort`: negative if `one` precedes `other`.
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

/** All tenant and route priorities that requests of a configuration can have, in ascending order. */
interface PriorityScale {
  readonly tenants: readonly number[];
  readonly routes: readonly number[];
}

/**
 * Computes the priority that is sent to workers with a request. It follows the tenant's priority first and
 * the route's second. Without tenants, or where all of them have the same priority, it is the route's
 * priority.
 * @example
 * const priorities = new WorkerPriorities();
 * priorities.priorityOf(request, configuration, nowMs); // 0 to 9, 0 first
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

/** Undefined if all tenants have the same priority, or no route is streaming: only those send a priority. */
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

/** The index of a pair of priorities among all pairs, scaled down if there are more pairs than levels. */
function priorityLevel(scale: PriorityScale, tenantPriority: number, routePriority: number): number {
  const levels = ATTEMPT_POLICY.lowestPriority + 1;
  const pairs = scale.tenants.length * scale.routes.length;
  const index =
    indexIn(scale.tenants, tenantPriority) * scale.routes.length + indexIn(scale.routes, routePriority);
  return pairs <= levels ? index : Math.floor((index * levels) / pairs);
}

/** The index of a value; if it is missing, as after a configuration change, that of the next higher one. */
function indexIn(values: readonly number[], value: number): number {
  const index = values.findIndex((candidate) => candidate >= value);
  return index < 0 ? values.length - 1 : index;
}
