/** What operators see of the tenants: their limits and the state of their quotas, and never a key. Platform family. */
import { checkConfiguration, type Deployment, type TenantEntry } from '@rainrun/configuration';
import type { Member } from '@rainrun/messages';
import { allocatorOf, type AllocationState, type AllocationStats } from '@rainrun/quotas';

/** The quota of one tenant as the core that is asked sees it. */
export interface TenantQuotaStatus {
  /** Whether this core allocates it now. */
  readonly allocatedHere: boolean;
  /** Permits that could be granted at once; null where another core allocates. */
  readonly level: number | null;
  /** Permits granted by this core since it started. */
  readonly granted: number;
  /** Permits that this core refused since it started, because the tenant was over its quota. */
  readonly overQuota: number;
  /**
   * Whether it waits for what another core may still grant, settles and calls nothing over the quota yet, or serves;
   * null where another core allocates.
   */
  readonly state: AllocationState | null;
}

/** The quota of a tenant by name; undefined where this core knows nothing of it. */
export type QuotaStatusOf = (tenant: string) => TenantQuotaStatus | undefined;

/** A tenant in the view. */
export interface TenantStatus {
  readonly name: string;
  /** Requests per second over all edges; 0: no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Null where the route's counts. */
  readonly priority: number | null;
  /** How many keys it holds. */
  readonly keys: number;
  /** The core that allocates its quota by this core's view; null where it has no limit or no core can. */
  readonly allocator: string | null;
  /** Null where this core knows nothing of it. */
  readonly quota: TenantQuotaStatus | null;
}

/**
 * The tenants of the configuration in force; undefined where it has none and no request needs a key.
 * @example
 * tenantStatuses(replica.state, members, (tenant) => allocator.statusOf(tenant));
 */
export function tenantStatuses(
  { document }: Deployment,
  members: readonly Member[],
  quotaOf: QuotaStatusOf,
): TenantStatus[] | undefined {
  if (document === undefined) return undefined;
  const checked = checkConfiguration(document);
  const tenants = checked.isOk ? checked.value.tenants : undefined;
  return tenants?.map((tenant) => tenantStatus(tenant, members, quotaOf(tenant.name)));
}

/** Names each field that is shown: a tenant's entry holds keys, and fields that are not known may hold anything. */
function tenantStatus(
  { name, apiKeys, ratePerS, burst, priority }: TenantEntry,
  members: readonly Member[],
  quota: TenantQuotaStatus | undefined,
): TenantStatus {
  const rate = ratePerS ?? 0;
  return {
    name,
    ratePerS: rate,
    burst: burst ?? 0,
    priority: priority ?? null,
    keys: new Set(apiKeys).size,
    allocator: rate === 0 ? null : (allocatorOf(name, members)?.name ?? null),
    quota: quota ?? null,
  };
}

/**
 * The state of quotas as one core's allocator reports it.
 * @example
 * coreStatus(replica, quotaStatusesOf(replica.quotaStats));
 */
export function quotaStatusesOf(stats: readonly AllocationStats[]): QuotaStatusOf {
  const byTenant = new Map(stats.map((one) => [one.tenant, one]));
  return (tenant) => {
    const found = byTenant.get(tenant);
    if (found === undefined) return undefined;
    const { state, level, granted, refused } = found;
    return { allocatedHere: true, level: Math.floor(level), granted, overQuota: refused, state };
  };
}
