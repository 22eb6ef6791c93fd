import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let harness: RoutingHarness;

afterEach(() => harness.close());

describe('control safety, point 5: several requests on one client connection', () => {
  it(
    'control safety, point 5: pipelined requests get their own responses in order, whichever response arrives first',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const first = harness.client.requestText({ id: 'a', path: '/once/x' });
      const second = harness.client.requestText({ id: 'b', path: '/often/x' });
      harness.client.send(first + second);
      const calls = [await harness.nextCall(), await harness.nextCall()];
      calls.find((call) => call.id === 'b')?.respond();
      calls.find((call) => call.id === 'a')?.respond();
      const answers = [await harness.client.next(), await harness.client.next()];
      expect(answers.map(({ body }) => body)).toEqual(['of a', 'of b']);
    },
  );

  it(
    'control safety, point 5: malformed input after a request gets no response before that of the request',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      harness.client.send(
        `${harness.client.requestText({ id: 'a', path: '/once/x' })}no request at all\r\n\r\n`,
      );
      const call = await harness.nextCall();
      const other = await harness.edge.connect();
      other.request({ id: 'other', path: '/missing/x' });
      await other.next();
      call.respond();
      const answer = await harness.client.next();
      const end = await harness.client.next();
      expect([answer.status, answer.body, end.status, harness.client.rest]).toEqual([200, 'of a', 0, '']);
    },
  );

  it(
    'control safety, point 5: malformed input during a stream does not interrupt the stream',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      harness.client.request({ id: 'a', path: '/tell/x' });
      const call = await harness.nextCall();
      call.openStream();
      call.event(1);
      await harness.client.waitForText('id: 1');
      harness.client.send('no request at all\r\n\r\n');
      const other = await harness.edge.connect();
      other.request({ id: 'other', path: '/missing/x' });
      await other.next();
      call.event(2);
      call.endStream();
      const answer = await harness.client.next();
      expect([answer.whole, answer.body]).toEqual([true, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n']);
    },
  );

  it(
    'control safety, point 5: a queued stream that breaks is cut after the response that is pending before it',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const first = harness.client.requestText({ id: 'a', path: '/once/x' });
      const second = harness.client.requestText({ id: 'b', path: '/tell/x' });
      harness.client.send(first + second);
      const calls = [await harness.nextCall(), await harness.nextCall()];
      const stream = calls.find((call) => call.id === 'b');
      stream?.openStream();
      stream?.event(1);
      await harness.roundTrip();
      stream?.reset();
      await stream?.closed;
      await harness.roundTrip();
      calls.find((call) => call.id === 'a')?.respond();
      const answer = await harness.client.next();
      const cut = await harness.client.next();
      expect([answer.body, cut.whole, harness.client.ended]).toEqual(['of a', false, true]);
    },
  );

  it('hop-by-hop headers are not forwarded, including those named by `Connection`', LIMIT, async () => {
    harness = await RoutingHarness.open(1);
    const hop = ['Connection: keep-alive, X-Hop', 'X-Hop: 1', 'Keep-Alive: timeout=9', 'X-Note: 2'];
    harness.client.request({ id: 'a', path: '/once/x', headers: hop });
    const call = await harness.nextCall();
    call.respond({ headers: ['Connection: keep-alive, X-Back', 'X-Back: 3', 'X-Mark: 4'] });
    const { headers } = await harness.client.next();
    const atWorker = ['x-hop', 'keep-alive', 'x-note'].map((name) => call.headers.get(name));
    const atClient = ['x-back', 'x-mark'].map((name) => headers.get(name));
    expect([atWorker, atClient]).toEqual([
      [undefined, undefined, '2'],
      [undefined, '4'],
    ]);
  });

  it(
    'control safety, point 5: a request whose id is already in flight is not sent to a worker',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      harness.client.request({ id: 'a', path: '/once/x' });
      const call = await harness.nextCall();
      const other = await harness.edge.connect();
      other.request({ id: 'a', path: '/once/x' });
      const second = await other.next();
      call.respond();
      const first = await harness.client.next();
      expect([first.body, second.status, harness.calls('a')]).toEqual(['of a', 502, 1]);
    },
  );

  it(
    'control safety, point 5: a request with two ids or two hosts is rejected and reaches no worker',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      harness.client.request({ id: 'a', path: '/once/x', headers: ['Call-Id: b'] });
      const twoIds = await harness.client.next();
      const other = await harness.edge.connect();
      other.request({ id: 'c', path: '/once/x', headers: ['Host: b.example'] });
      const twoHosts = await other.next();
      const third = await harness.edge.connect();
      const next = await harness.sendNextRequest('w0', third);
      expect([twoIds.status, twoHosts.status, next.status, harness.worker('w0').received.length]).toEqual([
        400, 400, 200, 1,
      ]);
    },
  );
});

