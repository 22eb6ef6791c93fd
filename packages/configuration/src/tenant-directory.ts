/** Finds the tenant that holds an API key, without holding any key in plain. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { TenantEntry } from './configuration.js';
import type { ConfigurationDocument } from './deployment.js';

/** A tenant as it is known where requests are admitted: without its keys. */
export interface Tenant {
  readonly name: string;
  /** Requests per second over all edges together; 0: no limit. */
  readonly ratePerS: number;
  /** Requests above the rate that it may send at once after a rest. */
  readonly burst: number;
  /** 0 is highest; undefined where the configuration names none. */
  readonly priority: number | undefined;
}

/** Length of the secret under which keys are hashed, in bytes. */
export const TENANT_SECRET_BYTES = 32;

interface HashedKey {
  readonly digest: Buffer;
  readonly tenant: Tenant;
}

/**
 * The tenants of one configuration by their keys. Keys are held as HMAC-SHA256 under a secret of this process only,
 * so that neither a dump nor the time that a look-up takes tells anything of them.
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

  /** The tenant that holds a key; undefined if none does, or without a key. */
  holderOf(apiKey: string | undefined): Tenant | undefined {
    if (apiKey === undefined || apiKey === '') return undefined;
    const digest = this.#digest(apiKey);
    const known = this.#keys.get(indexKeyOf(digest));
    return known !== undefined && timingSafeEqual(known.digest, digest) ? known.tenant : undefined;
  }

  /** A tenant by its name; undefined if the configuration has none of that name. */
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
 * A tenant as it is configured, without its keys.
 * @example
 * tenantOf({ name: 'tenant-1', apiKeys: ['key-1'], ratePerS: null, burst: null }).ratePerS; // 0
 */
export function tenantOf({ name, ratePerS, burst, priority }: TenantEntry): Tenant {
  return { name, ratePerS: ratePerS ?? 0, burst: burst ?? 0, priority: priority ?? undefined };
}

/**
 * A document without the keys of its tenants, whatever else stands in it.
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
