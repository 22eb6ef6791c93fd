import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkConfiguration } from './configuration.js';
import { applyToDeployment, checkOperation, EMPTY_DEPLOYMENT, type Deployment } from './deployment.js';
import { decodeDeployment } from './deployment-codec.js';

type Document = Record<string, unknown>;
type ApplyResult = ReturnType<typeof applyToDeployment>;

/** Part of every API key in these tests, so that any outcome that contains it shows a key. */
const SECRET = 'sk-secret';
const KEY_1 = `${SECRET}-1`;
const KEY_2 = `${SECRET}-2`;
const KEY_3 = `${SECRET}-3`;

function tenant(name: string, apiKeys: unknown, change: Document = {}): Document {
  return { name, apiKeys, ratePerS: 10, burst: 5, ...change };
}

function document(revision: number, tenants: unknown): Document {
  const route = { name: 'one', host: 'a.example', prefix: '/', service: 'assist', timeoutMs: 1000 };
  return { revision, routes: [route], services: [{ name: 'assist' }], tenants };
}

function put(state: Deployment, base: number, sent: Document): ApplyResult {
  const payload = JSON.stringify({ base, document: sent });
  return applyToDeployment(state, { kind: 'configuration.put', payload });
}

function patch(state: Deployment, change: Document): ApplyResult {
  const payload = JSON.stringify({
    base: state.revision,
    patch: { revision: state.revision + 1, ...change },
  });
  return applyToDeployment(state, { kind: 'configuration.patch', payload });
}

/** Returns a state at revision 5 with the tenants `north` and `south`, which have one key each. */
function withTwoTenants(): Deployment {
  return put(EMPTY_DEPLOYMENT, 0, document(5, [tenant('north', [KEY_1]), tenant('south', [KEY_2])])).state;
}

function faultOf(tenants: unknown): string {
  const checked = checkConfiguration(document(1, tenants));
  return checked.isOk ? 'none' : `${checked.error.kind}: ${checked.error.detail}`;
}

function keysOf(state: Deployment): unknown[] {
  return (state.document?.['tenants'] as Document[]).map(({ name, apiKeys }) => [name, apiKeys]);
}

describe('a configuration with tenants: a key shared by two tenants', () => {
  it('is refused by PUT with a message that names both tenants and shows no key', () => {
    const { state, outcome } = put(
      withTwoTenants(),
      5,
      document(6, [tenant('north', [KEY_1, KEY_2]), tenant('south', [KEY_3, KEY_2])]),
    );
    expect([outcome.kind, state.revision]).toEqual(['bad-spec', 5]);
    expect(outcome.detail).toEqual('tenants.1 (south): shares a key with "north"');
  });

  it('is refused by the check before the operation is proposed', () => {
    const sent = document(6, [tenant('north', [KEY_1]), tenant('south', [KEY_1])]);
    expect(checkOperation('configuration.put', { base: 5, document: sent }).isErr).toEqual(true);
  });

  it('is refused in a PATCH that adds a tenant with the key of another one', () => {
    const { state, outcome } = patch(withTwoTenants(), {
      set: { tenants: [tenant('west', [KEY_3, KEY_1])] },
    });
    expect([outcome.kind, outcome.detail]).toEqual([
      'bad-spec',
      'tenants.2 (west): shares a key with "north"',
    ]);
    expect(state.revision).toEqual(5);
  });

  it('is refused in a PATCH that changes a tenant to have the key of another one', () => {
    const { outcome } = patch(withTwoTenants(), { set: { tenants: [tenant('south', [KEY_2, KEY_1])] } });
    expect(outcome.kind).toEqual('bad-spec');
  });

  it('is refused in a PATCH that adds two tenants with the same new key', () => {
    const set = { tenants: [tenant('west', [KEY_3]), tenant('east', [KEY_3])] };
    expect(patch(withTwoTenants(), { set }).outcome.kind).toEqual('bad-spec');
  });

  it('is refused with a fault for each further tenant where three tenants share it', () => {
    const fault = faultOf([tenant('a', [KEY_1]), tenant('b', [KEY_1]), tenant('c', [KEY_1])]);
    expect(fault.split('\n').length).toEqual(2);
  });

  it('is not reported for a PATCH that moves a key from one tenant to another', () => {
    const moved = patch(withTwoTenants(), {
      set: { tenants: [tenant('north', []), tenant('south', [KEY_2, KEY_1])] },
    });
    expect([moved.outcome.kind, keysOf(moved.state)]).toEqual([
      'agreed',
      [
        ['north', []],
        ['south', [KEY_2, KEY_1]],
      ],
    ]);
  });

  it('is not reported for a PATCH in which two tenants swap their keys', () => {
    const set = { tenants: [tenant('south', [KEY_1]), tenant('north', [KEY_2])] };
    expect(patch(withTwoTenants(), { set }).outcome.kind).toEqual('agreed');
  });

  it('is not reported for a PATCH that removes the owner of a key and adds the key to another tenant', () => {
    const change = { set: { tenants: [tenant('west', [KEY_1])] }, drop: { tenants: ['north'] } };
    const { state, outcome } = patch(withTwoTenants(), change);
    expect([outcome.kind, keysOf(state)]).toEqual([
      'agreed',
      [
        ['south', [KEY_2]],
        ['west', [KEY_1]],
      ],
    ]);
  });

  it('is not reported where one tenant lists a key twice, and the list is kept as it was sent', () => {
    const { state, outcome } = put(EMPTY_DEPLOYMENT, 0, document(5, [tenant('north', [KEY_1, KEY_1])]));
    expect([outcome.kind, keysOf(state)]).toEqual(['agreed', [['north', [KEY_1, KEY_1]]]]);
  });

  it('is not reported for keys that differ in case or spaces', () => {
    const tenants = [tenant('north', ['Key']), tenant('south', ['key']), tenant('west', [' key'])];
    expect(faultOf(tenants)).toEqual('none');
  });
});

