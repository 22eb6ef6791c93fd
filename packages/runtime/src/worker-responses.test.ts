import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { ConnectionFault, WorkerCall } from './testing/stand-in-worker.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let trial: RoutingHarness;

afterEach(() => trial.close());

/** What a worker may do to a request that it has read whole, so that nobody can tell whether it ran. */
const UNCLEAR_OUTCOMES: readonly (readonly [what: string, act: (call: WorkerCall) => void])[] = [
  ['resets the connection', (call) => call.reset()],
  ['closes the connection', (call) => call.close()],
  ['answers another request', (call) => call.respond({ id: 'another', body: 'of another' })],
  ['answers without an id', (call) => call.respond({ id: null })],
  ['fails without an id', (call) => call.respond({ id: null, status: 500 })],
  ['answers without a signature', (call) => call.respond({ signature: null })],
  ['sends bytes that are no answer', (call) => call.write('what is this\r\n\r\n')],
  ['answers in an unheard protocol', (call) => call.write('HTTP/9.7 200 OK\r\nContent-Length: 0\r\n\r\n')],
  ['breaks a plain answer off with a close', (call) => sendHalf(call, (one) => one.close())],
  ['breaks a plain answer off with a reset', (call) => sendHalf(call, (one) => one.reset())],
  ['breaks a chunked answer off with a close', (call) => sendHalfChunked(call, (one) => one.close())],
  ['breaks a chunked answer off with a reset', (call) => sendHalfChunked(call, (one) => one.reset())],
  ['sends a chunk without a length', (call) => sendBadChunk(call)],
  ['gives two lengths', (call) => call.respond({ headers: ['Content-Length: 1'] })],
  ['answers without a length and closes', (call) => sendUnframed(call, (one) => one.close())],
  ['answers without a length and resets', (call) => sendUnframed(call, (one) => one.reset())],
  ['declines without an id', (call) => call.decline({ id: null })],
  ['declines another request', (call) => call.decline({ id: 'another' })],
  [
    'says of another request that it belongs elsewhere',
    (call) => call.respond({ id: 'another', status: 421 }),
  ],
  ['says without an id that it belongs elsewhere', (call) => call.respond({ id: null, status: 421 })],
  ['answers well and says that it has not run it', (call) => call.respond({ headers: ['Unrun: 1'] })],
  ['wants to upgrade', (call) => call.write('HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n')],
];

function sendHalf(call: WorkerCall, end: (call: WorkerCall) => void): void {
  const text = call.textOf({});
  call.write(text.slice(0, -2));
  setImmediate(() => end(call));
}

function sendHalfChunked(call: WorkerCall, end: (call: WorkerCall) => void): void {
  call.write(
    `HTTP/1.1 200 OK\r\nCall-Id: ${call.id}\r\nMark: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nof\r\n`,
  );
  setImmediate(() => end(call));
}

function sendBadChunk(call: WorkerCall): void {
  call.write(
    `HTTP/1.1 200 OK\r\nCall-Id: ${call.id}\r\nMark: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nof\r\n`,
  );
}

function sendUnframed(call: WorkerCall, end: (call: WorkerCall) => void): void {
  call.write(`HTTP/1.1 200 OK\r\nCall-Id: ${call.id}\r\nMark: s\r\n\r\nhalf of it`);
  setImmediate(() => end(call));
}

for (const connection of ['fresh', 'reused'] as const) {
  describe(`control safety, point 5: on a ${connection} connection, a worker that`, () => {
    for (const [what, act] of UNCLEAR_OUTCOMES) {
      for (const kind of ['once', 'tell'] as const)
        it(
          `control safety, point 5: ${what} leaves a ${kind} request run once and failed (${connection})`,
          LIMIT,
          async () => {
            trial = await RoutingHarness.open(2);
            if (connection === 'reused') await trial.warmUpConnection('w0');
            const id = trial.requestIdFor('w0');
            trial.client.request({ id, path: `/${kind}/x` });
            const call = await trial.nextCall();
            act(call);
            const answer = await trial.client.next();
            await call.closed;
            const next = await trial.sendNextRequest('w1');
            expect([answer.status, answer.whole, trial.calls(id), next.status]).toEqual([502, true, 1, 200]);
          },
        );

      for (const kind of ['often', 'talk'] as const)
        it(
          `control safety, point 5: ${what} leaves a ${kind} request to another worker (${connection})`,
          LIMIT,
          async () => {
            trial = await RoutingHarness.open(2);
            if (connection === 'reused') await trial.warmUpConnection('w0');
            const id = trial.requestIdFor('w0');
            trial.client.request({ id, path: `/${kind}/x` });
            const first = await trial.nextCall();
            act(first);
            const second = await trial.nextCall();
            second.respond();
            const answer = await trial.client.next();
            await first.closed;
            expect([answer.status, answer.body, second.worker, trial.calls(id)]).toEqual([
              200,
              `of ${id}`,
              'w1',
              2,
            ]);
          },
        );
    }
  });
}

