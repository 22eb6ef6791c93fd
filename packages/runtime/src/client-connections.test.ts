import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let trial: RoutingHarness;

afterEach(() => trial.close());

describe('control safety, point 5: several requests on one client connection', () => {
  it(
    'control safety, point 5: pipelined requests get their own answers in order, whichever worker is first',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const first = trial.client.textOf({ id: 'a', path: '/once/x' });
      const second = trial.client.textOf({ id: 'b', path: '/often/x' });
      trial.client.send(first + second);
      const calls = [await trial.nextCall(), await trial.nextCall()];
      calls.find((call) => call.id === 'b')?.respond();
      calls.find((call) => call.id === 'a')?.respond();
      const answers = [await trial.client.next(), await trial.client.next()];
      expect(answers.map(({ body }) => body)).toEqual(['of a', 'of b']);
    },
  );

  it(
    "control safety, point 5: what cannot be read behind a request gets no answer before that request's",
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      trial.client.send(`${trial.client.textOf({ id: 'a', path: '/once/x' })}no request at all\r\n\r\n`);
      const call = await trial.nextCall();
      const other = await trial.edge.connect();
      other.request({ id: 'other', path: '/missing/x' });
      await other.next();
      call.respond();
      const answer = await trial.client.next();
      const end = await trial.client.next();
      expect([answer.status, answer.body, end.status, trial.client.rest]).toEqual([200, 'of a', 0, '']);
    },
  );

  it(
    'control safety, point 5: what cannot be read behind a stream does not break into it',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      trial.client.request({ id: 'a', path: '/tell/x' });
      const call = await trial.nextCall();
      call.openStream();
      call.event(1);
      await trial.client.until('id: 1');
      trial.client.send('no request at all\r\n\r\n');
      const other = await trial.edge.connect();
      other.request({ id: 'other', path: '/missing/x' });
      await other.next();
      call.event(2);
      call.endStream();
      const answer = await trial.client.next();
      expect([answer.whole, answer.body]).toEqual([true, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n']);
    },
  );

  it(
    'control safety, point 5: a stream that breaks behind an answer that is due is cut behind that answer',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const first = trial.client.textOf({ id: 'a', path: '/once/x' });
      const second = trial.client.textOf({ id: 'b', path: '/tell/x' });
      trial.client.send(first + second);
      const calls = [await trial.nextCall(), await trial.nextCall()];
      const stream = calls.find((call) => call.id === 'b');
      stream?.openStream();
      stream?.event(1);
      await trial.roundTrip();
      stream?.reset();
      await stream?.closed;
      await trial.roundTrip();
      calls.find((call) => call.id === 'a')?.respond();
      const answer = await trial.client.next();
      const cut = await trial.client.next();
      expect([answer.body, cut.whole, trial.client.ended]).toEqual(['of a', false, true]);
    },
  );

  it(
    'headers that concern one connection do not go on, those that `Connection` names among them',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const hop = ['Connection: keep-alive, X-Hop', 'X-Hop: 1', 'Keep-Alive: timeout=9', 'X-Note: 2'];
      trial.client.request({ id: 'a', path: '/once/x', headers: hop });
      const call = await trial.nextCall();
      call.respond({ headers: ['Connection: keep-alive, X-Back', 'X-Back: 3', 'X-Mark: 4'] });
      const { headers } = await trial.client.next();
      const atWorker = ['x-hop', 'keep-alive', 'x-note'].map((name) => call.headers.get(name));
      const atClient = ['x-back', 'x-mark'].map((name) => headers.get(name));
      expect([atWorker, atClient]).toEqual([
        [undefined, undefined, '2'],
        [undefined, '4'],
      ]);
    },
  );

  it('control safety, point 5: an id that is under way here is not sent a second time', LIMIT, async () => {
    trial = await RoutingHarness.open(2);
    trial.client.request({ id: 'a', path: '/once/x' });
    const call = await trial.nextCall();
    const other = await trial.edge.connect();
    other.request({ id: 'a', path: '/once/x' });
    const second = await other.next();
    call.respond();
    const first = await trial.client.next();
    expect([first.body, second.status, trial.calls('a')]).toEqual(['of a', 502, 1]);
  });

  it(
    'control safety, point 5: a request with two ids or two hosts is refused and reaches no worker',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      trial.client.request({ id: 'a', path: '/once/x', headers: ['Call-Id: b'] });
      const twoIds = await trial.client.next();
      const other = await trial.edge.connect();
      other.request({ id: 'c', path: '/once/x', headers: ['Host: b.example'] });
      const twoHosts = await other.next();
      const third = await trial.edge.connect();
      const next = await trial.sendNextRequest('w0', third);
      expect([twoIds.status, twoHosts.status, next.status, trial.worker('w0').received.length]).toEqual([
        400, 400, 200, 1,
      ]);
    },
  );
});