describe('a configuration with tenants: an invalid configuration', () => {
  const invalid: [description: string, tenants: unknown, pattern: RegExp][] = [
    ['an empty key', [tenant('a', [''])], /tenants\.0\.apiKeys\.0/],
    ['a key that is a number', [tenant('a', [7_654_321])], /tenants\.0\.apiKeys\.0/],
    ['a key that is null', [tenant('a', [null])], /tenants\.0\.apiKeys\.0/],
    ['a key that is an object', [tenant('a', [{ [SECRET]: SECRET }])], /tenants\.0\.apiKeys\.0/],
    ['a key in place of the list', [tenant('a', SECRET)], /tenants\.0\.apiKeys/],
    ['an object in place of the list of keys', [tenant('a', { [SECRET]: SECRET })], /tenants\.0\.apiKeys/],
    ['a key in place of a tenant', [SECRET], /tenants\.0/],
    ['a key in place of all tenants', SECRET, /tenants/],
    ['an object in place of the list of tenants', { a: tenant('a', [SECRET]) }, /tenants/],
    ['a tenant without a name', [{ apiKeys: [KEY_1] }], /tenants\.0\.name/],
    ['a tenant with an empty name', [tenant('', [KEY_1])], /tenants\.0\.name/],
    ['a tenant named by a number', [tenant('a', [KEY_1], { name: 5 })], /tenants\.0\.name/],
    ['two tenants of one name', [tenant('a', [KEY_1]), tenant('a', [KEY_2])], /tenants\.1 \(a\)/],
    ['two tenants of one name and one key', [tenant('a', [KEY_1]), tenant('a', [KEY_1])], /tenants\.1 \(a\)/],
    ['a rate below 0', [tenant('a', [KEY_1], { ratePerS: -1 })], /tenants\.0\.ratePerS/],
    ['a rate that is no number', [tenant('a', [KEY_1], { ratePerS: SECRET })], /tenants\.0\.ratePerS/],
    ['an infinite rate', [tenant('a', [KEY_1], { ratePerS: Infinity })], /tenants\.0\.ratePerS/],
    ['a rate of NaN', [tenant('a', [KEY_1], { ratePerS: NaN })], /tenants\.0\.ratePerS/],
    ['a burst below 0', [tenant('a', [KEY_1], { burst: -0.5 })], /tenants\.0\.burst/],
    ['an infinite burst', [tenant('a', [KEY_1], { burst: Infinity })], /tenants\.0\.burst/],
    ['a burst that is a list', [tenant('a', [KEY_1], { burst: [SECRET] })], /tenants\.0\.burst/],
    ['a priority below 0', [tenant('a', [KEY_1], { priority: -1 })], /tenants\.0\.priority/],
  ];
  for (const [description, tenants, pattern] of invalid) {
    it(`is refused with ${description}, without showing a key`, () => {
      const fault = faultOf(tenants);
      expect([pattern.test(fault), fault.startsWith('bad-spec'), fault.includes(SECRET)]).toEqual([
        true,
        true,
        false,
      ]);
      expect(fault.includes('7654321')).toEqual(false);
    });
  }

  it('is refused by PATCH for the same reasons, and the state stays unchanged', () => {
    const state = withTwoTenants();
    const results = [
      { set: { tenants: [tenant('north', [''])] } },
      { set: { tenants: [tenant('north', [KEY_1], { burst: -1 })] } },
      { set: { tenants: [{ apiKeys: [KEY_3] }] } },
      { set: { tenants: SECRET } },
      { set: { tenants: { [SECRET]: SECRET } } },
      { drop: { tenants: SECRET } },
      { drop: { [SECRET]: SECRET } },
      { drop: SECRET },
      { set: SECRET },
    ].map((change) => patch(state, change));
    expect(results.map(({ outcome }) => outcome.kind)).toEqual(results.map(() => 'bad-spec'));
    expect(results.every((result) => result.state === state)).toEqual(true);
    expect(results.filter(({ outcome }) => outcome.detail.includes(SECRET))).toEqual([]);
  });

  it('is refused without showing a key where an operation or a stored state cannot be decoded', () => {
    for (const cut of [`{"base":5,"x":["${SECRET}",]}`, `{"base":"${SECRET}" 1}`, SECRET]) {
      const { outcome } = applyToDeployment(withTwoTenants(), { kind: 'configuration.put', payload: cut });
      expect([outcome.kind, outcome.detail.includes('secret')]).toEqual(['bad-request', false]);
      const read = decodeDeployment(new TextEncoder().encode(cut));
      expect(read.isErr && !read.error.detail.includes('secret')).toEqual(true);
    }
    const wrong = decodeDeployment(new TextEncoder().encode(`{"edition":"${SECRET}"}`));
    expect(wrong.isErr && !wrong.error.detail.includes(SECRET)).toEqual(true);
  });
});

