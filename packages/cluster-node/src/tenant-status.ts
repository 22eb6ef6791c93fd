/**
 * Status of the tenants for operators: limits and the state of quotas, but never an API key. Platform family.
 */
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

/** The quota of one tenant, as seen by the core that answers the operator. */
export interface TenantQuotaStatus {
  /**
   * Whether this core currently allocates a shard of the quota; the figures cover this core's shards only.
   */
  readonly allocatedHere: boolean;
  /** Permits that could be granted immediately; null if another core allocates. */
  readonly level: number | null;
  /** Permits granted by this core since it started. */
  readonly granted: number;
  /** Permits that this core has refused since it started because the tenant was over its quota. */
  readonly overQuota: number;
  /**
   * State of the allocation: waiting while another core may still grant permits, settling while no request is
   * refused as over the quota yet, or serving; null if another core allocates.
   */
  readonly state: AllocationState | null;
}

/** The quota of a tenant by name; undefined if this core has no data on it. */
export type QuotaStatusOf = (tenant: string) => TenantQuotaStatus | undefined;

/** One tenant in the status report. */
export interface TenantStatus {
  readonly name: string;
  /** Limit of requests per second over all edges; 0 for no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Priority of the tenant's requests; null if the priority of the route applies. */
  readonly priority: number | null;
  /** Number of distinct API keys. */
  readonly keys: number;
  /**
   * Cores that allocate the shards of the quota, by this core's view; empty without a limit or without a core
   * to do so.
   */
  readonly allocators: readonly string[];
  /** Null if this core has no data on the quota. */
  readonly quota: TenantQuotaStatus | null;
}

/**
 * Status of the tenants in force; undefined if the configuration has no list of tenants, in which case no
 * request needs an API key.
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

/**
 * Copies only the fields to show, because a tenant's entry holds API keys, and unknown fields may hold
 * anything.
 */
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
 * Sums the statistics of a core's quota shards by tenant.
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

/** States of shards, least ready first: a tenant is shown in the state of its least ready shard. */
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
