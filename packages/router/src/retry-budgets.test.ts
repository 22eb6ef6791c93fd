import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

describe('the retry budget', () => {
  /** Every request fails at its first worker; counts first and further arrivals by time. */
  function arrivals(
    harness: RouterHarness,
    everyMs: number,
    count: number,
    failing: (turn: number) => boolean,
  ): { atMs: number; further: boolean }[] {
    const seen: { atMs: number; further: boolean }[] = [];
    for (let turn = 0; turn < count; turn += 1) {
      harness.submit('/often/x');
      for (let send = 0; send < 4; send += 1) {
        const sent = harness.lastSent();
        if (!sent.start()) break;
        seen.push({ atMs: harness.nowMs, further: send > 0 });
        if (failing(turn)) sent.rejectAsNotRun(503);
        else sent.answer(200, 'ok');
        if (harness.lastSent() === sent) break;
      }
      harness.advance(everyMs);
    }
    return seen;
  }

  it('keeps the retries of any window within the ratio of the first attempts and the allowance', () => {
    const harness = new RouterHarness(
      Array.from({ length: 40 }, (_, place) => worker(`w${place}`)),
      { ratio: 0.2, extra: 6 },
    );
    const seen = arrivals(harness, 20, 1500, (turn) => turn % 700 > 400);
    const wrong: string[] = [];
    for (const { atMs } of seen) {
      const window = seen.filter((one) => one.atMs >= atMs && one.atMs < atMs + 10_000);
      const first = window.filter((one) => !one.further).length;
      if (window.length - first > 0.2 * first + 6)
        wrong.push(`${window.length - first} further of ${first} from ${atMs}`);
    }
    expect([seen.some((one) => one.further), wrong]).toEqual([true, []]);
  });

  it('is shared between the edges', () => {
    const harness = new RouterHarness(
      Array.from({ length: 40 }, (_, place) => worker(`w${place}`)),
      { ratio: 0.2, extra: 6 },
    );
    harness.edges = 3;
    harness.earnRetryBudget(200);
    const seen = arrivals(harness, 0, 10, () => true);
    expect(seen.filter((one) => one.further).length <= 2 + 10 * 0.2).toEqual(true);
  });

  it('is not lost by clients that leave while their retry waits', () => {
    const harness = new RouterHarness([worker('w1')], { ratio: 1, extra: 5 });
    harness.earnRetryBudget(20);
    for (let turn = 0; turn < 10; turn += 1) {
      const { leave } = harness.submit('/often/x');
      harness.lastSent().start();
      harness.lastSent().handler.failed(true, 'reset');
      leave();
      harness.advance(10_000);
    }
    harness.putWorkers(worker('w2'), worker('w3'));
    const { sink } = harness.submit('/often/x');
    harness.lastSent().start();
    harness.lastSent().handler.failed(true, 'reset');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['answer 200 ok']);
  });

  it('is not lost by requests that expire while their retry waits', () => {
    const harness = new RouterHarness([worker('w1')], { ratio: 1, extra: 5 });
    harness.earnRetryBudget(20);
    for (let turn = 0; turn < 10; turn += 1) {
      harness.submit('/often/x');
      harness.lastSent().start();
      harness.lastSent().handler.failed(true, 'reset');
      harness.workers.delete('w1');
      harness.advance(10_000);
      harness.putWorkers(worker('w1'));
    }
    harness.putWorkers(worker('w2'), worker('w3'));
    const { sink } = harness.submit('/often/x');
    harness.lastSent().start();
    harness.lastSent().handler.failed(true, 'reset');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['answer 200 ok']);
  });
});
