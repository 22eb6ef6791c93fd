import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerCall } from './testing/stand-in-worker.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let trial: RoutingHarness;

afterEach(() => trial.close());

const STREAM_FAILURES: readonly (readonly [what: string, act: (call: WorkerCall) => void])[] = [
  ['is reset', (call) => call.reset()],
  ['is closed', (call) => call.close()],
  ['ends within an event', (call) => sendPartialEvent(call, (one) => one.endStream())],
  ['is closed within an event', (call) => sendPartialEvent(call, (one) => one.close())],
  ['goes on with a chunk without a length', (call) => call.write('zz\r\nid: 2\ndata: e2\n\n\r\n')],
  ['goes on with another answer', (call) => call.respond({ body: 'surplus' })],
];

function sendPartialEvent(call: WorkerCall, end: (call: WorkerCall) => void): void {
  call.chunk('id: 2\nda');
  end(call);
}

/** Asks for a stream at w0 and waits until its first event has reached the client. */
async function openStream(kind: 'tell' | 'talk'): Promise<{ id: string; call: WorkerCall }> {
  const id = trial.requestIdFor('w0');
  trial.client.request({ id, path: `/${kind}/x` });
  const call = await trial.nextCall();
  call.openStream('first');
  call.event(1);
  await trial.client.until('id: 1\ndata: e1\n\n');
  return { id, call };
}

const FIRST_EVENT = 'id: 1\ndata: e1\n\n';
const SECOND_EVENT = 'id: 2\ndata: e2\n\n';

describe('control safety, point 5: a stream that breaks after its first event', () => {
  for (const [what, act] of STREAM_FAILURES) {
    it(
      `control safety, point 5: a stream that may not be resumed and ${what} is visibly cut, run once`,
      LIMIT,
      async () => {
        trial = await RoutingHarness.open(2);
        const { id, call } = await openStream('tell');
        act(call);
        const answer = await trial.client.next();
        expect([
          answer.whole,
          answer.status,
          answer.body.includes(FIRST_EVENT.slice(0, 5)),
          trial.calls(id),
        ]).toEqual([false, 200, true, 1]);
        expect(trial.client.text.includes('id: 2')).toEqual(false);
      },
    );

    it(
      `control safety, point 5: a stream that may be resumed and ${what} goes on after its last whole event`,
      LIMIT,
      async () => {
        trial = await RoutingHarness.open(2);
        const { id, call } = await openStream('talk');
        act(call);
        const second = await trial.nextCall();
        second.openStream('second');
        second.event(2);
        second.endStream();
        const answer = await trial.client.next();
        expect([answer.whole, answer.body, answer.headers.get('mark')]).toEqual([
          true,
          FIRST_EVENT + SECOND_EVENT,
          'first',
        ]);
        expect([second.headers.get('last-event-id'), second.worker, trial.calls(id)]).toEqual(['1', 'w1', 2]);
      },
    );
  }

  it("control safety, point 5: a worker's events after a surplus beginning are nobody's", LIMIT, async () => {
    trial = await RoutingHarness.open(1);
    const { id, call } = await openStream('tell');
    call.endStream();
    const answer = await trial.client.next();
    call.openStream('surplus');
    call.event(7);
    await call.closed;
    const next = await trial.sendNextRequest('w0');
    expect([answer.body, next.status, trial.client.text.includes('id: 7'), trial.calls(id)]).toEqual([
      FIRST_EVENT,
      200,
      false,
      1,
    ]);
  });
});

