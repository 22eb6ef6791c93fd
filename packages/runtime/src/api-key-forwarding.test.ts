import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { testDocument } from './testing/edge-under-test.js';
import type { ClientResponse } from './testing/raw-client.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 20_000 };
const ONE = { name: 'one', apiKeys: ['key-1'] };
const TWO = { name: 'two', apiKeys: ['key-2'] };

describe('a key on its way through an edge', () => {
  let trial: RoutingHarness;

  afterEach(() => trial.close());

  /** Asks on the trial's connection; the worker answers what reaches it. */
  async function ask(
    path: string,
    headers: readonly string[],
    client = trial.client,
  ): Promise<ClientResponse & { readonly holder: string | undefined; readonly sent: string }> {
    const id = trial.requestIdFor('w0');
    client.request({ id, path, headers });
    let worker: { readonly holder: string | undefined; readonly sent: string } = {
      holder: undefined,
      sent: '',
    };
    const answered = client.next();
    const called = trial.nextCall().then((call) => {
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
    return trial.edge.core.configure(testDocument({ tenants }));
  }

  it('reaches no worker, and a forged name of a tenant is replaced', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE, TWO] });
    const { status, holder, sent } = await ask('/often/x', ['KEY: key-1', 'Holder: two', 'X-Own: kept']);
    expect([status, holder]).toEqual([200, 'one']);
    expect([sent.includes('key-1'), sent.includes('two'), sent.includes('x-own: kept')]).toEqual([
      false,
      false,
      true,
    ]);
  });

  it('reaches no worker where the configuration has no tenants, nor does a forged name', LIMIT, async () => {
    trial = await RoutingHarness.open(1);
    const { status, holder, sent } = await ask('/often/x', ['Key: key-1', 'Holder: two']);
    expect([status, holder, sent.includes('key-1')]).toEqual([200, undefined, false]);
  });

  it('gets 401 where no tenant holds it, where there is none, and where there are two', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE, TWO] });
    const heads = [['Key: key-9'], [], ['Key: key-1', 'key: key-2'], ['Key: key-1', 'Key: key-1'], ['Key:']];
    const statuses: number[] = [];
    for (const headers of heads) {
      trial.client.request({ id: trial.requestIdFor('w0'), path: '/often/x', headers });
      statuses.push((await trial.client.next()).status);
    }
    expect([statuses, trial.worker('w0').received.length]).toEqual([[401, 401, 401, 401, 401], 0]);
  });

  it('and the name of its tenant are UTF-8 on the wire, beyond ASCII too', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [{ name: 'Vējsargs', apiKeys: ['kéy'] }] });
    const utf8 = Buffer.from('Key: kéy').toString('latin1');
    const { status, holder } = await ask('/often/x', [utf8]);
    trial.client.request({ id: trial.requestIdFor('w0'), path: '/often/x', headers: ['Key: key'] });
    const other = await trial.client.next();
    expect([status, Buffer.from(holder ?? '', 'latin1').toString(), other.status]).toEqual([
      200,
      'Vējsargs',
      401,
    ]);
  });

  it('is not needed on a public route, to which a forged name does not help either', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE] });
    const { status, holder } = await ask('/open/x', ['Holder: one']);
    expect([status, holder]).toEqual([200, undefined]);
  });

  it('that is dropped is not served on, on any connection that is open', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE, TWO] });
    const other = await trial.edge.connect();
    const before = [await ask('/often/x', ['Key: key-2']), await ask('/often/x', ['Key: key-2'], other)];
    await apply([ONE]);
    const statuses: number[] = [];
    for (const client of [trial.client, other]) {
      client.request({ id: trial.requestIdFor('w0'), path: '/often/x', headers: ['Key: key-2'] });
      statuses.push((await client.next()).status);
    }
    const kept = await ask('/often/x', ['Key: key-1'], other);
    expect([before.map(({ status }) => status), statuses, kept.holder]).toEqual([
      [200, 200],
      [401, 401],
      'one',
    ]);
  });

  it('that passes to another tenant is served as that one on the same connection', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE, TWO] });
    const before = await ask('/often/x', ['Key: key-2']);
    await apply([{ name: 'heir', apiKeys: ['key-1', 'key-2'] }]);
    const after = await ask('/often/x', ['Key: key-2']);
    expect([before.holder, after.holder]).toEqual(['two', 'heir']);
  });

  it('of one request is not that of the next on the same connection', LIMIT, async () => {
    trial = await RoutingHarness.open(1, { tenants: [ONE, TWO] });
    const holders = [await ask('/often/x', ['Key: key-1']), await ask('/often/x', ['Key: key-2'])];
    trial.client.request({ id: trial.requestIdFor('w0'), path: '/often/x' });
    const bare = await trial.client.next();
    expect([holders.map(({ holder }) => holder), bare.status]).toEqual([['one', 'two'], 401]);
  });
});