describe('control safety, point 5: a client that leaves', () => {
  const moments = [
    'before the answer',
    'within a plain answer',
    'within a stream',
    'within an answer that closes',
  ] as const;
  for (const moment of moments)
    it(
      `control safety, point 5: ${moment}: its worker's connection ends, and nobody else gets the rest`,
      LIMIT,
      async () => {
        trial = await RoutingHarness.open(1);
        const id = trial.requestIdFor('w0');
        trial.client.request({ id, path: moment === 'within a stream' ? '/tell/x' : '/once/x' });
        const call = await trial.nextCall();
        if (moment === 'within a plain answer') call.write(call.textOf({}).slice(0, -2));
        if (moment === 'within an answer that closes')
          call.write(call.textOf({ headers: ['Connection: close'] }).slice(0, -2));
        if (moment === 'within a stream') {
          call.openStream();
          call.event(1);
          await trial.client.until('id: 1');
        }
        trial.client.reset();
        await call.closed;
        call.respond();
        const next = await trial.sendNextRequest('w0', await trial.edge.connect());
        expect([next.status, next.body.startsWith('of r'), trial.calls(id)]).toEqual([200, true, 1]);
      },
    );
});

/** Holds up the event loop, as a machine without processor time does. */
function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('control safety, point 5: a node that ends', () => {
  it(
    'control safety, point 5: lets answers that are under way go out whole, and closes behind them',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1, { graceMs: 3000 });
      trial.client.request({ id: 'a', path: '/tell/x' });
      const call = await trial.nextCall();
      call.openStream();
      call.event(1);
      await trial.client.until('id: 1');
      const stopped = trial.edge.node.stop();
      call.event(2);
      call.endStream();
      const answer = await trial.client.next();
      await stopped;
      const end = await trial.client.next();
      expect([answer.whole, answer.body, end.status]).toEqual([
        true,
        'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n',
        0,
      ]);
    },
  );

  it(
    'control safety, point 5: answers what arrived while it stalled until past its time to close',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1, { graceMs: 2000 });
      trial.client.request({ id: 'first', path: '/once/x' });
      (await trial.nextCall()).respond();
      await trial.client.next();
      const stopped = trial.edge.node.stop();
      trial.client.request({ id: 'a', path: '/once/x' });
      stall(1100);
      void trial.nextCall().then((call) => call.respond());
      const answer = await trial.client.next();
      await stopped;
      expect([answer.status, answer.whole, answer.body]).toEqual([200, true, 'of a']);
    },
  );

  it(
    'control safety, point 5: gives a complete answer to what is unanswered at the end of its grace',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1, { graceMs: 1000 });
      trial.client.request({ id: 'a', path: '/once/x' });
      await trial.nextCall();
      await trial.edge.core.list([]);
      const waiting = await trial.edge.connect();
      waiting.request({ id: 'b', path: '/once/x' });
      const stopped = trial.edge.node.stop();
      const answers = [await trial.client.next(), await waiting.next()];
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
    'control safety, point 5: thawed after the time of a request, it gives 504, and the late answer reaches nobody',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      trial.edge.clockJumpMs += 60_000;
      const answer = await trial.client.next();
      await call.closed;
      call.respond();
      const next = await trial.sendNextRequest('w0');
      expect([answer.status, answer.whole, next.body.startsWith('of r'), trial.calls(id)]).toEqual([
        504,
        true,
        true,
        1,
      ]);
    },
  );

  it(
    'control safety, point 5: thawed before the time of a request, it passes its own answer on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      trial.edge.clockJumpMs += 4000;
      await trial.edge.nextTick();
      call.respond();
      expect((await trial.client.next()).body).toEqual(`of ${id}`);
    },
  );
});
