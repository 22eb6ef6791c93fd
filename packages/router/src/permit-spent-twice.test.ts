import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { PermitAnswer } from '@rainrun/quotas';
import { RouterHarness, worker, type SentRequest } from './testing/router-harness.js';

const LIMITED = { name: 'one', apiKeys: ['key'], ratePerS: 10, burst: 5 };
const GRANTED_FOREVER = { kind: 'granted', permit: { endMs: Infinity } } as const;

function withQuota(...workers: readonly string[]): RouterHarness {
  const harness = new RouterHarness(workers.map((id) => worker(id)));
  harness.setTenants([LIMITED]);
  return harness;
}

function submit(harness: RouterHarness, target: string, deadlineMs = 1500) {
  return harness.submit(target, { apiKey: 'key', deadlineMs });
}

function earn(harness: RouterHarness): void {
  for (let done = 0; done < 5; done += 1) {
    submit(harness, '/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
  }
  harness.permits.requests.length = 0;
}

/** Ways in which an attempt ends without a response for the client. */
const ATTEMPT_ENDS: Readonly<Record<string, (sent: SentRequest) => void>> = {
  failed: (sent) => {
    sent.start();
    sent.handler.failed(true, 'reset');
  },
  'not run': (sent) => {
    sent.start();
    sent.rejectAsNotRun(503);
  },
  misdirected: (sent) => {
    sent.start();
    sent.rejectAsNotRun(421);
  },
  unreached: (sent) => {
    sent.start();
    sent.handler.failed(false, 'refused');
  },
};

/**
 * Plays requests whose permits are granted at once or step by step; counts permits and attempts that may have
 * run.
 */
class PermitScript {
  readonly harness = withQuota('w1', 'w2', 'w3');
  mayHaveRun = 0;
  #granted = 0;
  #isImmediate: boolean;
  #playedCount = 0;

  constructor(isImmediate: boolean) {
    this.#isImmediate = isImmediate;
    if (!isImmediate) this.harness.permits.immediateAnswer = undefined;
  }

  /** Permits granted, including answers that arrived too late to be used. */
  get granted(): number {
    return this.#isImmediate ? this.harness.permits.requests.length : this.#granted;
  }

  answer(answer: PermitAnswer): void {
    if (answer.kind === 'granted') this.#granted += 1;
    this.harness.permits.requests.at(-1)?.answer(answer);
  }

  /**
   * Plays the oldest send that was not played yet: starts it if it may start, and ends it in the given way.
   */
  play(end: (sent: SentRequest) => void, isRun: boolean): void {
    const sent = this.harness.link.sent[this.#playedCount];
    if (sent === undefined) return;
    this.#playedCount += 1;
    if (!sent.start()) return sent.handler.failed(false, 'withheld');
    if (isRun) this.mayHaveRun += 1;
    end(sent);
  }
}

const SCRIPT_STEPS: Readonly<Record<string, (script: PermitScript) => void>> = {
  submit: ({ harness }) => void submit(harness, '/idempotent/x'),
  wait: ({ harness }) => harness.advance(60),
  grant: (script) => script.answer(GRANTED_FOREVER),
  'grant for a short time': (script) =>
    script.answer({ kind: 'granted', permit: { endMs: script.harness.nowMs + 50 } }),
  refuse: (script) => script.answer({ kind: 'over-quota', retryAfterMs: 30 }),
  serve: (script) => script.play((sent) => sent.answer(200, 'ok'), true),
  reset: (script) => script.play((sent) => sent.handler.failed(true, 'reset'), true),
  decline: (script) => script.play((sent) => sent.rejectAsNotRun(503), false),
  miss: (script) => script.play((sent) => sent.handler.failed(false, 'refused'), false),
};

describe('a permit of a tenant’s quota', () => {
  it('is not needed without a tenant, without a rate limit, or without configured tenants', () => {
    const harness = withQuota('w1');
    harness.submit('/public/x');
    const started = [harness.lastSent().start()];
    for (const tenants of [[{ name: 'free', apiKeys: ['key'] }], undefined]) {
      harness.setTenants(tenants);
      submit(harness, '/non-idempotent/x');
      started.push(harness.lastSent().start());
    }
    expect([started, harness.permits.requests.length]).toEqual([[true, true, true], 0]);
  });

  it('is requested once, however often the waiting request is checked before the answer', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = undefined;
    const { sink } = submit(harness, '/non-idempotent/x');
    for (let turn = 0; turn < 5; turn += 1) harness.advance(20);
    const before = [harness.permits.requests.map(({ tenant }) => tenant), harness.link.sent.length];
    harness.permits.requests[0]?.answer(GRANTED_FOREVER);
    const started = harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect([before, started, sink.calls]).toEqual([[['one'], 0], true, ['respond 200 ok']]);
  });

  it('covers one attempt that may have run: only a retry after such an attempt needs a new one', () => {
    const requestCounts = Object.entries(ATTEMPT_ENDS).map(([name, end]) => {
      const harness = withQuota('w1', 'w2');
      earn(harness);
      submit(harness, '/idempotent/x');
      const first = harness.lastSent();
      end(first);
      const second = harness.lastSent();
      return [name, second !== first && second.start(), harness.permits.requests.length];
    });
    expect(requestCounts).toEqual([
      ['failed', true, 2],
      ['not run', true, 1],
      ['misdirected', true, 1],
      ['unreached', true, 1],
    ]);
  });

  it('is requested again for a stream that is resumed at another worker', () => {
    const harness = withQuota('w1', 'w2');
    earn(harness);
    submit(harness, '/resumable/x');
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    harness.permits.immediateAnswer = undefined;
    first.handler.failed(true, 'reset');
    const sendsBefore = harness.link.sent.length;
    harness.permits.requests.at(-1)?.answer(GRANTED_FOREVER);
    expect([harness.permits.requests.length, harness.link.sent.length - sendsBefore]).toEqual([2, 1]);
  });

  it('is not requested for an interrupted stream until a worker can resume it', () => {
    const harness = withQuota('w1', 'w2');
    earn(harness);
    submit(harness, '/resumable/x', 9000);
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    for (const id of ['w1', 'w2']) harness.putWorkers(worker(id, { draining: true }));
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 50 } };
    first.handler.failed(true, 'reset');
    const requestedBefore = harness.permits.requests.length;
    for (let turn = 0; turn < 15; turn += 1) {
      harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 150 } };
      harness.advance(100);
    }
    const withoutWorker = harness.permits.requests.length - requestedBefore;
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    harness.putWorkers(worker('w3'));
    for (let turn = 0; turn < 4; turn += 1) harness.advance(100);
    expect([
      withoutWorker,
      harness.permits.requests.length - requestedBefore,
      harness.lastSent() === first,
    ]).toEqual([0, 1, false]);
  });

  it('is not used after it expires: nothing is sent, and a new one is requested', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 100 } };
    submit(harness, '/non-idempotent/x');
    const first = harness.lastSent();
    harness.nowMs += 100;
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    const started = first.start();
    first.handler.failed(false, 'withheld');
    const second = harness.lastSent();
    expect([started, second !== first && second.start(), harness.permits.requests.length]).toEqual([
      false,
      true,
      2,
    ]);
  });

  it('is requested again at the next tick, not in a loop, if it has expired on arrival', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs } };
    submit(harness, '/non-idempotent/x');
    harness.advance(20);
    expect([harness.permits.requests.length, harness.link.sent.length]).toEqual([2, 0]);
  });

  it('is reused after an attempt that did not run only if it has not expired', () => {
    const harness = withQuota('w1', 'w2');
    earn(harness);
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 100 } };
    submit(harness, '/idempotent/x');
    harness.lastSent().start();
    harness.nowMs += 100;
    harness.permits.immediateAnswer = GRANTED_FOREVER;
    harness.lastSent().rejectAsNotRun(503);
    expect([harness.permits.requests.length, harness.lastSent().start()]).toEqual([2, true]);
  });

  it('is withdrawn if the client leaves, the request expires, its key is dropped or the router closes', () => {
    const ends: Readonly<Record<string, (harness: RouterHarness, leave: () => void) => void>> = {
      left: (_harness, leave) => leave(),
      expired: (harness) => harness.advance(1600),
      dropped: (harness) => harness.setTenants([]),
      closed: (harness) => harness.router.close(),
    };
    const withdrawn = Object.entries(ends).map(([name, end]) => {
      const harness = withQuota('w1');
      harness.permits.immediateAnswer = undefined;
      const { leave, sink } = submit(harness, '/non-idempotent/x');
      end(harness, leave);
      const [asked] = harness.permits.requests;
      asked?.answer(GRANTED_FOREVER);
      harness.advance(20);
      return [name, asked?.withdrawn, harness.link.sent.length, sink.status, harness.router.waiting];
    });
    expect(withdrawn).toEqual([
      ['left', true, 0, 0, 0],
      ['expired', true, 0, 503, 0],
      ['dropped', true, 0, 401, 0],
      ['closed', true, 0, 503, 0],
    ]);
  });

  it('does not cover a request that has moved to another tenant', () => {
    const harness = withQuota();
    submit(harness, '/non-idempotent/x');
    harness.setTenants([{ ...LIMITED, name: 'new-tenant' }]);
    harness.putWorkers(worker('w1'));
    harness.advance(20);
    expect([harness.permits.requests.map(({ tenant }) => tenant), harness.lastSent().start()]).toEqual([
      ['one', 'new-tenant'],
      true,
    ]);
  });

  it('is not renewed while no worker can take the request', () => {
    const harness = withQuota();
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 50 } };
    for (let count = 0; count < 10; count += 1) submit(harness, '/idempotent/x');
    const requestedBefore = harness.permits.requests.length;
    for (let turn = 0; turn < 4; turn += 1) {
      harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 150 } };
      harness.advance(100);
    }
    expect([requestedBefore, harness.permits.requests.length - requestedBefore]).toEqual([10, 0]);
    harness.putWorkers(worker('w1', { slots: 20 }));
    harness.advance(20);
    expect([harness.permits.requests.length - requestedBefore, harness.link.sent.length]).toEqual([10, 10]);
  });

  it('sends its request once if it is granted while another request asks for a permit', () => {
    const harness = withQuota('w1');
    harness.permits.immediateAnswer = { kind: 'granted', permit: { endMs: harness.nowMs + 50 } };
    harness.workers.clear();
    submit(harness, '/idempotent/first');
    harness.permits.immediateAnswer = undefined;
    submit(harness, '/idempotent/second');
    const [, second] = harness.permits.requests;
    harness.putWorkers(worker('w1'));
    harness.permits.onRequest = () => second?.answer(GRANTED_FOREVER);
    harness.advance(100);
    expect(harness.link.sent.map(({ request }) => request.target)).toEqual(['/idempotent/second']);
  });

  it('property: attempts that may have run never exceed the granted permits', () => {
    const step = fc.constantFrom(...Object.keys(SCRIPT_STEPS));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.boolean(), (steps, isImmediate) => {
        const script = new PermitScript(isImmediate);
        for (const name of steps) {
          SCRIPT_STEPS[name]?.(script);
          expect(script.mayHaveRun <= script.granted).toEqual(true);
        }
      }),
      { numRuns: 300 },
    );
  });
});