describe('control safety, point 5: a client that disconnects', () => {
  const moments = [
    'before the response',
    'within a response with a length',
    'within a stream',
    'within a response with Connection: close',
  ] as const;
  for (const moment of moments)
    it(
      `control safety, point 5: a client that disconnects ${moment} closes the worker connection, and no other client gets the rest`,
      LIMIT,
      async () => {
        harness = await RoutingHarness.open(1);
        const id = harness.requestIdFor('w0');
        harness.client.request({ id, path: moment === 'within a stream' ? '/tell/x' : '/once/x' });
        const call = await harness.nextCall();
        if (moment === 'within a response with a length') call.write(call.responseText({}).slice(0, -2));
        if (moment === 'within a response with Connection: close')
          call.write(call.responseText({ headers: ['Connection: close'] }).slice(0, -2));
        if (moment === 'within a stream') {
          call.openStream();
          call.event(1);
          await harness.client.waitForText('id: 1');
        }
        harness.client.reset();
        await call.closed;
        call.respond();
        const next = await harness.sendNextRequest('w0', await harness.edge.connect());
        expect([next.status, next.body.startsWith('of r'), harness.calls(id)]).toEqual([200, true, 1]);
      },
    );
});

/** Blocks the event loop, like a machine that gets no processor time. */
function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('control safety, point 5: graceful shutdown of an edge', () => {
  it(
    'control safety, point 5: an edge that stops completes responses in progress, and closes their connections afterwards',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1, { graceMs: 3000 });
      harness.client.request({ id: 'a', path: '/tell/x' });
      const call = await harness.nextCall();
      call.openStream();
      call.event(1);
      await harness.client.waitForText('id: 1');
      const stopped = harness.edge.node.stop();
      call.event(2);
      call.endStream();
      const answer = await harness.client.next();
      await stopped;
      const end = await harness.client.next();
      expect([answer.whole, answer.body, end.status]).toEqual([
        true,
        'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n',
        0,
      ]);
    },
  );

  it(
    'control safety, point 5: an edge that stalled past its time to close still answers requests that arrived meanwhile',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1, { graceMs: 6000 });
      harness.client.request({ id: 'first', path: '/once/x' });
      (await harness.nextCall()).respond();
      await harness.client.next();
      const stopped = harness.edge.node.stop();
      harness.client.request({ id: 'a', path: '/once/x' });
      // Longer than a stopping node keeps its listener open: 3000 ms of a grace period of 6000 ms.
      stall(3100);
      void harness.nextCall().then((call) => call.respond());
      const answer = await harness.client.next();
      await stopped;
      expect([answer.status, answer.whole, answer.body]).toEqual([200, true, 'of a']);
    },
  );

  it(
    'control safety, point 5: an edge gives a complete error response to requests unanswered at the end of its grace period',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1, { graceMs: 1000 });
      harness.client.request({ id: 'a', path: '/once/x' });
      await harness.nextCall();
      await harness.edge.core.setWorkers([]);
      const waiting = await harness.edge.connect();
      waiting.request({ id: 'b', path: '/once/x' });
      const stopped = harness.edge.node.stop();
      const answers = [await harness.client.next(), await waiting.next()];
      await stopped;
      expect(answers.map(({ status, whole }) => [status, whole])).toEqual([
        [504, true],
        [503, true],
      ]);
    },
  );
});

describe('control safety, point 5: a machine that was frozen', () => {
  it(
    'control safety, point 5: after a freeze, if the timeout of the request has passed, the client gets 504, and the late response is dropped',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      harness.edge.clockJumpMs += 60_000;
      const answer = await harness.client.next();
      await call.closed;
      call.respond();
      const next = await harness.sendNextRequest('w0');
      expect([answer.status, answer.whole, next.body.startsWith('of r'), harness.calls(id)]).toEqual([
        504,
        true,
        true,
        1,
      ]);
    },
  );

  it(
    'control safety, point 5: after a freeze, if the timeout of the request has not passed, its response is forwarded',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      harness.edge.clockJumpMs += 4000;
      await harness.edge.nextTick();
      call.respond();
      expect((await harness.client.next()).body).toEqual(`of ${id}`);
    },
  );
});
