/** Finds the tenant that owns an API key, without keeping any key in plain text. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { TenantEntry } from './configuration.js';
import type { ConfigurationDocument } from './deployment.js';

/** A tenant as request admission knows it: without its API keys. */
export interface Tenant {
  readonly name: string;
  /** Requests per second over all edges together; 0 means no limit. */
  readonly ratePerS: number;
  /** Requests beyond the rate that the tenant may send at once after an idle time. */
  readonly burst: number;
  /** Priority of the tenant, 0 being the highest; undefined if the configuration sets none. */
  readonly priority: number | undefined;
}

/** Length in bytes of the secret under which API keys are hashed. */
export const TENANT_SECRET_BYTES = 32;

interface HashedKey {
  readonly digest: Buffer;
  readonly tenant: Tenant;
}

/**
 * Looks up the tenants of one configuration by API key or name. Keys are kept as HMAC-SHA256 under a secret
 * of this process only, so that neither a memory dump nor the time of a look-up reveals anything about them.
 * @example
 * const directory = new TenantDirectory(configuration.tenants, secret);
 * directory.holderOf('key-1')?.name; // 'tenant-1'
 */
export class TenantDirectory {
  #secret: Uint8Array;
  #keys = new Map<string, HashedKey>();
  #byName = new Map<string, Tenant>();

  constructor(tenants: readonly TenantEntry[], secret: Uint8Array) {
    this.#secret = secret;
    for (const entry of tenants) {
      const tenant = tenantOf(entry);
      this.#byName.set(tenant.name, tenant);
      for (const apiKey of entry.apiKeys ?? []) {
        const digest = this.#digest(apiKey);
        this.#keys.set(indexKeyOf(digest), { digest, tenant });
      }
    }
  }

  /** Returns the tenant that owns a key; undefined if no tenant does, or if the key is missing or empty. */
  holderOf(apiKey: string | undefined): Tenant | undefined {
    if (apiKey === undefined || apiKey === '') return undefined;
    const digest = this.#digest(apiKey);
    const known = this.#keys.get(indexKeyOf(digest));
    return known !== undefined && timingSafeEqual(known.digest, digest) ? known.tenant : undefined;
  }

  /** Returns the tenant of a name; undefined if the configuration has none of that name. */
  tenantNamed(name: string): Tenant | undefined {
    return this.#byName.get(name);
  }

  #digest(apiKey: string): Buffer {
    return createHmac('sha256', this.#secret).update(apiKey).digest();
  }
}

function indexKeyOf(digest: Buffer): string {
  return digest.toString('latin1');
}

/**
 * Converts a tenant entry of the configuration to a tenant without API keys.
 * @example
 * tenantOf({ name: 'tenant-1', apiKeys: ['key-1'], ratePerS: null, burst: null }).ratePerS; // 0
 */
export function tenantOf({ name, ratePerS, burst, priority }: TenantEntry): Tenant {
  return { name, ratePerS: ratePerS ?? 0, burst: burst ?? 0, priority: priority ?? undefined };
}

/**
 * Returns a document without the API keys of its tenants; everything else in it stays.
 * @example
 * withoutApiKeys({ revision: 1, tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }] });
 * // { revision: 1, tenants: [{ name: 'tenant-1' }] }
 */
export function withoutApiKeys(document: ConfigurationDocument): ConfigurationDocument {
  const { tenants } = document;
  if (!Array.isArray(tenants)) return document;
  return { ...document, tenants: tenants.map(withoutTenantKeys) };
}

function withoutTenantKeys(entry: unknown): unknown {
  if (typeof entry !== 'object' || entry === null) return entry;
  return Object.fromEntries(Object.entries(entry).filter(([name]) => name !== 'apiKeys'));
}
