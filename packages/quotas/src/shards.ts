/**
 * Division of a tenant's quota into shards. Each shard is a separate quota with its share of the rate, burst
 * and slack. Rendezvous hashing chooses its core independently, so if one core is lost, the other shards stay
 * available.
 */
import type { QuotaBounds, TenantLimit } from './permits.js';

/**
 * Maximum number of shards of a quota. With one of three lost, a tenant at 5/8 of its limit is still served
 * at once.
 */
const MAX_SHARDS = 3;

/** Minimum burst of a shard; with less, a shard would refuse requests that arrive close together. */
const MIN_SHARD_BURST = 2;

/**
 * Returns the number of shards into which a limit is divided. Edges and cores with the same limit compute the
 * same.
 * @example
 * shardCount({ name: 'tenant-1', ratePerS: 95, burst: 95 }); // 3
 */
export function shardCount({ burst }: Pick<TenantLimit, 'burst'>): number {
  return Math.max(1, Math.min(MAX_SHARDS, Math.floor(burst / MIN_SHARD_BURST)));
}

/** Returns the name under which one shard of a tenant's quota is allocated. */
export function shardName(tenant: string, index: number): string {
  return `${tenant}/${index}`;
}

/** Returns the tenant that a shard belongs to. */
export function tenantOfShard(name: string): string {
  return name.slice(0, name.lastIndexOf('/'));
}

/**
 * Returns the limits of a tenant's shards, whose rates and bursts add up to its limit and whose slacks to its
 * slack.
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
