import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { ConnectionFault, WorkerCall } from './testing/stand-in-worker.js';
import { RoutingHarness } from './testing/routing-harness.js';

const LIMIT = { timeout: 30_000 };

let harness: RoutingHarness;

afterEach(() => harness.close());

/**
 * Failures of a worker after it has read a request completely, so that it is unknown whether the request ran.
 */
const UNCLEAR_OUTCOMES: readonly (readonly [what: string, act: (call: WorkerCall) => void])[] = [
  ['resets the connection', (call) => call.reset()],
  ['closes the connection', (call) => call.close()],
  ['responds with the id of another request', (call) => call.respond({ id: 'another', body: 'of another' })],
  ['responds without an id', (call) => call.respond({ id: null })],
  ['responds with status 500 and without an id', (call) => call.respond({ id: null, status: 500 })],
  ['responds without a signature', (call) => call.respond({ signature: null })],
  ['sends bytes that are not an HTTP response', (call) => call.write('what is this\r\n\r\n')],
  ['sends an unknown HTTP version', (call) => call.write('HTTP/9.7 200 OK\r\nContent-Length: 0\r\n\r\n')],
  ['closes within a response with a length', (call) => sendHalf(call, (one) => one.close())],
  ['resets within a response with a length', (call) => sendHalf(call, (one) => one.reset())],
  ['closes within a chunked response', (call) => sendHalfChunked(call, (one) => one.close())],
  ['resets within a chunked response', (call) => sendHalfChunked(call, (one) => one.reset())],
  ['sends a chunk with a malformed length', (call) => sendBadChunk(call)],
  ['sends two Content-Length headers', (call) => call.respond({ headers: ['Content-Length: 1'] })],
  ['closes after a response without a length', (call) => sendUnframed(call, (one) => one.close())],
  ['resets after a response without a length', (call) => sendUnframed(call, (one) => one.reset())],
  ['sends a decline without an id', (call) => call.decline({ id: null })],
  ['sends a decline with the id of another request', (call) => call.decline({ id: 'another' })],
  ['responds with status 421 to another request', (call) => call.respond({ id: 'another', status: 421 })],
  ['responds with status 421 and without an id', (call) => call.respond({ id: null, status: 421 })],
  ['responds 200 with a not-run header', (call) => call.respond({ headers: ['Unrun: 1'] })],
  ['sends an upgrade', (call) => call.write('HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n')],
];

