import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerCall } from './testing/stand-in-worker.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let harness: RoutingHarness;

afterEach(() => harness.close());

const STREAM_FAILURES: readonly (readonly [what: string, act: (call: WorkerCall) => void])[] = [
  ['is reset', (call) => call.reset()],
  ['is closed', (call) => call.close()],
  ['ends within an event', (call) => sendPartialEvent(call, (one) => one.endStream())],
  ['is closed within an event', (call) => sendPartialEvent(call, (one) => one.close())],
  ['continues with a chunk with a malformed length', (call) => call.write('zz\r\nid: 2\ndata: e2\n\n\r\n')],
  ['continues with another response', (call) => call.respond({ body: 'surplus' })],
];

function sendPartialEvent(call: WorkerCall, end: (call: WorkerCall) => void): void {
  call.chunk('id: 2\nda');
  end(call);
}

/** Requests a stream from w0 and waits until its first event has reached the client. */
async function startStream(kind: 'tell' | 'talk'): Promise<{ id: string; call: WorkerCall }> {
  const id = harness.requestIdFor('w0');
  harness.client.request({ id, path: `/${kind}/x` });
  const call = await harness.nextCall();
  call.openStream('first');
  call.event(1);
  await harness.client.waitForText('id: 1\ndata: e1\n\n');
  return { id, call };
}

const FIRST_EVENT = 'id: 1\ndata: e1\n\n';
const SECOND_EVENT = 'id: 2\ndata: e2\n\n';

describe('control safety, point 5: a stream that breaks after its first event', () => {
  for (const [what, act] of STREAM_FAILURES) {
    it(
      `control safety, point 5: a non-resumable stream that ${what} is visibly cut for the client and runs once`,
      LIMIT,
      async () => {
        harness = await RoutingHarness.open(2);
        const { id, call } = await startStream('tell');
        act(call);
        const answer = await harness.client.next();
        expect([
          answer.whole,
          answer.status,
          answer.body.includes(FIRST_EVENT.slice(0, 5)),
          harness.calls(id),
        ]).toEqual([false, 200, true, 1]);
        expect(harness.client.text.includes('id: 2')).toEqual(false);
      },
    );

    it(
      `control safety, point 5: a resumable stream that ${what} continues after its last complete event`,
      LIMIT,
      async () => {
        harness = await RoutingHarness.open(2);
        const { id, call } = await startStream('talk');
        act(call);
        const second = await harness.nextCall();
        second.openStream('second');
        second.event(2);
        second.endStream();
        const answer = await harness.client.next();
        expect([answer.whole, answer.body, answer.headers.get('mark')]).toEqual([
          true,
          FIRST_EVENT + SECOND_EVENT,
          'first',
        ]);
        expect([second.headers.get('last-event-id'), second.worker, harness.calls(id)]).toEqual([
          '1',
          'w1',
          2,
        ]);
      },
    );
  }

  it(
    'control safety, point 5: events of a surplus stream from a worker are delivered to no client',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const { id, call } = await startStream('tell');
      call.endStream();
      const answer = await harness.client.next();
      call.openStream('surplus');
      call.event(7);
      await call.closed;
      const next = await harness.sendNextRequest('w0');
      expect([answer.body, next.status, harness.client.text.includes('id: 7'), harness.calls(id)]).toEqual([
        FIRST_EVENT,
        200,
        false,
        1,
      ]);
    },
  );
});

