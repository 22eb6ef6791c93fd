import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('a non-idempotent request', () => {
  it('is forwarded unchanged (method, path, id, body, headers), for the chosen instance only', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x?a=1');
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
    ]).toEqual(['POST', '/non-idempotent/x?a=1', 'body', 'q1', 'kept', 'w1']);
    expect(sink.calls).toEqual(['respond 201 made']);
  });

  it('is never retried once a byte may have been sent', () => {
    for (const end of ['reset', 'other request', 'unsigned', 'truncated'] as const) {
      const harness = new RouterHarness([worker('w1'), worker('w2')]);
      harness.earnRetryBudget(5);
      const sends = harness.link.sent.length;
      const { sink } = harness.submit('/non-idempotent/x');
      const sent = harness.lastSent();
      sent.start();
      if (end === 'reset') sent.handler.failed(true, 'reset');
      else if (end === 'other request')
        sent.handler.head(200, [
          [HEADER_NAMES.requestId, 'another'],
          [HEADER_NAMES.signature, 's'],
        ]);
      else if (end === 'unsigned') sent.handler.head(200, [[HEADER_NAMES.requestId, sent.id]]);
      else {
        sent.handler.head(200, [
          [HEADER_NAMES.requestId, sent.id],
          [HEADER_NAMES.signature, 's'],
        ]);
        sent.handler.chunk(Buffer.from('half'));
        sent.handler.failed(true, 'closed');
      }
      harness.advance(500);
      expect([end, harness.link.sent.length - sends, sink.calls]).toEqual([end, 1, ['reject 502']]);
    }
  });

  it('is sent to another worker if no byte was sent', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/non-idempotent/x');
    const first = harness.lastSent();
    first.handler.failed(false, 'refused');
    const second = harness.lastSent();
    second.start();
    second.answer(200, 'ok');
    expect([first.request.address === second.request.address, sink.calls]).toEqual([
      false,
      ['respond 200 ok'],
    ]);
  });

  it('is sent to another worker with its remaining time if the first says that it has not run it', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/non-idempotent/x');
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
    ]).toEqual(['1500', '1100', ['respond 200 ok']]);
  });

  it('is retried after 421, which means that it has not run', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().handler.head(421, [[HEADER_NAMES.requestId, harness.lastSent().id]]);
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect(sink.calls).toEqual(['respond 200 ok']);
  });

  it('is not rejected as retryable if it times out at a silent worker that may be running it', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.advance(2500);
    expect([sink.calls, harness.lastSent().aborted]).toEqual([['reject 504'], true]);
  });

  it('is rejected as retryable if it waits in the queue until its deadline', () => {
    const harness = new RouterHarness([]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.advance(1600);
    expect(sink.calls).toEqual(['reject 503 retry-after']);
  });

  it('is rejected as retryable if it was handed to a connection but never started', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.advance(1600);
    expect(sink.calls).toEqual(['reject 503 retry-after']);
  });

  it('does not start after its client got a response', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    harness.advance(1600);
    expect([sink.calls.length, sent.start(), sent.aborted]).toEqual([1, false, true]);
  });

  it('is not retried after an error response, which is forwarded to the client in full', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().answer(500, 'broken');
    expect([sink.calls, harness.link.sent.length]).toEqual([['respond 500 broken'], 1]);
  });

  it('control safety, point 5: does not start after a freeze beyond its deadline, and is rejected as retryable', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    harness.nowMs += 60_000;
    const started = sent.start();
    sent.handler.failed(false, 'not started');
    expect([started, sink.calls]).toEqual([false, ['reject 503 retry-after']]);
  });

  it('control safety, point 5: does not start after a freeze during which its worker began to drain', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    const { sink } = harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    harness.nowMs += 500;
    harness.putWorkers(worker(sent.request.address.slice(0, 2), { draining: true }));
    const started = sent.start();
    sent.handler.failed(false, 'not started');
    harness.lastSent().start();
    harness.lastSent().answer(200, 'ok');
    expect([started, sink.calls]).toEqual([false, ['respond 200 ok']]);
  });

  it('does not start after its client has left, and its send is aborted', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink, leave } = harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    leave();
    expect([sent.start(), sent.aborted, sink.calls]).toEqual([false, true, []]);
  });
});
