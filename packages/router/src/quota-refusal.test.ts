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
  it('is rejected with 429 and the time to come back at once, reaches no worker and is no demand', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = OVER;
    const sink = harness.submit('/often/x', { apiKey: 'key', model: 'model-1' }).sink;
    expect([sink.status, sink.rejection?.kind, sink.rejection?.retryAfterS]).toEqual([
      429,
      'over-quota',
      0.4,
    ]);
    expect([harness.link.sent.length, harness.router.waiting, harness.router.demands()]).toEqual([0, 0, []]);
  });

  it('is told to come back after the usual second where no time is known', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = { kind: 'over-quota', retryAfterMs: 0 };
    const { rejection } = submit(harness, '/once/x');
    expect([rejection?.kind, rejection?.retryAfterS]).toEqual(['over-quota', undefined]);
  });

  it('is rejected with 429 too when the first answer comes later', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = undefined;
    const sink = submit(harness, '/once/x');
    const before = [...sink.calls];
    harness.permits.requests[0]?.answer(OVER);
    expect([before, sink.status, harness.router.waiting]).toEqual([[], 429, 0]);
  });

  it('leaves its id free for the client’s next try', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = OVER;
    harness.submit('/once/x', { apiKey: 'key', id: 'same' });
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    const { sink } = harness.submit('/once/x', { apiKey: 'key', id: 'same' });
    expect([sink.calls, harness.link.sent.length]).toEqual([[], 1]);
  });

  it('does not hold up a request of another tenant that waits for the same workers', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.setTenants([LIMITED, { name: 'two', apiKeys: ['free'] }]);
    harness.permits.immediateAnswer = undefined;
    submit(harness, '/once/x');
    harness.submit('/once/x', { apiKey: 'free' });
    harness.advance(20);
    expect([harness.link.sent.length, harness.router.waiting]).toEqual([1, 1]);
  });
});

describe('a request that was admitted once', () => {
  it('is never rejected for quota later: it waits, asks again when it may, and is sent', () => {
    const harness = withQuota('w1', 'w2');
    for (let done = 0; done < 5; done += 1) {
      submit(harness, '/once/x');
      harness.lastSent().start();
      harness.lastSent().answer(200, 'ok');
    }
    const sink = submit(harness, '/often/x');
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
    expect([started, sink.calls]).toEqual([true, ['answer 200 late']]);
  });

  it('gets 504 when its time passes without a permit and it may have run, 503 when it has not', () => {
    const statuses = [true, false].map((mayHaveRun) => {
      const harness = withQuota('w1', 'w2');
      harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 100 } };
      harness.earnRetryBudget(0);
      const sink = submit(harness, '/often/x');
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

  it('gets 503 and a time to come back when no answer comes in its time', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = undefined;
    const sink = submit(harness, '/often/x');
    harness.advance(1600);
    expect([sink.calls, sink.rejection?.detail]).toEqual([
      ['refuse 503 again'],
      "no permit of the tenant's quota was granted in time",
    ]);
  });

  it('stays admitted when its tenant gets a limit while it waits for a worker', () => {
    const harness = new RouterHarness([]);
    harness.setTenants([{ ...LIMITED, ratePerS: 0 }]);
    const sink = submit(harness, '/often/x');
    harness.permits.immediateAnswer = OVER;
    harness.setTenants([LIMITED]);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    harness.advance(400);
    expect([sink.calls, harness.lastSent().start()]).toEqual([[], true]);
  });

  it('that is silent at its worker stays there when no permit for another one is at hand', () => {
    const harness = withQuota('w1', 'w2');
    for (let done = 0; done < 5; done += 1) {
      submit(harness, '/once/x');
      harness.lastSent().start();
      harness.lastSent().answer(200, 'ok');
    }
    const sink = harness.submit('/talk/x', { apiKey: 'key', deadlineMs: 9000 }).sink;
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

describe('the counts of a tenant', () => {
  it('say what was taken, sent and refused, by name and only where there are tenants', () => {
    const harness = withQuota('w1');
    harness.setTenants([LIMITED, { name: 'two', apiKeys: ['free'] }]);
    submit(harness, '/once/x');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    harness.permits.immediateAnswer = OVER;
    submit(harness, '/once/x');
    harness.workers.clear();
    harness.submit('/often/x', { apiKey: 'free' });
    harness.submit('/often/x', { apiKey: 'none' });
    harness.submit('/open/x');
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
