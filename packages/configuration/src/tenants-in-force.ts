/** Reads the tenants of the configuration in force from a deployment's state. */
import { checkedConfiguration } from './configuration.js';
import type { Deployment } from './deployment.js';
import { tenantOf, type Tenant } from './tenant-directory.js';

/**
 * Returns the tenants of the configuration in force, without their API keys; an empty list if it has none.
 * @example
 * tenantsOf(state).find(({ name }) => name === 'tenant-1')?.ratePerS;
 */
export function tenantsOf({ document }: Deployment): Tenant[] {
  return (checkedConfiguration(document)?.tenants ?? []).map(tenantOf);
}