describe('control safety, point 5: a resumed stream that is refused', () => {
  it(
    'control safety, point 5: is taken up again at a worker that it was sent to before, not cut',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(3);
      await trial.earnRetryBudget(6);
      const { id, call } = await openStream('talk');
      call.reset();
      (await trial.nextCall()).decline();
      (await trial.nextCall()).decline();
      const fourth = await trial.nextCall();
      fourth.openStream('fourth');
      fourth.event(2);
      fourth.endStream();
      const answer = await trial.client.next();
      const sentTo = new Set(trial.workers.filter(({ received }) => received.some((one) => one.id === id)));
      expect([answer.whole, answer.body, trial.calls(id), sentTo.size]).toEqual([
        true,
        FIRST_EVENT + SECOND_EVENT,
        4,
        3,
      ]);
    },
  );

  it('control safety, point 5: never goes to more workers than its route allows', LIMIT, async () => {
    trial = await RoutingHarness.open(5);
    await trial.earnRetryBudget(6);
    const { id, call } = await openStream('talk');
    call.reset();
    for (let turn = 0; turn < 4; turn += 1) (await trial.nextCall()).decline();
    const last = await trial.nextCall();
    last.openStream();
    last.event(2);
    last.endStream();
    const answer = await trial.client.next();
    const sentTo = trial.workers.filter(({ received }) => received.some((one) => one.id === id));
    expect([answer.whole, answer.body, sentTo.length]).toEqual([true, FIRST_EVENT + SECOND_EVENT, 3]);
  });

  it('control safety, point 5: is cut once the client bears its silence no longer', LIMIT, async () => {
    trial = await RoutingHarness.open(1);
    const { call } = await openStream('talk');
    trial.worker('w0').close();
    call.reset();
    await trial.edge.core.list([]);
    trial.edge.clockJumpMs += 3000;
    const answer = await trial.client.next();
    expect([answer.whole, answer.status]).toEqual([false, 200]);
  });
});

describe('control safety, point 5: a stream of which nothing has gone to the client', () => {
  it(
    'control safety, point 5: gets a complete answer when its worker breaks off and the next refuses',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/talk/x' });
      const first = await trial.nextCall();
      first.openStream('first');
      first.chunk('id: 1\nda');
      first.reset();
      (await trial.nextCall()).decline();
      const answer = await trial.client.next();
      expect([answer.status, answer.whole]).toEqual([502, true]);
    },
  );

  it(
    'control safety, point 5: gets a complete answer when it may run once and its worker breaks off',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/tell/x' });
      const first = await trial.nextCall();
      first.openStream('first');
      first.reset();
      const answer = await trial.client.next();
      expect([answer.status, answer.whole, trial.calls(id)]).toEqual([502, true, 1]);
    },
  );

  it('control safety, point 5: is refused at once with a promise when all decline', LIMIT, async () => {
    trial = await RoutingHarness.open(3);
    await trial.earnRetryBudget(3);
    const id = trial.requestIdFor('w0');
    trial.client.request({ id, path: '/tell/x' });
    for (let turn = 0; turn < 3; turn += 1) (await trial.nextCall()).decline();
    const answer = await trial.client.next();
    expect([answer.status, answer.whole, answer.headers.has('retry-after')]).toEqual([503, true, true]);
  });
});

describe('control safety, point 5: a silent worker', () => {
  it(
    'control safety, point 5: keeps a stream that no other worker can take, and its next event is passed on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const { id, call } = await openStream('talk');
      trial.edge.clockJumpMs += 1500;
      const other = await trial.edge.connect();
      other.request({ id: trial.requestIdFor('w0'), path: '/missing/x' });
      await other.next();
      await trial.edge.nextTick();
      call.event(2);
      call.endStream();
      const answer = await trial.client.next();
      expect([answer.whole, answer.body, trial.calls(id)]).toEqual([true, FIRST_EVENT + SECOND_EVENT, 1]);
    },
  );

  it(
    'control safety, point 5: loses a stream that may be resumed to a worker that takes it',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const { call } = await openStream('talk');
      trial.edge.clockJumpMs += 1500;
      const second = await trial.nextCall();
      await call.closed;
      second.openStream('second');
      second.event(2);
      second.endStream();
      const answer = await trial.client.next();
      expect([answer.whole, answer.body]).toEqual([true, FIRST_EVENT + SECOND_EVENT]);
    },
  );

  it(
    'control safety, point 5: loses a plain request that may be repeated, which gets a complete answer where no worker takes it',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      trial.client.request({ id: trial.requestIdFor('w0'), path: '/often/x' });
      const call = await trial.nextCall();
      trial.edge.clockJumpMs += 1500;
      const answer = await trial.client.next();
      await call.closed;
      expect([answer.status, answer.whole]).toEqual([502, true]);
    },
  );

  it(
    'control safety, point 5: keeps a request that may run once until its time is over, then 504',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      trial.edge.clockJumpMs += 4000;
      await trial.edge.nextTick();
      const waited = trial.client.text;
      trial.edge.clockJumpMs += 1500;
      const answer = await trial.client.next();
      await call.closed;
      expect([waited, answer.status, answer.whole, trial.calls(id)]).toEqual(['', 504, true, 1]);
    },
  );
});
