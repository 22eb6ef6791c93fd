import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker, type SentRequest } from './testing/router-harness.js';

const KEPT = { name: 'one', apiKeys: ['key-1'] };
const DROPPED = { name: 'two', apiKeys: ['key-2'] };

function withTenants(...workers: readonly string[]): RouterHarness {
  const harness = new RouterHarness(workers.map((id) => worker(id)));
  harness.setTenants([KEPT, DROPPED]);
  return harness;
}

/** Earns retry budget with requests of a tenant that is not dropped. */
function earn(harness: RouterHarness): void {
  for (let done = 0; done < 5; done += 1) {
    harness.submit('/non-idempotent/x', { apiKey: 'key-1' });
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
  }
}

function tenantOf(sent: SentRequest): string | undefined {
  return headerValue(sent.request.headers, HEADER_NAMES.tenant);
}

describe('a request whose API key is dropped from the configuration', () => {
  it('is rejected with 401 if it arrives after the configuration that drops the key', () => {
    const harness = withTenants('w1');
    harness.submit('/non-idempotent/x', { apiKey: 'key-2' });
    harness.setTenants([KEPT]);
    expect([
      harness.submit('/non-idempotent/x', { apiKey: 'key-2' }).sink.calls,
      harness.submit('/non-idempotent/x', { apiKey: 'key-1' }).sink.calls,
    ]).toEqual([['reject 401'], []]);
  });

  it('is rejected with 401 at once while it waits for a worker, and is never sent', () => {
    const harness = withTenants();
    const dropped = harness.submit('/non-idempotent/x', { apiKey: 'key-2' }).sink;
    const kept = harness.submit('/non-idempotent/x', { apiKey: 'key-1' }).sink;
    harness.setTenants([KEPT]);
    const initialCalls = [[...dropped.calls], [...kept.calls]];
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    expect([initialCalls, harness.link.sent.map(tenantOf)]).toEqual([[['reject 401'], []], ['one']]);
  });

  it('is not sent if its key is dropped between the choice of a worker and the first byte', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/non-idempotent/x', { apiKey: 'key-2' });
    const sent = harness.lastSent();
    harness.setTenants([KEPT]);
    const started = sent.start();
    sent.handler.failed(false, 'withheld');
    expect([started, sink.calls, harness.router.inFlight]).toEqual([false, ['reject 401'], 0]);
  });

  it('continues if a worker is already running it', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/stream/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.lastSent().openStream('s1');
    harness.setTenants([KEPT]);
    harness.lastSent().events('id: 1\ndata: a\n\n');
    harness.lastSent().handler.end();
    expect(sink.calls).toEqual(['open 200 s1', 'close']);
  });

  it('ends with 502 instead of a retry after a failure, since a worker may have run it', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/idempotent/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.setTenants([KEPT]);
    harness.lastSent().handler.failed(true, 'reset');
    harness.advance(100);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['reject 502']]);
  });

  it('ends with 401 instead of a retry after a worker that has not run it', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/idempotent/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.setTenants([KEPT]);
    harness.lastSent().rejectAsNotRun(503);
    harness.advance(100);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['reject 401']]);
  });

  it('is not resumed at another worker: the client sees the stream aborted', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/resumable/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.lastSent().openStream('s1');
    harness.lastSent().events('id: 1\ndata: a\n\n');
    harness.setTenants([KEPT]);
    harness.lastSent().handler.failed(true, 'reset');
    harness.advance(300);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['open 200 s1', 'abort']]);
  });

  it('is served without a tenant on a public route', () => {
    const harness = withTenants();
    harness.submit('/public/x', { apiKey: 'key-2' });
    harness.setTenants([KEPT]);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    expect(harness.link.sent.map(tenantOf)).toEqual([undefined]);
  });

  it('is rejected with 401 if it has no key and a new configuration requires one', () => {
    const harness = new RouterHarness([]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.setTenants([KEPT]);
    expect(sink.calls).toEqual(['reject 401']);
  });
});

describe('a request whose API key moves to another tenant', () => {
  const MOVED = [{ name: 'new-tenant', apiKeys: ['key-2'] }];

  it('is sent under the new tenant from then on, also if it was waiting', () => {
    const harness = withTenants();
    harness.submit('/non-idempotent/x', { apiKey: 'key-2' });
    harness.setTenants(MOVED);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    harness.submit('/non-idempotent/x', { apiKey: 'key-2' });
    expect(harness.link.sent.map(tenantOf)).toEqual(['new-tenant', 'new-tenant']);
  });

  it('is not sent under the former tenant if the key moves before the first byte', () => {
    const harness = withTenants('w1');
    harness.submit('/non-idempotent/x', { apiKey: 'key-2' });
    const first = harness.lastSent();
    harness.setTenants(MOVED);
    const started = first.start();
    first.handler.failed(false, 'withheld');
    const second = harness.lastSent();
    expect([started, second === first, second.start(), tenantOf(second)]).toEqual([
      false,
      false,
      true,
      'new-tenant',
    ]);
  });

  it('is retried and resumed under the new tenant', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    harness.submit('/resumable/x', { apiKey: 'key-2' });
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    harness.setTenants(MOVED);
    first.handler.failed(true, 'reset');
    expect([tenantOf(first), tenantOf(harness.lastSent())]).toEqual(['two', 'new-tenant']);
  });
});
