import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker, type SentRequest } from './testing/router-harness.js';

const TENANTS = [
  { name: 'one', apiKeys: ['key-1', 'key-1b'] },
  { name: 'two', apiKeys: ['key-2'] },
];

function withTenants(): RouterHarness {
  const harness = new RouterHarness([worker('w1'), worker('w2')]);
  harness.setTenants(TENANTS);
  return harness;
}

function holderOf(sent: SentRequest): string | undefined {
  return headerValue(sent.request.headers, HEADER_NAMES.tenant);
}

describe('a request without a known key', () => {
  it('is rejected with 401 at once, on each kind of route, and reaches no worker', () => {
    const harness = withTenants();
    const targets = ['/once/x', '/often/x', '/tell/x', '/talk/x'];
    const answers = targets.flatMap((target) =>
      [undefined, '', 'key-9', 'key-1 ', 'KEY-1'].map(
        (apiKey) => harness.submit(target, { apiKey }).sink.calls,
      ),
    );
    expect(answers.filter((seen) => seen.join() !== 'refuse 401')).toEqual([]);
    expect([harness.link.sent.length, harness.router.waiting]).toEqual([0, 0]);
    expect(harness.router.counts['refused unauthenticated']).toEqual(answers.length);
  });

  it('is rejected with 401 where the list of tenants is empty', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants([]);
    expect(harness.submit('/once/x', { apiKey: 'key-1' }).sink.calls).toEqual(['refuse 401']);
  });

  it('is served on a public route, as nobody', () => {
    const harness = withTenants();
    const holders = [undefined, 'key-9', 'key-2'].map((apiKey) => {
      harness.submit('/open/x', { apiKey });
      return holderOf(harness.lastSent());
    });
    expect(holders).toEqual([undefined, undefined, 'two']);
  });

  it('is not told which routes there are; a known key is told that there is none', () => {
    const harness = withTenants();
    const answers = [undefined, 'key-9', 'key-1'].map(
      (apiKey) => harness.submit('/missing/x', { apiKey }).sink.status,
    );
    expect(answers).toEqual([401, 401, 404]);
  });

  it('waits for a configuration before the first one, and gets 503 where none comes, never 401', () => {
    const harness = withTenants();
    harness.configured = false;
    harness.tenants = undefined;
    const { sink } = harness.submit('/once/x', { apiKey: 'key-9', deadlineMs: 4000 });
    const atOnce = [...sink.calls];
    harness.advance(2000);
    expect([atOnce, sink.calls]).toEqual([[], ['refuse 503']]);
  });

  it('that came before the first configuration is judged by that one', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.configured = false;
    const known = harness.submit('/once/x', { apiKey: 'key-1' });
    const unknown = harness.submit('/once/x', { apiKey: 'key-9' });
    harness.configured = true;
    harness.setTenants(TENANTS);
    expect([known.sink.calls, unknown.sink.calls, harness.link.sent.map(holderOf)]).toEqual([
      [],
      ['refuse 401'],
      ['one'],
    ]);
  });

  it('is served where the configuration has no tenants', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants(undefined);
    harness.submit('/once/x', { apiKey: 'key-9' });
    expect([harness.link.sent.length, holderOf(harness.lastSent())]).toEqual([1, undefined]);
  });
});

describe('a key or a forged name at a worker', () => {
  it('does not come: the worker is told the tenant that holds the key, whatever the client sent', () => {
    const harness = withTenants();
    const headers = [
      ['Call-Id', 'q'],
      ['KEY', 'key-1b'],
      ['Holder', 'two'],
      ['holder', 'three'],
    ] as const;
    harness.submit('/once/x', { id: 'q', apiKey: 'key-1b', headers });
    const { headers: sent } = harness.lastSent().request;
    const names = sent.filter(([name]) => ['key', 'holder'].includes(name.toLowerCase()));
    expect(names).toEqual([[HEADER_NAMES.tenant, 'one']]);
    expect(JSON.stringify(sent).includes('key-1b')).toEqual(false);
  });

  it('does not come either where the configuration has no tenants', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.submit('/once/x', {
      apiKey: 'key-1',
      headers: [
        ['Key', 'key-1'],
        ['Holder', 'one'],
        ['X-Own', 'kept'],
      ],
    });
    const names = harness.lastSent().request.headers.map(([name]) => name.toLowerCase());
    expect([names.includes('key'), names.includes('holder'), names.includes('x-own')]).toEqual([
      false,
      false,
      true,
    ]);
  });
});