describe('control safety, point 5: a connection that ends before its request is whole', () => {
  const faults: readonly ConnectionFault[] = ['reset on bytes', 'reset on head'];
  for (const fault of faults)
    for (const kind of ['once', 'often'] as const)
      it(`control safety, point 5: ${fault}, ${kind}: sent again only where it may be`, LIMIT, async () => {
        trial = await RoutingHarness.open(2);
        trial.worker('w0').fault = fault;
        const id = trial.requestIdFor('w0');
        trial.client.request({ id, path: `/${kind}/x`, body: 'b'.repeat(200_000) });
        if (kind === 'often') (await trial.nextCall()).respond();
        const answer = await trial.client.next();
        expect([answer.status, trial.calls(id)]).toEqual(kind === 'often' ? [200, 1] : [502, 0]);
      });

  it(
    'control safety, point 5: reset on accept: sent again only if the reset came before the first byte',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      trial.worker('w0').fault = 'reset on accept';
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      void trial.nextCall().then((call) => call.respond());
      const { status } = await trial.client.next();
      expect([status, trial.calls(id)]).toEqual(status === 502 ? [502, 0] : [200, 1]);
    },
  );

  it(
    'control safety, point 5: a kept connection that its worker forgot: a once request fails, others go on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      await trial.warmUpConnection('w0');
      trial.worker('w0').fault = 'reset on bytes';
      trial.client.request({ id: trial.requestIdFor('w0'), path: '/once/x' });
      const once = await trial.client.next();
      const often = trial.requestIdFor('w1');
      trial.client.request({ id: often, path: '/often/x' });
      (await trial.nextCall()).respond();
      expect([once.status, (await trial.client.next()).body]).toEqual([502, `of ${often}`]);
    },
  );

  it(
    'control safety, point 5: a worker that cannot be reached has run nothing: the request goes to another',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      trial.worker('w0').close();
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      call.respond();
      expect([(await trial.client.next()).body, call.worker]).toEqual([`of ${id}`, 'w1']);
    },
  );
});

describe('control safety, point 5: surplus and late answers', () => {
  it(
    "control safety, point 5: a surplus answer behind the first, in the same write, is nobody's",
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      call.write(call.textOf({}) + call.textOf({ body: 'surplus' }));
      const answer = await trial.client.next();
      await call.closed;
      const next = await trial.sendNextRequest('w0');
      expect([answer.body, next.status, next.body.startsWith('of r'), trial.client.rest]).toEqual([
        `of ${id}`,
        200,
        true,
        '',
      ]);
    },
  );

  it(
    "control safety, point 5: a surplus answer on an idle connection closes it and is nobody's",
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      call.respond();
      await trial.client.next();
      call.respond({ body: 'surplus' });
      await call.closed;
      const next = await trial.sendNextRequest('w0');
      expect([next.status, trial.worker('w0').connections, trial.client.rest]).toEqual([200, 2, '']);
    },
  );

  it(
    'control safety, point 5: bytes beyond the length of an answer close its connection',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      call.write(`${call.textOf({})}more than there should be`);
      const answer = await trial.client.next();
      await call.closed;
      expect([answer.body, (await trial.sendNextRequest('w0')).status]).toEqual([`of ${id}`, 200]);
    },
  );

  for (const kind of ['once', 'often'] as const)
    it(
      `control safety, point 5: the surplus answer of the request before is not taken for a ${kind} request`,
      LIMIT,
      async () => {
        trial = await RoutingHarness.open(2);
        const first = trial.requestIdFor('w0');
        trial.client.request({ id: first, path: '/once/x' });
        (await trial.nextCall()).respond();
        await trial.client.next();
        const second = trial.requestIdFor('w0');
        trial.client.request({ id: second, path: `/${kind}/x` });
        const call = await trial.nextCall();
        call.write(call.textOf({ id: first, body: 'surplus' }) + call.textOf({}));
        if (kind === 'often') (await trial.nextCall()).respond();
        const answer = await trial.client.next();
        expect([
          call.connection,
          answer.status,
          answer.body.includes('surplus'),
          trial.calls(second),
        ]).toEqual(kind === 'often' ? [0, 200, false, 2] : [0, 502, false, 1]);
      },
    );

  it('control safety, point 5: a late answer after the time-out reaches nobody', LIMIT, async () => {
    trial = await RoutingHarness.open(1);
    trial.client.request({ id: trial.requestIdFor('w0'), path: '/brief/x' });
    const call = await trial.nextCall();
    const answer = await trial.client.next();
    await call.closed;
    call.respond({ body: 'late' });
    const next = await trial.sendNextRequest('w0');
    expect([answer.status, next.status, next.body.startsWith('of r'), trial.client.rest]).toEqual([
      504,
      200,
      true,
      '',
    ]);
  });

  it(
    'control safety, point 5: a worker declines twice: the second word does not stand for a run that goes on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      await trial.warmUpConnection('w0');
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const first = await trial.nextCall();
      first.decline();
      const second = await trial.nextCall();
      first.decline();
      second.respond();
      const answer = await trial.client.next();
      expect([answer.status, answer.body, trial.calls(id)]).toEqual([200, `of ${id}`, 2]);
    },
  );
});