describe('control safety, point 5: a resumed stream that workers decline', () => {
  it(
    'control safety, point 5: a declined stream is resumed on a worker that it was sent to before, instead of being cut',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(3);
      await harness.earnRetryBudget(6);
      const { id, call } = await startStream('talk');
      call.reset();
      (await harness.nextCall()).decline();
      (await harness.nextCall()).decline();
      const fourth = await harness.nextCall();
      fourth.openStream('fourth');
      fourth.event(2);
      fourth.endStream();
      const answer = await harness.client.next();
      const sentTo = new Set(harness.workers.filter(({ received }) => received.some((one) => one.id === id)));
      expect([answer.whole, answer.body, harness.calls(id), sentTo.size]).toEqual([
        true,
        FIRST_EVENT + SECOND_EVENT,
        4,
        3,
      ]);
    },
  );

  it(
    'control safety, point 5: a resumed stream never goes to more workers than its route allows',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(5);
      await harness.earnRetryBudget(6);
      const { id, call } = await startStream('talk');
      call.reset();
      for (let attempt = 0; attempt < 4; attempt += 1) (await harness.nextCall()).decline();
      const last = await harness.nextCall();
      last.openStream();
      last.event(2);
      last.endStream();
      const answer = await harness.client.next();
      const sentTo = harness.workers.filter(({ received }) => received.some((one) => one.id === id));
      expect([answer.whole, answer.body, sentTo.length]).toEqual([true, FIRST_EVENT + SECOND_EVENT, 3]);
    },
  );

  it(
    'control safety, point 5: a stream that cannot be resumed is cut after the longest gap that its client accepts',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const { call } = await startStream('talk');
      harness.worker('w0').close();
      call.reset();
      await harness.edge.core.setWorkers([]);
      harness.edge.clockJumpMs += 3000;
      const answer = await harness.client.next();
      expect([answer.whole, answer.status]).toEqual([false, 200]);
    },
  );
});

describe('control safety, point 5: a stream of which nothing has reached the client', () => {
  it(
    'control safety, point 5: a stream without events gets a complete error response if its worker fails and the next one declines',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/talk/x' });
      const first = await harness.nextCall();
      first.openStream('first');
      first.chunk('id: 1\nda');
      first.reset();
      (await harness.nextCall()).decline();
      const answer = await harness.client.next();
      expect([answer.status, answer.whole]).toEqual([502, true]);
    },
  );

  it(
    'control safety, point 5: a non-resumable stream without events gets a complete error response if its worker fails',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/tell/x' });
      const first = await harness.nextCall();
      first.openStream('first');
      first.reset();
      const answer = await harness.client.next();
      expect([answer.status, answer.whole, harness.calls(id)]).toEqual([502, true, 1]);
    },
  );

  it(
    'control safety, point 5: a stream is rejected immediately with 503 and Retry-After if all workers decline',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(3);
      await harness.earnRetryBudget(3);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/tell/x' });
      for (let attempt = 0; attempt < 3; attempt += 1) (await harness.nextCall()).decline();
      const answer = await harness.client.next();
      expect([answer.status, answer.whole, answer.headers.has('retry-after')]).toEqual([503, true, true]);
    },
  );
});

describe('control safety, point 5: a silent worker', () => {
  it(
    'control safety, point 5: a stream stays with its silent worker if no other can take it, and its next event is forwarded',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const { id, call } = await startStream('talk');
      harness.edge.clockJumpMs += 1500;
      const other = await harness.edge.connect();
      other.request({ id: harness.requestIdFor('w0'), path: '/missing/x' });
      await other.next();
      await harness.edge.nextTick();
      call.event(2);
      call.endStream();
      const answer = await harness.client.next();
      expect([answer.whole, answer.body, harness.calls(id)]).toEqual([true, FIRST_EVENT + SECOND_EVENT, 1]);
    },
  );

  it(
    'control safety, point 5: a resumable stream moves from its silent worker to another one',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const { call } = await startStream('talk');
      harness.edge.clockJumpMs += 1500;
      const second = await harness.nextCall();
      await call.closed;
      second.openStream('second');
      second.event(2);
      second.endStream();
      const answer = await harness.client.next();
      expect([answer.whole, answer.body]).toEqual([true, FIRST_EVENT + SECOND_EVENT]);
    },
  );

  it(
    'control safety, point 5: a repeatable request gets a complete error response if no other worker takes it',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      harness.client.request({ id: harness.requestIdFor('w0'), path: '/often/x' });
      const call = await harness.nextCall();
      harness.edge.clockJumpMs += 1500;
      const answer = await harness.client.next();
      await call.closed;
      expect([answer.status, answer.whole]).toEqual([502, true]);
    },
  );

  it(
    'control safety, point 5: a non-repeatable request stays with its silent worker until its timeout, then gets 504',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      harness.edge.clockJumpMs += 4000;
      await harness.edge.nextTick();
      const waited = harness.client.text;
      harness.edge.clockJumpMs += 1500;
      const answer = await harness.client.next();
      await call.closed;
      expect([waited, answer.status, answer.whole, harness.calls(id)]).toEqual(['', 504, true, 1]);
    },
  );
});
