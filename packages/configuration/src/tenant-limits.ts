/** The limits of tenants that a configuration sets. */
import { checkConfiguration } from './configuration.js';
import type { Deployment } from './deployment.js';

/** The quota of one tenant as it is configured, without its keys. */
export interface TenantLimits {
  readonly name: string;
  /** Requests per second over all edges; 0: no limit. */
  readonly ratePerS: number;
  /** Requests above the rate that it may send at once after a rest. */
  readonly burst: number;
}

/**
 * The limits of the tenants of the configuration in force; none where it has no tenants.
 * @example
 * tenantLimitsOf(state).find(({ name }) => name === 'tenant-1')?.ratePerS;
 */
export function tenantLimitsOf({ document }: Deployment): TenantLimits[] {
  if (!Array.isArray(document?.['tenants'])) return [];
  const checked = checkConfiguration(document);
  if (checked.isErr) return [];
  return (checked.value.tenants ?? []).map(({ name, ratePerS, burst }) => ({
    name,
    ratePerS: ratePerS ?? 0,
    burst: burst ?? 0,
  }));
}
