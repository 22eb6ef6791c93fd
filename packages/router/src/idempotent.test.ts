import { describe, it } from 'node:test';
import { expect } from 'earl';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('an idempotent request', () => {
  it('is retried at another worker after a failure, as often as its route allows', () => {
    const harness = new RouterHarness(['w1', 'w2', 'w3', 'w4'].map((id) => worker(id)));
    harness.earnRetryBudget(10);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/idempotent/x');
    for (let turn = 0; turn < 5; turn += 1) {
      const sent = harness.lastSent();
      if (sent.start()) sent.handler.failed(true, 'reset');
      harness.advance(1);
    }
    const addresses = harness.link.sent.slice(sends).map((sent) => sent.request.address);
    expect([addresses.length, new Set(addresses).size, sink.calls]).toEqual([3, 3, ['reject 502']]);
  });

  it('is never rejected as retryable after a worker may have run it', () => {
    const wrong: string[] = [];
    for (const end of ['declined', 'budget gone', 'no worker'] as const) {
      const harness = new RouterHarness([worker('w1'), worker('w2')]);
      harness.earnRetryBudget(end === 'budget gone' ? 1 : 5);
      const { sink } = harness.submit('/idempotent/x');
      harness.lastSent().start();
      if (end === 'no worker') harness.workers.delete('w1');
      if (end === 'no worker') harness.workers.delete('w2');
      harness.lastSent().handler.failed(true, 'reset');
      for (let turn = 0; turn < 4; turn += 1) {
        const sent = harness.lastSent();
        if (sent.start()) sent.rejectAsNotRun(503);
        harness.advance(600);
      }
      if (sink.status === 503 || sink.status === 429) wrong.push(`${end}: ${sink.calls.join(', ')}`);
    }
    expect(wrong).toEqual([]);
  });

  it('is retried if a worker sends the response of another request, which is not forwarded', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/idempotent/x');
    const first = harness.lastSent();
    first.start();
    first.handler.head(200, [
      [HEADER_NAMES.requestId, 'another'],
      [HEADER_NAMES.signature, 's'],
    ]);
    first.handler.chunk(Buffer.from('of another'));
    first.handler.end();
    harness.lastSent().start();
    harness.lastSent().answer(200, 'own');
    expect([first.aborted, sink.calls]).toEqual([true, ['respond 200 own']]);
  });

  it('is not retried if its route allows one attempt', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/single-attempt/x');
    harness.lastSent().start();
    harness.lastSent().handler.failed(true, 'reset');
    harness.advance(200);
    expect([harness.link.sent.length - sends, sink.calls]).toEqual([1, ['reject 502']]);
  });
});
