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

/** Earns budget for retries with requests of a tenant that stays. */
function earn(harness: RouterHarness): void {
  for (let done = 0; done < 5; done += 1) {
    harness.submit('/once/x', { apiKey: 'key-1' });
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
  }
}

function holderOf(sent: SentRequest): string | undefined {
  return headerValue(sent.request.headers, HEADER_NAMES.tenant);
}

describe('a request whose key is dropped', () => {
  it('is rejected with 401 when it comes after the configuration that drops it', () => {
    const harness = withTenants('w1');
    harness.submit('/once/x', { apiKey: 'key-2' });
    harness.setTenants([KEPT]);
    expect([
      harness.submit('/once/x', { apiKey: 'key-2' }).sink.calls,
      harness.submit('/once/x', { apiKey: 'key-1' }).sink.calls,
    ]).toEqual([['refuse 401'], []]);
  });

  it('is rejected with 401 at once while it waits for a worker, and is never sent', () => {
    const harness = withTenants();
    const dropped = harness.submit('/once/x', { apiKey: 'key-2' }).sink;
    const kept = harness.submit('/once/x', { apiKey: 'key-1' }).sink;
    harness.setTenants([KEPT]);
    const atOnce = [[...dropped.calls], [...kept.calls]];
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    expect([atOnce, harness.link.sent.map(holderOf)]).toEqual([[['refuse 401'], []], ['one']]);
  });

  it('is not sent when it is dropped between the choice of a worker and the first byte', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/once/x', { apiKey: 'key-2' });
    const sent = harness.lastSent();
    harness.setTenants([KEPT]);
    const started = sent.start();
    sent.handler.failed(false, 'withheld');
    expect([started, sink.calls, harness.router.inFlight]).toEqual([false, ['refuse 401'], 0]);
  });

  it('goes on where a worker is at work on it', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/tell/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.lastSent().openStream('s1');
    harness.setTenants([KEPT]);
    harness.lastSent().events('id: 1\ndata: a\n\n');
    harness.lastSent().handler.end();
    expect(sink.calls).toEqual(['open 200 s1', 'close']);
  });

  it('is not sent again after a failure: 502, since a worker may have run it', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/often/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.setTenants([KEPT]);
    harness.lastSent().handler.failed(true, 'reset');
    harness.advance(100);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['refuse 502']]);
  });

  it('is not sent again after a worker that has not run it: 401', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/often/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.setTenants([KEPT]);
    harness.lastSent().rejectAsNotRun(503);
    harness.advance(100);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['refuse 401']]);
  });

  it('is not resumed at another worker: its client sees that the stream is cut', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/talk/x', { apiKey: 'key-2' });
    harness.lastSent().start();
    harness.lastSent().openStream('s1');
    harness.lastSent().events('id: 1\ndata: a\n\n');
    harness.setTenants([KEPT]);
    harness.lastSent().handler.failed(true, 'reset');
    harness.advance(300);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['open 200 s1', 'cut']]);
  });

  it('is served as nobody on a public route', () => {
    const harness = withTenants();
    harness.submit('/open/x', { apiKey: 'key-2' });
    harness.setTenants([KEPT]);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    expect(harness.link.sent.map(holderOf)).toEqual([undefined]);
  });

  it('is rejected with 401 also where keys are needed from now on and it has none', () => {
    const harness = new RouterHarness([]);
    const { sink } = harness.submit('/once/x');
    harness.setTenants([KEPT]);
    expect(sink.calls).toEqual(['refuse 401']);
  });
});

describe('a request whose key passes to another tenant', () => {
  const MOVED = [{ name: 'heir', apiKeys: ['key-2'] }];

  it('is sent as that one from then on, also where it waited', () => {
    const harness = withTenants();
    harness.submit('/once/x', { apiKey: 'key-2' });
    harness.setTenants(MOVED);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    harness.submit('/once/x', { apiKey: 'key-2' });
    expect(harness.link.sent.map(holderOf)).toEqual(['heir', 'heir']);
  });

  it('is not sent under the former name when it passes before the first byte', () => {
    const harness = withTenants('w1');
    harness.submit('/once/x', { apiKey: 'key-2' });
    const first = harness.lastSent();
    harness.setTenants(MOVED);
    const started = first.start();
    first.handler.failed(false, 'withheld');
    const second = harness.lastSent();
    expect([started, second === first, second.start(), holderOf(second)]).toEqual([
      false,
      false,
      true,
      'heir',
    ]);
  });

  it('is retried and resumed as that one', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    harness.submit('/talk/x', { apiKey: 'key-2' });
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    harness.setTenants(MOVED);
    first.handler.failed(true, 'reset');
    expect([holderOf(first), holderOf(harness.lastSent())]).toEqual(['two', 'heir']);
  });
});
