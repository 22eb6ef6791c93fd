/** What operators see of the tenants: their limits and the state of their quotas, and never a key. Platform family. */
import { checkedConfiguration, tenantOf, type Deployment, type TenantEntry } from '@rainrun/configuration';
import type { Member } from '@rainrun/messages';
import {
  allocatorOf,
  shardCount,
  shardName,
  tenantOfShard,
  type AllocationState,
  type AllocationStats,
} from '@rainrun/quotas';

/** The quota of one tenant as the core that is asked sees it. */
export interface TenantQuotaStatus {
  /** Whether this core allocates a shard of it now; the figures are of its shards alone. */
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
  /** The cores that allocate the shards of its quota, by this core's view; empty where it has no limit or no core can. */
  readonly allocators: readonly string[];
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
  return checkedConfiguration(document)?.tenants?.map((tenant) =>
    tenantStatus(tenant, members, quotaOf(tenant.name)),
  );
}

/** Names each field that is shown: a tenant's entry holds keys, and fields that are not known may hold anything. */
function tenantStatus(
  entry: TenantEntry,
  members: readonly Member[],
  quota: TenantQuotaStatus | undefined,
): TenantStatus {
  const { name, ratePerS, burst, priority } = tenantOf(entry);
  return {
    name,
    ratePerS,
    burst,
    priority: priority ?? null,
    keys: new Set(entry.apiKeys).size,
    allocators: ratePerS === 0 ? [] : allocatorsOf({ name, burst }, members),
    quota: quota ?? null,
  };
}

/**
 * The state of quotas as one core's allocator reports it.
 * @example
 * coreStatus(replica, quotaStatusesOf(replica.quotaStats));
 */
export function quotaStatusesOf(stats: readonly AllocationStats[]): QuotaStatusOf {
  return (tenant) => {
    const shards = stats.filter((one) => tenantOfShard(one.tenant) === tenant);
    if (shards.length === 0) return undefined;
    return {
      allocatedHere: true,
      level: Math.floor(sum(shards.map(({ level }) => level))),
      granted: sum(shards.map(({ granted }) => granted)),
      overQuota: sum(shards.map(({ refused }) => refused)),
      state: STATES_LEAST_READY_FIRST.find((state) => shards.some((shard) => shard.state === state)) ?? null,
    };
  };
}

/** The least ready first: one shard that waits is worth a look. */
const STATES_LEAST_READY_FIRST: readonly AllocationState[] = ['waiting', 'settling', 'serving'];

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function allocatorsOf(
  { name, burst }: { name: string; burst: number },
  members: readonly Member[],
): string[] {
  const names = Array.from(
    { length: shardCount({ burst }) },
    (_, index) => allocatorOf(shardName(name, index), members)?.name,
  );
  return [...new Set(names.filter((known) => known !== undefined))].sort();
}