function sendHalf(call: WorkerCall, end: (call: WorkerCall) => void): void {
  const text = call.responseText({});
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
  describe(`control safety, point 5: ambiguous failures of a worker on a ${connection} connection`, () => {
    for (const [what, act] of UNCLEAR_OUTCOMES) {
      for (const kind of ['once', 'tell'] as const)
        it(
          `control safety, point 5: a worker that ${what} makes a ${kind} request fail after one run (${connection} connection)`,
          LIMIT,
          async () => {
            harness = await RoutingHarness.open(2);
            if (connection === 'reused') await harness.warmUpConnection('w0');
            const id = harness.requestIdFor('w0');
            harness.client.request({ id, path: `/${kind}/x` });
            const call = await harness.nextCall();
            act(call);
            const answer = await harness.client.next();
            await call.closed;
            const next = await harness.sendNextRequest('w1');
            expect([answer.status, answer.whole, harness.calls(id), next.status]).toEqual([
              502,
              true,
              1,
              200,
            ]);
          },
        );

      for (const kind of ['often', 'talk'] as const)
        it(
          `control safety, point 5: a worker that ${what} makes a ${kind} request go to another worker (${connection} connection)`,
          LIMIT,
          async () => {
            harness = await RoutingHarness.open(2);
            if (connection === 'reused') await harness.warmUpConnection('w0');
            const id = harness.requestIdFor('w0');
            harness.client.request({ id, path: `/${kind}/x` });
            const first = await harness.nextCall();
            act(first);
            const second = await harness.nextCall();
            second.respond();
            const answer = await harness.client.next();
            await first.closed;
            expect([answer.status, answer.body, second.worker, harness.calls(id)]).toEqual([
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

describe('control safety, point 5: a connection that closes before its request is complete', () => {
  const faults: readonly ConnectionFault[] = ['reset on bytes', 'reset on head'];
  for (const fault of faults)
    for (const kind of ['once', 'often'] as const)
      it(`control safety, point 5: ${fault}, ${kind}: retried only if that is allowed`, LIMIT, async () => {
        harness = await RoutingHarness.open(2);
        harness.worker('w0').fault = fault;
        const id = harness.requestIdFor('w0');
        harness.client.request({ id, path: `/${kind}/x`, body: 'b'.repeat(200_000) });
        if (kind === 'often') (await harness.nextCall()).respond();
        const answer = await harness.client.next();
        expect([answer.status, harness.calls(id)]).toEqual(kind === 'often' ? [200, 1] : [502, 0]);
      });

  it(
    'control safety, point 5: a request whose connection is reset on accept is retried only if no byte of it was sent',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      harness.worker('w0').fault = 'reset on accept';
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      void harness.nextCall().then((call) => call.respond());
      const { status } = await harness.client.next();
      expect([status, harness.calls(id)]).toEqual(status === 502 ? [502, 0] : [200, 1]);
    },
  );

  it(
    'control safety, point 5: a kept connection that its worker resets fails a non-repeatable request, but no later one',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      await harness.warmUpConnection('w0');
      harness.worker('w0').fault = 'reset on bytes';
      harness.client.request({ id: harness.requestIdFor('w0'), path: '/once/x' });
      const once = await harness.client.next();
      const often = harness.requestIdFor('w1');
      harness.client.request({ id: often, path: '/often/x' });
      (await harness.nextCall()).respond();
      expect([once.status, (await harness.client.next()).body]).toEqual([502, `of ${often}`]);
    },
  );

  it(
    'control safety, point 5: a request to a worker that cannot be reached goes to another, since it has not run',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      harness.worker('w0').close();
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      call.respond();
      expect([(await harness.client.next()).body, call.worker]).toEqual([`of ${id}`, 'w1']);
    },
  );
});

describe('control safety, point 5: surplus and late responses', () => {
  it(
    'control safety, point 5: a surplus response in the same write as the first is delivered to no client',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      call.write(call.responseText({}) + call.responseText({ body: 'surplus' }));
      const answer = await harness.client.next();
      await call.closed;
      const next = await harness.sendNextRequest('w0');
      expect([answer.body, next.status, next.body.startsWith('of r'), harness.client.rest]).toEqual([
        `of ${id}`,
        200,
        true,
        '',
      ]);
    },
  );

  it(
    'control safety, point 5: a surplus response on an idle connection closes it and is delivered to no client',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      call.respond();
      await harness.client.next();
      call.respond({ body: 'surplus' });
      await call.closed;
      const next = await harness.sendNextRequest('w0');
      expect([next.status, harness.worker('w0').connections, harness.client.rest]).toEqual([200, 2, '']);
    },
  );

  it(
    'control safety, point 5: bytes beyond the length of a response close the worker connection',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      call.write(`${call.responseText({})}more than there should be`);
      const answer = await harness.client.next();
      await call.closed;
      expect([answer.body, (await harness.sendNextRequest('w0')).status]).toEqual([`of ${id}`, 200]);
    },
  );

  for (const kind of ['once', 'often'] as const)
    it(
      `control safety, point 5: a surplus response to the previous request is not matched to a ${kind} request`,
      LIMIT,
      async () => {
        harness = await RoutingHarness.open(2);
        const first = harness.requestIdFor('w0');
        harness.client.request({ id: first, path: '/once/x' });
        (await harness.nextCall()).respond();
        await harness.client.next();
        const second = harness.requestIdFor('w0');
        harness.client.request({ id: second, path: `/${kind}/x` });
        const call = await harness.nextCall();
        call.write(call.responseText({ id: first, body: 'surplus' }) + call.responseText({}));
        if (kind === 'often') (await harness.nextCall()).respond();
        const answer = await harness.client.next();
        expect([
          call.connection,
          answer.status,
          answer.body.includes('surplus'),
          harness.calls(second),
        ]).toEqual(kind === 'often' ? [0, 200, false, 2] : [0, 502, false, 1]);
      },
    );

  it('control safety, point 5: a late response after the timeout is dropped', LIMIT, async () => {
    harness = await RoutingHarness.open(1);
    harness.client.request({ id: harness.requestIdFor('w0'), path: '/brief/x' });
    const call = await harness.nextCall();
    const answer = await harness.client.next();
    await call.closed;
    call.respond({ body: 'late' });
    const next = await harness.sendNextRequest('w0');
    expect([answer.status, next.status, next.body.startsWith('of r'), harness.client.rest]).toEqual([
      504,
      200,
      true,
      '',
    ]);
  });

  it(
    'control safety, point 5: a second decline of the same request does not apply to its retry, which is running',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      await harness.warmUpConnection('w0');
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const first = await harness.nextCall();
      first.decline();
      const second = await harness.nextCall();
      first.decline();
      second.respond();
      const answer = await harness.client.next();
      expect([answer.status, answer.body, harness.calls(id)]).toEqual([200, `of ${id}`, 2]);
    },
  );
});

describe('control safety, point 5: requests that a worker did not run', () => {
  it('control safety, point 5: a declined request goes to another worker', LIMIT, async () => {
    harness = await RoutingHarness.open(2);
    const id = harness.requestIdFor('w0');
    harness.client.request({ id, path: '/once/x' });
    (await harness.nextCall()).decline();
    (await harness.nextCall()).respond();
    expect((await harness.client.next()).body).toEqual(`of ${id}`);
  });

  it(
    'control safety, point 5: a request goes to another worker if its address is reused by another service, which responds 421',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const first = await harness.nextCall();
      const wanted = first.headers.get('only');
      first.respond({ status: 421, body: '' });
      const second = await harness.nextCall();
      second.respond();
      expect([wanted, second.headers.get('only'), (await harness.client.next()).body]).toEqual([
        'w0',
        'w1',
        `of ${id}`,
      ]);
    },
  );

  it(
    'control safety, point 5: a request that all tried workers decline is rejected immediately with 503 and Retry-After',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(3);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      (await harness.nextCall()).decline();
      (await harness.nextCall()).decline();
      const answer = await harness.client.next();
      expect([answer.status, answer.headers.has('retry-after'), harness.calls(id)]).toEqual([503, true, 2]);
    },
  );

  it(
    'control safety, point 5: a request that is declined after another worker may have run it fails without Retry-After',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(2);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/often/x' });
      (await harness.nextCall()).reset();
      (await harness.nextCall()).decline();
      const answer = await harness.client.next();
      expect([answer.status, answer.headers.has('retry-after')]).toEqual([502, false]);
    },
  );
});

