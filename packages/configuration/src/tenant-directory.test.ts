import { describe, it } from 'node:test';
import { inspect } from 'node:util';
import { expect } from 'earl';
import fc from 'fast-check';
import { TenantDirectory, withoutApiKeys, TENANT_SECRET_BYTES } from './tenant-directory.js';
import { checkConfiguration, type TenantEntry } from './configuration.js';

const SECRET = new Uint8Array(TENANT_SECRET_BYTES).fill(3);

/** Tenants of which no two share a key, as every configuration in force has them. */
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

describe('a key that is taken for another one', () => {
  it('does not happen: each key has exactly the tenant that lists it, and any other text has none', () => {
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

  it('does not happen for a missing or an empty key, a prefix of a key, or one with more behind it', () => {
    const directory = new TenantDirectory(
      [{ name: 'one', apiKeys: ['key-1'], ratePerS: 0, burst: 0 }],
      SECRET,
    );
    const found = [undefined, '', 'key-', 'key-12', 'KEY-1', ' key-1'].map((key) => directory.holderOf(key));
    expect(found.filter((tenant) => tenant !== undefined)).toEqual([]);
  });
});

describe('a tenant as requests are admitted by it', () => {
  it('has its limits and priority, 0 or none where the configuration names none', () => {
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

describe('a key in plain', () => {
  it('stands in nothing that can be printed of a directory', () => {
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

  it('is taken out of a document, in which all else stays as it was', () => {
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

  it('is not needed for a document to stay valid, with tenants or an empty list of them', () => {
    const document = { revision: 1, routes: [], services: [] };
    const lists = [[], [{ name: 'one', apiKeys: ['key-1'], ratePerS: 3 }]];
    const valid = lists.map((tenants) => checkConfiguration(withoutApiKeys({ ...document, tenants })).isOk);
    expect(valid).toEqual([true, true]);
  });
});
