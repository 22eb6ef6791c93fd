import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('a non-idempotent request', () => {
  it('is passed on with method, path, id, body and other headers as they came, and to that instance only', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/once/x?a=1');
    const { request } = harness.lastSent();
    harness.lastSent().start();
    harness.lastSent().answer(201, 'made');
    expect([
      request.method,
      request.target,
      request.body.toString(),
      headerValue(request.headers, 'Call-Id'),
      headerValue(request.headers, 'X-Own'),
      headerValue(request.headers, HEADER_NAMES.expectInstance),
    ]).toEqual(['POST', '/once/x?a=1', 'body', 'q1', 'kept', 'w1']);
    expect(sink.calls).toEqual(['answer 201 made']);
  });

  it('is never sent again once a byte may have left', () => {
    for (const end of ['reset', 'foreign', 'unmarked', 'cut short'] as const) {
      const harness = new RouterHarness([worker('w1'), worker('w2')]);
      harness.earnRetryBudget(5);
      const sends = harness.link.sent.length;
      const { sink } = harness.submit('/once/x');
      const sent = harness.lastSent();
      sent.start();
      if (end === 'reset') sent.handler.failed(true, 'reset');
      else if (end === 'foreign')
        sent.handler.head(200, [
          [HEADER_NAMES.requestId, 'another'],
          [HEADER_NAMES.signature, 's'],
        ]);
      else if (end === 'unmarked') sent.handler.head(200, [[HEADER_NAMES.requestId, sent.id]]);
      else {
        sent.handler.head(200, [
          [HEADER_NAMES.requestId, sent.id],
          [HEADER_NAMES.signature, 's'],
        ]);
        sent.handler.chunk(Buffer.from('half'));
        sent.handler.failed(true, 'closed');
      }
      harness.advance(500);
      expect([end, harness.link.sent.length - sends, sink.calls]).toEqual([end, 1, ['refuse 502']]);
    }
  });

  it('is sent to another worker when no byte left', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/once/x');
    const first = harness.lastSent();
    first.handler.failed(false, 'refused');
    const second = harness.lastSent();
    second.start();
    second.answer(200, 'ok');
    expect([first.request.address === second.request.address, sink.calls]).toEqual([
      false,
      ['answer 200 ok'],
    ]);
  });

  it('is sent to another worker when the first says that it has not run it, each time with what time is left', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/once/x');
    const first = harness.lastSent();
    first.start();
    harness.nowMs += 400;
    first.rejectAsNotRun(503);
    const second = harness.lastSent();
    second.start();
    second.answer(200, 'ok');
    expect([
      headerValue(first.request.headers, HEADER_NAMES.deadlineMs),
      headerValue(second.request.headers, HEADER_NAMES.deadlineMs),
      sink.calls,
    ]).toEqual(['1500', '1100', ['answer 200 ok']]);
  });

  it('is retried after 421, which says that it has not run', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/once/x');
    harness.lastSent().start();
    harness.lastSent().handler.head(421, [[HEADER_NAMES.requestId, harness.lastSent().id]]);
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['answer 200 ok']);
  });

  it('is not rejected as retryable while it may run, at its time-out or at a silent worker', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/once/x');
    harness.lastSent().start();
    harness.advance(2500);
    expect([sink.calls, harness.lastSent().aborted]).toEqual([['refuse 504'], true]);
  });

  it('is rejected as retryable if it waited until its deadline', () => {
    const harness = new RouterHarness([]);
    const { sink } = harness.submit('/once/x');
    harness.advance(1600);
    expect(sink.calls).toEqual(['refuse 503 again']);
  });

  it('is rejected as retryable if it was handed to a connection and never started', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/once/x');
    harness.advance(1600);
    expect(sink.calls).toEqual(['refuse 503 again']);
  });

  it('does not start after it was answered', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/once/x');
    const sent = harness.lastSent();
    harness.advance(1600);
    expect([sink.calls.length, sent.start(), sent.aborted]).toEqual([1, false, true]);
  });

  it('is forwarded to the client complete, also when the worker failed it itself', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/once/x');
    harness.lastSent().start();
    harness.lastSent().answer(500, 'broken');
    expect([sink.calls, harness.link.sent.length]).toEqual([['answer 500 broken'], 1]);
  });

  it('control safety, point 5: is not begun after a freeze that outlasted its time, and is refused with a promise', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/once/x');
    const sent = harness.lastSent();
    harness.nowMs += 60_000;
    const started = sent.start();
    sent.handler.failed(false, 'not started');
    expect([started, sink.calls]).toEqual([false, ['refuse 503 again']]);
  });

  it('control safety, point 5: is not begun after a freeze in which its worker began to leave', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/once/x');
    const sent = harness.lastSent();
    harness.nowMs += 500;
    harness.putWorkers(worker(sent.request.address.slice(0, 2), { draining: true }));
    const started = sent.start();
    sent.handler.failed(false, 'not started');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect([started, sink.calls]).toEqual([false, ['answer 200 ok']]);
  });

  it('is not begun for a client that has left, and is broken off', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink, leave } = harness.submit('/once/x');
    const sent = harness.lastSent();
    leave();
    expect([sent.start(), sent.aborted, sink.calls]).toEqual([false, true, []]);
  });
});
