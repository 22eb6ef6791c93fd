import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { testDocument } from './testing/edge-under-test.js';
import type { ClientResponse } from './testing/raw-client.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 20_000 };
const TENANT_ONE = { name: 'one', apiKeys: ['key-1'] };
const TENANT_TWO = { name: 'two', apiKeys: ['key-2'] };

describe('the API key of a request at an edge', () => {
  let harness: RoutingHarness;

  afterEach(() => harness.close());

  /** Sends a request, by default on the harness's connection; the worker answers it if it arrives. */
  async function send(
    path: string,
    headers: readonly string[],
    client = harness.client,
  ): Promise<ClientResponse & { readonly holder: string | undefined; readonly sent: string }> {
    const id = harness.requestIdFor('w0');
    client.request({ id, path, headers });
    let worker: { readonly holder: string | undefined; readonly sent: string } = {
      holder: undefined,
      sent: '',
    };
    const answered = client.next();
    const called = harness.nextCall().then((call) => {
      worker = {
        holder: call.headers.get('holder'),
        sent: [...call.headers].map((header) => header.join(': ')).join('\n'),
      };
      call.respond();
    });
    const answer = await answered;
    if (answer.status === 200) await called;
    return { ...answer, ...worker };
  }

  function apply(tenants: readonly object[]): Promise<void> {
    return harness.edge.core.setConfiguration(testDocument({ tenants }));
  }

  it('is not forwarded to the worker, and a forged tenant name is replaced', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE, TENANT_TWO] });
    const { status, holder, sent } = await send('/often/x', ['KEY: key-1', 'Holder: two', 'X-Own: kept']);
    expect([status, holder]).toEqual([200, 'one']);
    expect([sent.includes('key-1'), sent.includes('two'), sent.includes('x-own: kept')]).toEqual([
      false,
      false,
      true,
    ]);
  });

  it(
    'is not forwarded, nor is a forged tenant name, if the configuration has no tenants',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const { status, holder, sent } = await send('/often/x', ['Key: key-1', 'Holder: two']);
      expect([status, holder, sent.includes('key-1')]).toEqual([200, undefined, false]);
    },
  );

  it('causes 401 if no tenant holds it, if it is missing and if it is repeated', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE, TENANT_TWO] });
    const heads = [['Key: key-9'], [], ['Key: key-1', 'key: key-2'], ['Key: key-1', 'Key: key-1'], ['Key:']];
    const statuses: number[] = [];
    for (const headers of heads) {
      harness.client.request({ id: harness.requestIdFor('w0'), path: '/often/x', headers });
      statuses.push((await harness.client.next()).status);
    }
    expect([statuses, harness.worker('w0').received.length]).toEqual([[401, 401, 401, 401, 401], 0]);
  });

  it('may hold non-ASCII characters as UTF-8, like the name of its tenant', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [{ name: 'Vējsargs', apiKeys: ['kéy'] }] });
    const utf8 = Buffer.from('Key: kéy').toString('latin1');
    const { status, holder } = await send('/often/x', [utf8]);
    harness.client.request({ id: harness.requestIdFor('w0'), path: '/often/x', headers: ['Key: key'] });
    const other = await harness.client.next();
    expect([status, Buffer.from(holder ?? '', 'latin1').toString(), other.status]).toEqual([
      200,
      'Vējsargs',
      401,
    ]);
  });

  it('is not needed on a public route, where a forged tenant name is dropped as well', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE] });
    const { status, holder } = await send('/open/x', ['Holder: one']);
    expect([status, holder]).toEqual([200, undefined]);
  });

  it('causes 401 on every open connection after it is removed from the configuration', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE, TENANT_TWO] });
    const other = await harness.edge.connect();
    const before = [await send('/often/x', ['Key: key-2']), await send('/often/x', ['Key: key-2'], other)];
    await apply([TENANT_ONE]);
    const statuses: number[] = [];
    for (const client of [harness.client, other]) {
      client.request({ id: harness.requestIdFor('w0'), path: '/often/x', headers: ['Key: key-2'] });
      statuses.push((await client.next()).status);
    }
    const kept = await send('/often/x', ['Key: key-1'], other);
    expect([before.map(({ status }) => status), statuses, kept.holder]).toEqual([
      [200, 200],
      [401, 401],
      'one',
    ]);
  });

  it('counts for its new tenant on the same connection after it moves to another tenant', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE, TENANT_TWO] });
    const before = await send('/often/x', ['Key: key-2']);
    await apply([{ name: 'heir', apiKeys: ['key-1', 'key-2'] }]);
    const after = await send('/often/x', ['Key: key-2']);
    expect([before.holder, after.holder]).toEqual(['two', 'heir']);
  });

  it('is not carried over to the next request on the same connection', LIMIT, async () => {
    harness = await RoutingHarness.open(1, { tenants: [TENANT_ONE, TENANT_TWO] });
    const holders = [await send('/often/x', ['Key: key-1']), await send('/often/x', ['Key: key-2'])];
    harness.client.request({ id: harness.requestIdFor('w0'), path: '/often/x' });
    const bare = await harness.client.next();
    expect([holders.map(({ holder }) => holder), bare.status]).toEqual([['one', 'two'], 401]);
  });
});
