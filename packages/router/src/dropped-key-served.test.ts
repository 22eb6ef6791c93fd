import { describe, it } from 'node:test';
import { expect } from 'earl';
import { valueOf } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker, type SentRequest } from './testing/router-harness.js';

const KEPT = { name: 'one', apiKeys: ['key-1'] };
const DROPPED = { name: 'two', apiKeys: ['key-2'] };

function withTenants(...workers: readonly string[]): RouterHarness {
  const harness = new RouterHarness(workers.map((id) => worker(id)));
  harness.haveTenants([KEPT, DROPPED]);
  return harness;
}

/** Earns budget for retries with requests of a tenant that stays. */
function earn(harness: RouterHarness): void {
  for (let done = 0; done < 5; done += 1) {
    harness.submit('/once/x', { apiKey: 'key-1' });
    harness.last().start();
    harness.last().answer(200, 'ok');
  }
}

function holderOf(sent: SentRequest): string | undefined {
  return valueOf(sent.request.headers, HEADER_NAMES.tenant);
}

describe('a request whose key is dropped', () => {
  it('is rejected with 401 when it comes after the configuration that drops it', () => {
    const harness = withTenants('w1');
    harness.submit('/once/x', { apiKey: 'key-2' });
    harness.haveTenants([KEPT]);
    expect([
      harness.submit('/once/x', { apiKey: 'key-2' }).sink.seen,
      harness.submit('/once/x', { apiKey: 'key-1' }).sink.seen,
    ]).toEqual([['refuse 401'], []]);
  });

  it('is rejected with 401 at once while it waits for a worker, and is never sent', () => {
    const harness = withTenants();
    const dropped = harness.submit('/once/x', { apiKey: 'key-2' }).sink;
    const kept = harness.submit('/once/x', { apiKey: 'key-1' }).sink;
    harness.haveTenants([KEPT]);
    const atOnce = [[...dropped.seen], [...kept.seen]];
    harness.put(worker('w1'));
    harness.later(20);
    expect([atOnce, harness.link.sent.map(holderOf)]).toEqual([[['refuse 401'], []], ['one']]);
  });

  it('is not sent when it is dropped between the choice of a worker and the first byte', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/once/x', { apiKey: 'key-2' });
    const sent = harness.last();
    harness.haveTenants([KEPT]);
    const started = sent.start();
    sent.handler.failed(false, 'withheld');
    expect([started, sink.seen, harness.router.inFlight]).toEqual([false, ['refuse 401'], 0]);
  });

  it('goes on where a worker is at work on it', () => {
    const harness = withTenants('w1');
    const { sink } = harness.submit('/tell/x', { apiKey: 'key-2' });
    harness.last().start();
    harness.last().openStream('s1');
    harness.haveTenants([KEPT]);
    harness.last().events('id: 1\ndata: a\n\n');
    harness.last().handler.end();
    expect(sink.seen).toEqual(['open 200 s1', 'close']);
  });

  it('is not sent again after a failure: 502, since a worker may have run it', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/often/x', { apiKey: 'key-2' });
    harness.last().start();
    harness.haveTenants([KEPT]);
    harness.last().handler.failed(true, 'reset');
    harness.later(100);
    expect([harness.link.sent.length - sends, sink.seen]).toEqual([1, ['refuse 502']]);
  });

  it('is not sent again after a worker that has not run it: 401', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/often/x', { apiKey: 'key-2' });
    harness.last().start();
    harness.haveTenants([KEPT]);
    harness.last().decline(503);
    harness.later(100);
    expect([harness.link.sent.length - sends, sink.seen]).toEqual([1, ['refuse 401']]);
  });

  it('is not resumed at another worker: its client sees that the stream is cut', () => {
    const harness = withTenants('w1', 'w2');
    earn(harness);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/talk/x', { apiKey: 'key-2' });
    harness.last().start();
    harness.last().openStream('s1');
    harness.last().events('id: 1\ndata: a\n\n');
    harness.haveTenants([KEPT]);
    harness.last().handler.failed(true, 'reset');
    harness.later(300);
    expect([harness.link.sent.length - sends, sink.seen]).toEqual([1, ['open 200 s1', 'cut']]);
  });

  it('is served as nobody on a public route', () => {
    const harness = withTenants();
    harness.submit('/open/x', { apiKey: 'key-2' });
    harness.haveTenants([KEPT]);
    harness.put(worker('w1'));
    harness.later(20);
    expect(harness.link.sent.map(holderOf)).toEqual([undefined]);
  });

  it('is rejected with 401 also where keys are needed from now on and it has none', () => {
    const harness = new RouterHarness([]);
    const { sink } = harness.submit('/once/x');
    harness.haveTenants([KEPT]);
    expect(sink.seen).toEqual(['refuse 401']);
  });
});

describe('a request whose key passes to another tenant', () => {
  const MOVED = [{ name: 'heir', apiKeys: ['key-2'] }];

  it('is sent as that one from then on, also where it waited', () => {
    const harness = withTenants();
    harness.submit('/once/x', { apiKey: 'key-2' });
    harness.haveTenants(MOVED);
    harness.put(worker('w1'));
    harness.later(20);
    harness.submit('/once/x', { apiKey: 'key-2' });
    expect(harness.link.sent.map(holderOf)).toEqual(['heir', 'heir']);
  });

  it('is not sent under the former name when it passes before the first byte', () => {
    const harness = withTenants('w1');
    harness.submit('/once/x', { apiKey: 'key-2' });
    const first = harness.last();
    harness.haveTenants(MOVED);
    const started = first.start();
    first.handler.failed(false, 'withheld');
    const second = harness.last();
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
    const first = harness.last();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    harness.haveTenants(MOVED);
    first.handler.failed(true, 'reset');
    expect([holderOf(first), holderOf(harness.last())]).toEqual(['two', 'heir']);
  });
});
