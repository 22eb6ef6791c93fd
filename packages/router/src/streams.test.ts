import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('a stream', () => {
  it('is forwarded in complete events, without any byte of an incomplete one', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/stream/x');
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    sent.events('id: 1\ndata: a\n\nid: 2\nda');
    const half = sink.text;
    sent.events('ta: b\n\n');
    sent.handler.end();
    expect([half, sink.text, sink.calls, headerValue(sent.request.headers, HEADER_NAMES.priority)]).toEqual([
      'id: 1\ndata: a\n\n',
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      ['open 200 s1', 'close'],
      '2',
    ]);
  });

  it('is resumed at another worker after the last complete event, under its first response head', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const { sink } = harness.submit('/resumable/x');
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda');
    first.handler.failed(true, 'reset');
    const second = harness.lastSent();
    second.start();
    second.openStream('s2');
    second.events('id: 3\ndata: c\n\n');
    second.handler.end();
    expect([
      headerValue(second.request.headers, HEADER_NAMES.lastEventId),
      first.request.address === second.request.address,
    ]).toEqual(['2', false]);
    expect([sink.text, sink.calls]).toEqual([
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
      ['open 200 s1', 'close'],
    ]);
  });

  it('is resumed with its remaining time, not with its original deadline', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    harness.submit('/resumable/x', { deadlineMs: 2500 });
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    harness.nowMs += 1000;
    first.handler.failed(true, 'reset');
    const times = [first, harness.lastSent()].map(({ request }) =>
      headerValue(request.headers, HEADER_NAMES.deadlineMs),
    );
    const atMost = [2500, 1500];
    expect(times.every((time, place) => Number(time) <= (atMost[place] ?? 0))).toEqual(true);
    expect(Number(times[0]) - Number(times[1])).toEqual(1000);
  });

  it('starts after the event that the client names, if it is resumable', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.submit('/resumable/x', { lastEventId: '12' });
    expect(headerValue(harness.lastSent().request.headers, HEADER_NAMES.lastEventId)).toEqual('12');
  });

  it('is visibly aborted, if it is not resumable, when its worker resets it or ends it within an event', () => {
    for (const end of ['reset', 'half'] as const) {
      const harness = new RouterHarness([worker('w1'), worker('w2')]);
      harness.earnRetryBudget(5);
      const sends = harness.link.sent.length;
      const { sink } = harness.submit('/stream/x');
      const sent = harness.lastSent();
      sent.start();
      sent.openStream('s1');
      sent.events('id: 1\ndata: a\n\nid: 2\nda');
      if (end === 'reset') sent.handler.failed(true, 'reset');
      else sent.handler.end();
      harness.advance(100);
      expect([end, sink.calls, sink.text, harness.link.sent.length - sends]).toEqual([
        end,
        ['open 200 s1', 'abort'],
        'id: 1\ndata: a\n\n',
        1,
      ]);
    }
  });

  it('is visibly aborted, if it is resumable, when no retry is allowed', () => {
    const harness = new RouterHarness([worker('w1')], { ratio: 0, extra: 0 });
    const { sink } = harness.submit('/resumable/x');
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    sent.events('id: 1\ndata: a\n\n');
    sent.handler.failed(true, 'reset');
    harness.advance(100);
    expect(sink.calls).toEqual(['open 200 s1', 'abort']);
  });

  it('ignores a worker that responds to its resumption with anything but a stream', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(1);
    const { sink } = harness.submit('/resumable/x');
    const first = harness.lastSent();
    first.start();
    first.openStream('s1');
    first.events('id: 1\ndata: a\n\n');
    first.handler.failed(true, 'reset');
    const second = harness.lastSent();
    second.start();
    second.answer(500, 'broken');
    harness.advance(9000);
    expect([sink.text, sink.calls]).toEqual(['id: 1\ndata: a\n\n', ['open 200 s1', 'abort']]);
  });

  it('pauses its worker while the client reads slowly', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/stream/x');
    sink.slow = true;
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    sent.events('id: 1\ndata: a\n\n');
    const paused = sent.paused;
    sink.drained?.();
    expect([paused, sent.paused]).toEqual([true, false]);
  });

  it('control safety, point 5: is not taken from a worker that is held up by a slow client', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const sends = harness.link.sent.length;
    const { sink } = harness.submit('/resumable/x', { deadlineMs: 9000 });
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    sink.slow = true;
    sent.events('id: 1\ndata: a\n\n');
    harness.advance(3000);
    sink.slow = false;
    sink.drained?.();
    harness.advance(900);
    sent.events('id: 2\ndata: b\n\n');
    sent.handler.end();
    expect([sent.aborted, harness.link.sent.length - sends, sink.text, sink.calls]).toEqual([
      false,
      1,
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      ['open 200 s1', 'close'],
    ]);
  });

  it('is cancelled when its client has left', () => {
    const harness = new RouterHarness([worker('w1'), worker('w2')]);
    harness.earnRetryBudget(5);
    const sends = harness.link.sent.length;
    const { leave } = harness.submit('/resumable/x');
    const sent = harness.lastSent();
    sent.start();
    sent.openStream('s1');
    leave();
    sent.handler.failed(true, 'aborted');
    harness.advance(100);
    expect([sent.aborted, harness.link.sent.length - sends, harness.router.inFlight]).toEqual([true, 1, 0]);
  });
});
