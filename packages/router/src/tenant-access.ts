/** Authenticates requests at an edge of the platform system: finds the tenant that holds the API key. */
import type { Tenant, TenantDirectory } from '@rainrun/configuration';
import type { ClientRequest, RoutedRequest } from './request.js';

/** The tenant of a request, according to one version of the tenant directory. */
export interface Identity {
  /** Undefined where the configuration has no tenants, so that requests need no key. */
  readonly directory: TenantDirectory | undefined;
  /** The tenant that holds the request's key; undefined if none does. */
  readonly tenant: Tenant | undefined;
}

/** The result of looking up the API key of a request again, after the configuration may have changed. */
export type ReauthenticationResult =
  /** The key belongs to the same tenant as before. */
  | 'same'
  /** The request belongs to another tenant from now on, or to none. */
  | 'other-tenant'
  /** No tenant holds the key any more, and the route requires one. */
  | 'denied';

const NO_TENANTS: Identity = { directory: undefined, tenant: undefined };

/**
 * Looks up the API key of each request in the current tenant directory. Nothing is cached per connection, so
 * that a key which a new configuration drops is not served on any connection.
 * @example
 * const access = new TenantAccess(() => replica.tenants);
 * access.isUnauthenticated(access.identify(clientRequest)); // true: no tenant holds its key
 */
export class TenantAccess {
  #directory: () => TenantDirectory | undefined;

  constructor(directory: () => TenantDirectory | undefined) {
    this.#directory = directory;
  }

  /** Looks up the tenant of a new request. */
  identify(clientRequest: ClientRequest): Identity {
    const directory = this.#directory();
    if (directory === undefined) return NO_TENANTS;
    return { directory, tenant: directory.holderOf(clientRequest.apiKey) };
  }

  /** Whether keys are required and the request has none that belongs to a tenant. */
  isUnauthenticated({ directory, tenant }: Identity): boolean {
    return directory !== undefined && tenant === undefined;
  }

  /** Looks up a request's key again if the directory has changed, and updates the request's tenant. */
  reauthenticate(request: RoutedRequest): ReauthenticationResult {
    if (request.directory === this.#directory()) return 'same';
    const identity = this.identify(request.clientRequest);
    if (this.isUnauthenticated(identity) && !request.route.public) return 'denied';
    const isSameTenant = identity.tenant?.name === request.tenant?.name;
    request.directory = identity.directory;
    request.tenant = identity.tenant;
    return isSameTenant ? 'same' : 'other-tenant';
  }
}
