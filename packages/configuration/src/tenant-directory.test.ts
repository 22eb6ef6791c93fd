import { describe, it } from 'node:test';
import { inspect } from 'node:util';
import { expect } from 'earl';
import fc from 'fast-check';
import { TenantDirectory, withoutApiKeys, TENANT_SECRET_BYTES } from './tenant-directory.js';
import { checkConfiguration, type TenantEntry } from './configuration.js';

const SECRET = new Uint8Array(TENANT_SECRET_BYTES).fill(3);

/** Tenants of which no two share a key, as the check of a configuration guarantees. */
const TENANTS: fc.Arbitrary<TenantEntry[]> = fc
  .uniqueArray(fc.string({ minLength: 1, maxLength: 40 }), { maxLength: 24 })
  .chain((keys) =>
    fc.array(fc.nat({ max: 4 }), { minLength: keys.length, maxLength: keys.length }).map((holders) =>
      Array.from({ length: 5 }, (_, tenant) => ({
        name: `tenant-${tenant}`,
        apiKeys: keys.filter((_key, index) => holders[index] === tenant),
        ratePerS: tenant,
        burst: 2 * tenant,
      })),
    ),
  );

describe('the look-up of an API key', () => {
  it('finds exactly the tenant that lists the key, and none for any other text', () => {
    fc.assert(
      fc.property(TENANTS, fc.string(), (tenants, other) => {
        const directory = new TenantDirectory(tenants, SECRET);
        for (const { name, apiKeys } of tenants)
          for (const key of apiKeys ?? []) expect(directory.holderOf(key)?.name).toEqual(name);
        const holder = tenants.find(({ apiKeys }) => apiKeys?.includes(other) === true);
        expect(directory.holderOf(other)?.name).toEqual(holder?.name);
      }),
    );
  });

  it('finds no tenant for a missing or empty key, or a prefix, extension or other case of a key', () => {
    const directory = new TenantDirectory(
      [{ name: 'one', apiKeys: ['key-1'], ratePerS: 0, burst: 0 }],
      SECRET,
    );
    const found = [undefined, '', 'key-', 'key-12', 'KEY-1', ' key-1'].map((key) => directory.holderOf(key));
    expect(found.filter((tenant) => tenant !== undefined)).toEqual([]);
  });
});

describe('a tenant in the directory', () => {
  it('has its limits and priority, or limits of 0 and no priority where none are configured', () => {
    const directory = new TenantDirectory(
      [
        { name: 'one', apiKeys: ['key-1'], ratePerS: 3, burst: 4, priority: 2 },
        { name: 'two', apiKeys: ['key-2'], ratePerS: null, burst: null, priority: null },
      ],
      SECRET,
    );
    expect([directory.holderOf('key-1'), directory.holderOf('key-2')]).toEqual([
      { name: 'one', ratePerS: 3, burst: 4, priority: 2 },
      { name: 'two', ratePerS: 0, burst: 0, priority: undefined },
    ]);
  });
});

describe('an API key in plain text', () => {
  it('does not appear when a directory is printed or serialized', () => {
    const directory = new TenantDirectory(
      [{ name: 'one', apiKeys: ['very-secret'], ratePerS: 0, burst: 0 }],
      SECRET,
    );
    const printed = [
      inspect(directory, { depth: null, showHidden: true }),
      JSON.stringify(directory),
      JSON.stringify(directory.holderOf('very-secret')),
    ];
    expect(printed.filter((text) => text.includes('very-secret'))).toEqual([]);
  });

  it('is removed from a document, while everything else in it stays', () => {
    const document = {
      revision: 1,
      more: 'kept',
      routes: [],
      services: [],
      tenants: [{ name: 'one', apiKeys: ['very-secret'], note: 'kept' }, 'odd', null],
    };
    expect(withoutApiKeys(document)).toEqual({
      ...document,
      tenants: [{ name: 'one', note: 'kept' }, 'odd', null],
    });
    expect(withoutApiKeys({ revision: 1, tenants: null })).toEqual({ revision: 1, tenants: null });
  });

  it('is not needed for a document to be valid, with tenants or with an empty list of them', () => {
    const document = { revision: 1, routes: [], services: [] };
    const lists = [[], [{ name: 'one', apiKeys: ['key-1'], ratePerS: 3 }]];
    const valid = lists.map((tenants) => checkConfiguration(withoutApiKeys({ ...document, tenants })).isOk);
    expect(valid).toEqual([true, true]);
  });
});
