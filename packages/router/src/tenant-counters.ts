/** Counts the requests of each tenant at one edge of the platform system by outcome, for logs and metrics. */
import type { Tenant } from '@rainrun/configuration';

/** Requests of one tenant since the start of this edge. */
export interface TenantCounts {
  taken: number;
  /** Attempts that were sent to a worker. */
  sent: number;
  refusedOverQuota: number;
  /** Requests refused for any other reason than the quota. */
  refused: number;
}

/** Most tenants that are counted; bounded because names come from configurations, which change. */
const MAX_TENANTS = 1024;

/**
 * Counts requests by tenant, for the first `MAX_TENANTS` tenants that send any; later ones are not counted.
 * @example
 * counters.increment(request.tenant, 'taken');
 * counters.values; // { 'tenant-1': { taken: 1, sent: 0, refusedOverQuota: 0, refused: 0 } }
 */
export class TenantCounters {
  #counts = new Map<string, TenantCounts>();

  get values(): Readonly<Record<string, TenantCounts>> {
    return Object.fromEntries([...this.#counts].map(([name, counts]) => [name, { ...counts }]));
  }

  /** Increments a counter of a tenant; does nothing for a request without a tenant. */
  increment(tenant: Tenant | undefined, what: keyof TenantCounts): void {
    if (tenant === undefined) return;
    let counts = this.#counts.get(tenant.name);
    if (counts === undefined) {
      if (this.#counts.size >= MAX_TENANTS) return;
      counts = { taken: 0, sent: 0, refusedOverQuota: 0, refused: 0 };
      this.#counts.set(tenant.name, counts);
    }
    counts[what] += 1;
  }
}
