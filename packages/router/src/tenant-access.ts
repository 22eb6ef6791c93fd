/** Decides by its API key whether a request may be served at an edge of the platform system, and as whose. */
import type { Tenant, TenantDirectory } from '@rainrun/configuration';
import type { ClientRequest, RoutedRequest } from './request.js';

/** Whose a request is, by one directory of tenants. */
export interface Identity {
  /** Undefined where the configuration has no tenants, so that requests need no key. */
  readonly directory: TenantDirectory | undefined;
  /** The tenant that holds the request's key; undefined if none does. */
  readonly tenant: Tenant | undefined;
}

/** What another look at the key of a request says, after another configuration may have come. */
export type ReauthenticationResult =
  | 'same'
  /** It is served as another tenant's from now on, or as nobody's. */
  | 'other-tenant'
  /** No tenant holds its key any more, and its route needs one. */
  | 'denied';

const NO_TENANTS: Identity = { directory: undefined, tenant: undefined };

/**
 * Looks the key of each request up in the directory in force. Nothing is remembered by connection, so that a key that
 * a configuration drops is not served on any.
 * @example
 * const access = new TenantAccess(() => replica.tenants);
 * access.isStranger(access.identify(clientRequest)); // true: no tenant holds its key
 */
export class TenantAccess {
  #directory: () => TenantDirectory | undefined;

  constructor(directory: () => TenantDirectory | undefined) {
    this.#directory = directory;
  }

  /** Whose a new request is. */
  identify(clientRequest: ClientRequest): Identity {
    const directory = this.#directory();
    if (directory === undefined) return NO_TENANTS;
    return { directory, tenant: directory.holderOf(clientRequest.apiKey) };
  }

  /** Whether a key is needed, and the request has none that a tenant holds. */
  isUnauthenticated({ directory, tenant }: Identity): boolean {
    return directory !== undefined && tenant === undefined;
  }

  /** Looks a request's key up again if another directory came into force, and takes over whose it is now. */
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
