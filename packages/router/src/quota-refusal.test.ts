import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

const LIMITED = { name: 'one', apiKeys: ['key'], ratePerS: 10, burst: 5 };
const GRANTED_FOREVER = { kind: 'granted', permit: { endMs: Infinity } } as const;
const OVER = { kind: 'over-quota', retryAfterMs: 400 } as const;

function withQuota(...workers: readonly string[]): RouterHarness {
  const harness = new RouterHarness(workers.map((id) => worker(id)));
  harness.setTenants([LIMITED]);
  return harness;
}

function submit(harness: RouterHarness, target: string) {
  return harness.submit(target, { apiKey: 'key' }).sink;
}

describe('a request over its tenant’s quota', () => {
  it('is rejected at once with 429 and Retry-After, reaches no worker and counts as no demand', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = OVER;
    const sink = harness.submit('/idempotent/x', { apiKey: 'key', model: 'model-1' }).sink;
    expect([sink.status, sink.rejection?.kind, sink.rejection?.retryAfterS]).toEqual([
      429,
      'over-quota',
      0.4,
    ]);
    expect([harness.link.sent.length, harness.router.waiting, harness.router.demands()]).toEqual([0, 0, []]);
  });

  it('is rejected without a retry time if none is known, so that the default Retry-After applies', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = { kind: 'over-quota', retryAfterMs: 0 };
    const { rejection } = submit(harness, '/non-idempotent/x');
    expect([rejection?.kind, rejection?.retryAfterS]).toEqual(['over-quota', undefined]);
  });

  it('is rejected with 429 also if the first answer arrives later', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = undefined;
    const sink = submit(harness, '/non-idempotent/x');
    const before = [...sink.calls];
    harness.permits.requests[0]?.answer(OVER);
    expect([before, sink.status, harness.router.waiting]).toEqual([[], 429, 0]);
  });

  it('leaves its id free for the client’s next attempt', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = OVER;
    harness.submit('/non-idempotent/x', { apiKey: 'key', id: 'same' });
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    const { sink } = harness.submit('/non-idempotent/x', { apiKey: 'key', id: 'same' });
    expect([sink.calls, harness.link.sent.length]).toEqual([[], 1]);
  });

  it('does not block a request of another tenant for the same workers', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants([LIMITED, { name: 'two', apiKeys: ['free'] }]);
    harness.permits.immediateAnswer = undefined;
    submit(harness, '/non-idempotent/x');
    harness.submit('/non-idempotent/x', { apiKey: 'free' });
    harness.advance(20);
    expect([harness.link.sent.length, harness.router.waiting]).toEqual([1, 1]);
  });
});

describe('a request that was admitted under its tenant’s quota', () => {
  it('is never rejected for quota later: it waits, requests a permit again when it may, and is sent', () => {
    const harness = withQuota('w1', 'w2');
    for (let done = 0; done < 5; done += 1) {
      submit(harness, '/non-idempotent/x');
      harness.lastSent().start();
      harness.lastSent().answer(200, 'ok');
    }
    const sink = submit(harness, '/idempotent/x');
    harness.lastSent().start();
    harness.permits.immediateAnswer = OVER;
    const asked = harness.permits.requests.length;
    harness.lastSent().handler.failed(true, 'reset');
    const sends = harness.link.sent.length;
    harness.advance(200);
    const early = harness.permits.requests.length - asked;
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    harness.advance(200);
    const started = harness.lastSent().start();
    harness.lastSent().answer(200, 'late');
    expect([early, harness.permits.requests.length - asked, harness.link.sent.length - sends]).toEqual([
      1, 2, 1,
    ]);
    expect([started, sink.calls]).toEqual([true, ['respond 200 late']]);
  });

  it('expires without a permit with 504 if it may have run, and with 503 if not', () => {
    const statuses = [true, false].map((mayHaveRun) => {
      const harness = withQuota('w1', 'w2');
      harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 100 } };
      harness.earnRetryBudget(0);
      const sink = submit(harness, '/idempotent/x');
      if (mayHaveRun) harness.lastSent().start();
      harness.permits.immediateAnswer = OVER;
      harness.nowMs += 100;
      if (mayHaveRun) harness.lastSent().handler.failed(true, 'reset');
      else if (!harness.lastSent().start()) harness.lastSent().handler.failed(false, 'withheld');
      for (let turn = 0; turn < 8; turn += 1) harness.advance(200);
      return [sink.status, sink.rejection?.retryAfterS !== undefined];
    });
    expect(statuses).toEqual([
      [504, false],
      [503, true],
    ]);
  });

  it('ends with 503 and Retry-After if no answer arrives before it expires', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = undefined;
    const sink = submit(harness, '/idempotent/x');
    harness.advance(1600);
    expect([sink.calls, sink.rejection?.detail]).toEqual([
      ['reject 503 retry-after'],
      "no permit of the tenant's quota was granted in time",
    ]);
  });

  it('stays admitted if its tenant gets a rate limit while it waits for a worker', () => {
    const harness = new RouterHarness([]);
    harness.setTenants([{ ...LIMITED, ratePerS: 0 }]);
    const sink = submit(harness, '/idempotent/x');
    harness.permits.immediateAnswer = OVER;
    harness.setTenants([LIMITED]);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    harness.advance(400);
    expect([sink.calls, harness.lastSent().start()]).toEqual([[], true]);
  });

  it('stays at a silent worker if there is no permit for an attempt at another one', () => {
    const harness = withQuota('w1', 'w2');
    for (let done = 0; done < 5; done += 1) {
      submit(harness, '/non-idempotent/x');
      harness.lastSent().start();
      harness.lastSent().answer(200, 'ok');
    }
    const sink = harness.submit('/resumable/x', { apiKey: 'key', deadlineMs: 9000 }).sink;
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    sent.events('id: 1\ndata: a\n\n');
    harness.permits.immediateAnswer = OVER;
    harness.advance(1700);
    const aborted = sent.aborted;
    sent.events('id: 2\ndata: b\n\n');
    sent.handler.end();
    expect([aborted, sink.calls]).toEqual([false, ['open 200 s1', 'close']]);
  });
});

describe('the counters of a tenant', () => {
  it('count requests taken, sent and refused, by tenant name and only for requests of a tenant', () => {
    const harness = withQuota('w1');
    harness.setTenants([LIMITED, { name: 'two', apiKeys: ['free'] }]);
    submit(harness, '/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    harness.permits.immediateAnswer = OVER;
    submit(harness, '/non-idempotent/x');
    harness.workers.clear();
    harness.submit('/idempotent/x', { apiKey: 'free' });
    harness.submit('/idempotent/x', { apiKey: 'none' });
    harness.submit('/public/x');
    harness.advance(1600);
    expect(harness.router.tenantCounts).toEqual({
      one: { taken: 2, sent: 1, refusedOverQuota: 1, refused: 0 },
      two: { taken: 1, sent: 0, refusedOverQuota: 0, refused: 1 },
    });
    expect([
      harness.router.counts['refused over-quota'],
      harness.router.counts['refused unauthenticated'],
    ]).toEqual([1, 1]);
  });
});
