import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

describe('the retry budget', () => {
  /**
   * Submits requests of which some are rejected by every worker; returns the first attempts and retries by
   * time.
   */
  function recordAttempts(
    harness: RouterHarness,
    everyMs: number,
    count: number,
    isFailing: (turn: number) => boolean,
  ): { atMs: number; isRetry: boolean }[] {
    const attempts: { atMs: number; isRetry: boolean }[] = [];
    for (let turn = 0; turn < count; turn += 1) {
      harness.submit('/idempotent/x');
      for (let send = 0; send < 4; send += 1) {
        const sent = harness.lastSent();
        if (!sent.start()) break;
        attempts.push({ atMs: harness.nowMs, isRetry: send > 0 });
        if (isFailing(turn)) sent.rejectAsNotRun(503);
        else sent.answer(200, 'ok');
        if (harness.lastSent() === sent) break;
      }
      harness.advance(everyMs);
    }
    return attempts;
  }

  it('limits the retries in any window to the ratio of the first attempts plus the extra retries', () => {
    const harness = new RouterHarness(
      Array.from({ length: 40 }, (_, place) => worker(`w${place}`)),
      { ratio: 0.2, extra: 6 },
    );
    const attempts = recordAttempts(harness, 20, 1500, (turn) => turn % 700 > 400);
    const violations: string[] = [];
    for (const { atMs } of attempts) {
      const window = attempts.filter((one) => one.atMs >= atMs && one.atMs < atMs + 10_000);
      const first = window.filter((one) => !one.isRetry).length;
      if (window.length - first > 0.2 * first + 6)
        violations.push(`${window.length - first} retries of ${first} from ${atMs}`);
    }
    expect([attempts.some((one) => one.isRetry), violations]).toEqual([true, []]);
  });

  it('is divided among the edges', () => {
    const harness = new RouterHarness(
      Array.from({ length: 40 }, (_, place) => worker(`w${place}`)),
      { ratio: 0.2, extra: 6 },
    );
    harness.edges = 3;
    harness.earnRetryBudget(200);
    const attempts = recordAttempts(harness, 0, 10, () => true);
    expect(attempts.filter((one) => one.isRetry).length <= 2 + 10 * 0.2).toEqual(true);
  });

  it('gets back retries reserved for requests whose clients leave', () => {
    const harness = new RouterHarness([worker('w1')], { ratio: 1, extra: 5 });
    harness.earnRetryBudget(20);
    for (let turn = 0; turn < 10; turn += 1) {
      const { leave } = harness.submit('/idempotent/x');
      harness.lastSent().start();
      harness.lastSent().handler.failed(true, 'reset');
      leave();
      harness.advance(10_000);
    }
    harness.putWorkers(worker('w2'), worker('w3'));
    const { sink } = harness.submit('/idempotent/x');
    harness.lastSent().start();
    harness.lastSent().handler.failed(true, 'reset');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['respond 200 ok']);
  });

  it('gets back retries reserved for requests that expire', () => {
    const harness = new RouterHarness([worker('w1')], { ratio: 1, extra: 5 });
    harness.earnRetryBudget(20);
    for (let turn = 0; turn < 10; turn += 1) {
      harness.submit('/idempotent/x');
      harness.lastSent().start();
      harness.lastSent().handler.failed(true, 'reset');
      harness.workers.delete('w1');
      harness.advance(10_000);
      harness.putWorkers(worker('w1'));
    }
    harness.putWorkers(worker('w2'), worker('w3'));
    const { sink } = harness.submit('/idempotent/x');
    harness.lastSent().start();
    harness.lastSent().handler.failed(true, 'reset');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['respond 200 ok']);
  });
});