describe('control safety, point 5: what a worker did not run', () => {
  it('control safety, point 5: declined, the request goes to another worker', LIMIT, async () => {
    trial = await RoutingHarness.open(2);
    const id = trial.requestIdFor('w0');
    trial.client.request({ id, path: '/once/x' });
    (await trial.nextCall()).decline();
    (await trial.nextCall()).respond();
    expect((await trial.client.next()).body).toEqual(`of ${id}`);
  });

  it(
    'control safety, point 5: an address that another service reuses answers 421, and the request goes on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const first = await trial.nextCall();
      const wanted = first.headers.get('only');
      first.respond({ status: 421, body: '' });
      const second = await trial.nextCall();
      second.respond();
      expect([wanted, second.headers.get('only'), (await trial.client.next()).body]).toEqual([
        'w0',
        'w1',
        `of ${id}`,
      ]);
    },
  );

  it(
    'control safety, point 5: declined by all, it is refused at once with a promise and a time',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(3);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      (await trial.nextCall()).decline();
      (await trial.nextCall()).decline();
      const answer = await trial.client.next();
      expect([answer.status, answer.headers.has('retry-after'), trial.calls(id)]).toEqual([503, true, 2]);
    },
  );

  it(
    'control safety, point 5: declined after another worker may have run it, it is failed without a promise',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(2);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/often/x' });
      (await trial.nextCall()).reset();
      (await trial.nextCall()).decline();
      const answer = await trial.client.next();
      expect([answer.status, answer.headers.has('retry-after')]).toEqual([502, false]);
    },
  );
});

describe('control safety, point 5: answers of rare shapes', () => {
  it(
    'control safety, point 5: interim answers are left out, and the answer is passed on',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      const call = await trial.nextCall();
      call.write('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n');
      call.respond();
      const answer = await trial.client.next();
      expect([answer.status, answer.body, trial.client.text.startsWith('HTTP/1.1 200')]).toEqual([
        200,
        `of ${id}`,
        true,
      ]);
    },
  );

  it(
    'control safety, point 5: an answer that closes its connection is whole, and the next goes on another',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x' });
      (await trial.nextCall()).respond({ headers: ['Connection: close'] });
      const answer = await trial.client.next();
      const next = await trial.sendNextRequest('w0');
      expect([answer.body, next.status, trial.worker('w0').connections]).toEqual([`of ${id}`, 200, 2]);
    },
  );

  it(
    "control safety, point 5: 204 and 304 come without a body, and the next answer is the next request's",
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      for (const status of [204, 304]) {
        const id = trial.requestIdFor('w0');
        trial.client.request({ id, path: '/once/x' });
        const call = await trial.nextCall();
        call.write(`HTTP/1.1 ${status} X\r\nCall-Id: ${id}\r\nMark: s\r\n\r\n`);
        const answer = await trial.client.next();
        const next = await trial.sendNextRequest('w0');
        expect([answer.status, answer.headers.has('content-length'), answer.body, next.status]).toEqual([
          status,
          false,
          '',
          200,
        ]);
      }
    },
  );

  it(
    'control safety, point 5: the answer to HEAD keeps the length that its worker gave, and has no body',
    LIMIT,
    async () => {
      trial = await RoutingHarness.open(1);
      const id = trial.requestIdFor('w0');
      trial.client.request({ id, path: '/once/x', method: 'HEAD', body: '' });
      const call = await trial.nextCall();
      call.write(`HTTP/1.1 200 OK\r\nCall-Id: ${id}\r\nMark: s\r\nContent-Length: 5\r\n\r\n`);
      const answer = await trial.client.next();
      const next = await trial.sendNextRequest('w0');
      expect([answer.status, answer.headers.get('content-length'), next.status]).toEqual([200, '5', 200]);
    },
  );

  it('control safety, point 5: a head whose body comes later is passed on whole', LIMIT, async () => {
    trial = await RoutingHarness.open(1);
    const id = trial.requestIdFor('w0');
    trial.client.request({ id, path: '/once/x' });
    const call = await trial.nextCall();
    const text = call.textOf({});
    call.write(text.slice(0, -3));
    await new Promise((resolve) => setImmediate(resolve));
    call.write(text.slice(-3));
    expect((await trial.client.next()).body).toEqual(`of ${id}`);
  });
});