describe('control safety, point 5: unusual but valid responses', () => {
  it(
    'control safety, point 5: interim responses are dropped and the final response is forwarded',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      const call = await harness.nextCall();
      call.write('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n');
      call.respond();
      const answer = await harness.client.next();
      expect([answer.status, answer.body, harness.client.text.startsWith('HTTP/1.1 200')]).toEqual([
        200,
        `of ${id}`,
        true,
      ]);
    },
  );

  it(
    'control safety, point 5: a response with Connection: close is complete, and the next request uses a new connection',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x' });
      (await harness.nextCall()).respond({ headers: ['Connection: close'] });
      const answer = await harness.client.next();
      const next = await harness.sendNextRequest('w0');
      expect([answer.body, next.status, harness.worker('w0').connections]).toEqual([`of ${id}`, 200, 2]);
    },
  );

  it(
    'control safety, point 5: responses with status 204 and 304 have no body, and the next response belongs to the next request',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      for (const status of [204, 304]) {
        const id = harness.requestIdFor('w0');
        harness.client.request({ id, path: '/once/x' });
        const call = await harness.nextCall();
        call.write(`HTTP/1.1 ${status} X\r\nCall-Id: ${id}\r\nMark: s\r\n\r\n`);
        const answer = await harness.client.next();
        const next = await harness.sendNextRequest('w0');
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
    'control safety, point 5: the response to HEAD keeps the Content-Length of the worker and has no body',
    LIMIT,
    async () => {
      harness = await RoutingHarness.open(1);
      const id = harness.requestIdFor('w0');
      harness.client.request({ id, path: '/once/x', method: 'HEAD', body: '' });
      const call = await harness.nextCall();
      call.write(`HTTP/1.1 200 OK\r\nCall-Id: ${id}\r\nMark: s\r\nContent-Length: 5\r\n\r\n`);
      const answer = await harness.client.next();
      const next = await harness.sendNextRequest('w0');
      expect([answer.status, answer.headers.get('content-length'), next.status]).toEqual([200, '5', 200]);
    },
  );

  it('control safety, point 5: a body that follows its head later is forwarded', LIMIT, async () => {
    harness = await RoutingHarness.open(1);
    const id = harness.requestIdFor('w0');
    harness.client.request({ id, path: '/once/x' });
    const call = await harness.nextCall();
    const text = call.responseText({});
    call.write(text.slice(0, -3));
    await new Promise((resolve) => setImmediate(resolve));
    call.write(text.slice(-3));
    expect((await harness.client.next()).body).toEqual(`of ${id}`);
  });
});
