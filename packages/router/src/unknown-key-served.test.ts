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

function tenantOf(sent: SentRequest): string | undefined {
  return headerValue(sent.request.headers, HEADER_NAMES.tenant);
}

describe('a request without a known API key', () => {
  it('is rejected with 401 at once, on each kind of route, and reaches no worker', () => {
    const harness = withTenants();
    const targets = ['/non-idempotent/x', '/idempotent/x', '/stream/x', '/resumable/x'];
    const answers = targets.flatMap((target) =>
      [undefined, '', 'key-9', 'key-1 ', 'KEY-1'].map(
        (apiKey) => harness.submit(target, { apiKey }).sink.calls,
      ),
    );
    expect(answers.filter((seen) => seen.join() !== 'reject 401')).toEqual([]);
    expect([harness.link.sent.length, harness.router.waiting]).toEqual([0, 0]);
    expect(harness.router.counts['refused unauthenticated']).toEqual(answers.length);
  });

  it('is rejected with 401 if the list of tenants is empty', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants([]);
    expect(harness.submit('/non-idempotent/x', { apiKey: 'key-1' }).sink.calls).toEqual(['reject 401']);
  });

  it('is served on a public route, without a tenant', () => {
    const harness = withTenants();
    const tenants = [undefined, 'key-9', 'key-2'].map((apiKey) => {
      harness.submit('/public/x', { apiKey });
      return tenantOf(harness.lastSent());
    });
    expect(tenants).toEqual([undefined, undefined, 'two']);
  });

  it('gets 401 also for a missing route, where a request with a known key gets 404', () => {
    const harness = withTenants();
    const answers = [undefined, 'key-9', 'key-1'].map(
      (apiKey) => harness.submit('/unknown/x', { apiKey }).sink.status,
    );
    expect(answers).toEqual([401, 401, 404]);
  });

  it('waits for the first configuration, and gets 503, never 401, if none arrives', () => {
    const harness = withTenants();
    harness.configured = false;
    harness.tenants = undefined;
    const { sink } = harness.submit('/non-idempotent/x', { apiKey: 'key-9', deadlineMs: 4000 });
    const initialCalls = [...sink.calls];
    harness.advance(2000);
    expect([initialCalls, sink.calls]).toEqual([[], ['reject 503']]);
  });

  it('is checked against the first configuration if it arrived before that', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.configured = false;
    const known = harness.submit('/non-idempotent/x', { apiKey: 'key-1' });
    const unknown = harness.submit('/non-idempotent/x', { apiKey: 'key-9' });
    harness.configured = true;
    harness.setTenants(TENANTS);
    expect([known.sink.calls, unknown.sink.calls, harness.link.sent.map(tenantOf)]).toEqual([
      [],
      ['reject 401'],
      ['one'],
    ]);
  });

  it('is served if the configuration has no tenants', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants(undefined);
    harness.submit('/non-idempotent/x', { apiKey: 'key-9' });
    expect([harness.link.sent.length, tenantOf(harness.lastSent())]).toEqual([1, undefined]);
  });
});

describe('the API key and a forged tenant name', () => {
  it('do not reach the worker, which is told the tenant that holds the key', () => {
    const harness = withTenants();
    const headers = [
      ['Call-Id', 'q'],
      ['KEY', 'key-1b'],
      ['Holder', 'two'],
      ['holder', 'three'],
    ] as const;
    harness.submit('/non-idempotent/x', { id: 'q', apiKey: 'key-1b', headers });
    const { headers: sent } = harness.lastSent().request;
    const names = sent.filter(([name]) => ['key', 'holder'].includes(name.toLowerCase()));
    expect(names).toEqual([[HEADER_NAMES.tenant, 'one']]);
    expect(JSON.stringify(sent).includes('key-1b')).toEqual(false);
  });

  it('do not reach the worker either if the configuration has no tenants', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.submit('/non-idempotent/x', {
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