describe('the tenants of a configuration', () => {
  function tenantsIn(tenants: unknown): unknown {
    const checked = checkConfiguration(document(1, tenants));
    return checked.isOk ? checked.value.tenants : checked.error.detail;
  }

  it('may be absent or null, so that no request needs a key', () => {
    expect([tenantsIn(undefined), tenantsIn(null)]).toEqual([undefined, null]);
  });

  it('may be an empty list, which is kept, so that no key is valid', () => {
    expect(tenantsIn([])).toEqual([]);
  });

  it('have no limit if their rate is 0, null or missing, and no burst if it is null or missing', () => {
    const found = tenantsIn([
      { name: 'none' },
      { name: 'null', apiKeys: null, ratePerS: null, burst: null, priority: null },
      { name: 'large', apiKeys: [KEY_1], ratePerS: 1e15, burst: Number.MAX_SAFE_INTEGER, priority: 0 },
      { name: 'part', ratePerS: 0.25 },
    ]);
    expect(found).toEqual([
      { name: 'none', apiKeys: [], ratePerS: 0, burst: 0 },
      { name: 'null', apiKeys: null, ratePerS: null, burst: null, priority: null },
      { name: 'large', apiKeys: [KEY_1], ratePerS: 1e15, burst: Number.MAX_SAFE_INTEGER, priority: 0 },
      { name: 'part', apiKeys: [], ratePerS: 0.25, burst: 0 },
    ]);
  });

  it('stay an empty list once the last one is removed, so that no key is valid', () => {
    const { state, outcome } = patch(withTwoTenants(), { drop: { tenants: ['north', 'south'] } });
    expect([outcome.kind, state.document?.['tenants']]).toEqual(['agreed', []]);
  });

  it('stay unchanged by a PATCH with null in their place, which would otherwise admit every request', () => {
    const state = withTwoTenants();
    const results = [
      patch(state, { set: { tenants: null } }),
      patch(state, { drop: { tenants: null } }),
      patch(state, { set: { routes: null, services: null, tenants: null }, drop: null }),
    ];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual(['agreed', 'agreed', 'agreed']);
    for (const result of results)
      expect(result.state.document?.['tenants']).toEqual(state.document?.['tenants']);
  });
});
