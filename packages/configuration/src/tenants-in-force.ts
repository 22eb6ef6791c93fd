/** The tenants of the configuration in force. */
import { checkedConfiguration } from './configuration.js';
import type { Deployment } from './deployment.js';
import { tenantOf, type Tenant } from './tenant-directory.js';

/**
 * The tenants of the configuration in force, without their keys; none where it has no tenants.
 * @example
 * tenantsOf(state).find(({ name }) => name === 'tenant-1')?.ratePerS;
 */
export function tenantsOf({ document }: Deployment): Tenant[] {
  return (checkedConfiguration(document)?.tenants ?? []).map(tenantOf);
}
