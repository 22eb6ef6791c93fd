/**
 * A tenant's quota in shards. Each is a quota of its own, with a part of the rate, the burst and the slack, and is
 * allocated by a core that rendezvous hashing chooses for it alone: where one core is lost, the other shards go on.
 */
import type { QuotaBounds, TenantLimit } from './permits.js';

/** Shards of a quota at most: with one lost, a tenant at 5/8 of its limit is still served at once. */
const MAX_SHARDS = 3;

/** A shard with less burst than this would refuse requests that come close together. */
const MIN_SHARD_BURST = 2;

/**
 * Into how many shards a limit is divided; the same at edges and cores that know the same limit.
 * @example
 * shardCount({ name: 'tenant-1', ratePerS: 95, burst: 95 }); // 3
 */
export function shardCount({ burst }: Pick<TenantLimit, 'burst'>): number {
  return Math.max(1, Math.min(MAX_SHARDS, Math.floor(burst / MIN_SHARD_BURST)));
}

/** The name under which one shard of a tenant's quota is allocated. */
export function shardName(tenant: string, index: number): string {
  return `${tenant}/${index}`;
}

/** The tenant that a shard belongs to. */
export function tenantOfShard(name: string): string {
  return name.slice(0, name.lastIndexOf('/'));
}

/**
 * The limits of a tenant's shards: together they are its limit, and allow its slack.
 * @example
 * shardLimits({ name: 'tenant-1', ratePerS: 95, burst: 95 }, bounds).map(({ name }) => name);
 * // ['tenant-1/0', 'tenant-1/1', 'tenant-1/2']
 */
export function shardLimits(limit: TenantLimit, bounds: QuotaBounds): TenantLimit[] {
  const count = shardCount(limit);
  return Array.from({ length: count }, (_, index) => ({
    name: shardName(limit.name, index),
    ratePerS: limit.ratePerS / count,
    burst: limit.burst / count,
    slack: bounds.slack / count,
  }));
}
