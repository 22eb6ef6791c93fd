import { Agent, request, type IncomingMessage } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { DEFAULT_LIMITS } from '@rainrun/configuration';
import { fault } from '@rainrun/common';
import type { ClientRequest, ResponseSink } from '@rainrun/router';
import { expect } from 'earl';
import { ClientServer } from './client-server.js';
import { MONOTONIC_CLOCK } from './process-environment.js';
import { splitAddress } from './peer-transport.js';
import { LoopbackHost } from './testing/loopback-host.js';
import { RawClient } from './testing/raw-client.js';

const HEADER_NAMES = {
  requestId: 'x-id',
  deadlineMs: 'x-deadline',
  model: 'x-model',
  prefix: 'x-prefix',
  tokens: 'x-tokens',
  lastEventId: 'last-event-id',
  apiKey: 'key',
  tenant: 'holder',
};

interface ClientResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly whole: boolean;
}

class ClientServerHarness {
  readonly receivedRequests: { clientRequest: ClientRequest; sink: ResponseSink }[] = [];
  cancelledCount = 0;
  isDraining = false;
  limits = { ...DEFAULT_LIMITS, headerBytes: 2000, bodyBytes: 100 };
  /** Called for each request that the server passes on. */
  onRequest: (clientRequest: ClientRequest, sink: ResponseSink) => void = (_, sink) =>
    sink.respond(200, [['x-mark', 'm']], Buffer.from('well'), () => undefined);
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly clientServer = new ClientServer({
    headerNames: HEADER_NAMES,
    machine: { memoryMb: 256, openFiles: 1024 },
    clock: MONOTONIC_CLOCK,
    limits: () => this.limits,
    isDraining: () => this.isDraining,
    onRequest: (clientRequest, sink) => {
      this.receivedRequests.push({ clientRequest, sink });
      this.onRequest(clientRequest, sink);
      return () => {
        this.cancelledCount += 1;
      };
    },
  });
  #reserved: LoopbackHost;

  private constructor(reserved: LoopbackHost) {
    this.#reserved = reserved;
  }

  static async open(): Promise<ClientServerHarness> {
    const harness = new ClientServerHarness(await LoopbackHost.reserve());
    await harness.clientServer.listen(harness.address);
    return harness;
  }

  get address(): string {
    return this.#reserved.edgeAddresses.clients;
  }

  close(): void {
    this.agent.destroy();
    this.clientServer.close();
    this.#reserved.release();
  }

  send(headers: Record<string, string>, body = ''): Promise<ClientResponse> {
    return new Promise((resolve, reject) => {
      const req = request(
        { ...splitAddress(this.address), method: 'POST', path: '/a/1?b=2', headers, agent: this.agent },
        (res) => {
          const parts: Buffer[] = [];
          res.on('data', (part: Buffer) => parts.push(part));
          res.on('error', () => undefined);
          res.on('close', () =>
            resolve({
              status: res.statusCode ?? 0,
              headers: res.headers,
              body: Buffer.concat(parts).toString(),
              whole: res.complete,
            }),
          );
        },
      );
      req.on('error', reject);
      req.end(body);
    });
  }
}

describe('the client server', () => {
  let harness: ClientServerHarness | undefined;
  afterEach(() => harness?.close());

  it('rejects a body of which nothing comes for the idle time, and says that nothing has run', async () => {
    harness = await ClientServerHarness.open();
    harness.limits = { ...harness.limits, idleMs: 300 };
    const client = await RawClient.connect(harness.address);
    client.send('POST /a HTTP/1.1\r\nHost: a\r\nx-id: 1\r\nContent-Length: 10\r\n\r\nhalf');
    const { status, headers, body } = await client.next();
    expect([status, headers.get('connection')]).toEqual([408, 'close']);
    expect(body).toEqual(expect.includes('"ran":"no"'));
    expect(harness.receivedRequests).toEqual([]);
    client.close();
  });

  it('passes on method, path, body and headers unchanged, without hop-by-hop headers', async () => {
    harness = await ClientServerHarness.open();
    const answer = await harness.send(
      {
        'x-id': '7',
        'x-model': 'big/a2',
        'x-prefix': 'aa:10,bb:20,cc:30',
        'x-tokens': '60,8',
        'x-deadline': '900',
        host: 'h.example:80',
      },
      'work',
    );
    const clientRequest = harness.receivedRequests[0]?.clientRequest;
    expect([answer.status, answer.body, answer.headers['x-mark']]).toEqual([200, 'well', 'm']);
    expect([
      clientRequest?.id,
      clientRequest?.method,
      clientRequest?.target,
      clientRequest?.host,
      clientRequest?.body.toString(),
      clientRequest?.deadlineMs,
    ]).toEqual(['7', 'POST', '/a/1?b=2', 'h.example', 'work', 900]);
    expect([
      clientRequest?.model,
      clientRequest?.adapter,
      clientRequest?.prefix,
      clientRequest?.promptTokens,
    ]).toEqual(['big', 'a2', ['aa', 'bb'], 60]);
    expect(clientRequest?.headers.some(([name]) => name.toLowerCase() === 'connection')).toEqual(false);
  });

  it('rejects requests without an id, with too long headers or too large a body, and passes none of them on', async () => {
    harness = await ClientServerHarness.open();
    const anonymous = await harness.send({});
    const endless = await harness.send({ 'x-id': '1', 'x-long': 'y'.repeat(3000) });
    const large = await harness.send({ 'x-id': '2' }, 'z'.repeat(101));
    expect([anonymous.status, endless.status, large.status, harness.receivedRequests.length]).toEqual([
      400, 431, 413, 0,
    ]);
  });

  it('sends Retry-After with a fault that promises that nothing ran', async () => {
    harness = await ClientServerHarness.open();
    harness.onRequest = (_, sink) => sink.reject({ ...fault('no-worker', 'none is free'), retryAfterS: 0.2 });
    const answer = await harness.send({ 'x-id': '1' });
    expect([answer.status, answer.headers['retry-after']]).toEqual([503, '0.2']);
  });

  it('lets a client distinguish a stream that was cut from a complete one', async () => {
    harness = await ClientServerHarness.open();
    harness.onRequest = (clientRequest, sink) => {
      sink.open(200, [['content-type', 'text/event-stream']]);
      sink.write(Buffer.from('id: 1\n\n'), () => undefined);
      if (clientRequest.id === 'cut') sink.abort();
      else sink.close();
    };
    const whole = await harness.send({ 'x-id': 'whole' });
    const cut = await harness.send({ 'x-id': 'cut' }).catch(() => undefined);
    expect([whole.whole, whole.body, cut?.whole ?? false]).toEqual([true, 'id: 1\n\n', false]);
  });

  it('completes open requests when it closes, and asks clients to close their connections', async () => {
    harness = await ClientServerHarness.open();
    const { clientServer } = harness;
    harness.onRequest = (_, sink) => {
      if (harness !== undefined) harness.isDraining = true;
      clientServer.close();
      setImmediate(() => sink.respond(200, [], Buffer.from('late'), () => undefined));
    };
    const answer = await harness.send({ 'x-id': '1' });
    expect([answer.status, answer.body, answer.headers.connection, clientServer.openRequests]).toEqual([
      200,
      'late',
      'close',
      0,
    ]);
  });

  it(
    'control safety, point 5: sends a complete response to a client that reads slowly, also while it closes',
    { timeout: 30_000 },
    async () => {
      harness = await ClientServerHarness.open();
      const { clientServer } = harness;
      const body = Buffer.alloc(16 * 1024 * 1024, 'x');
      const client = await RawClient.connect(harness.address);
      client.pause();
      const answered = new Promise<void>((resolve) => {
        if (harness !== undefined)
          harness.onRequest = (_, sink) => {
            sink.respond(200, [], body, () => undefined);
            resolve();
          };
      });
      client.send('POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n');
      await answered;
      clientServer.close();
      client.resume();
      const answer = await client.next();
      expect([answer.status, answer.whole, answer.body.length]).toEqual([200, true, body.length]);
    },
  );

  it(
    'control safety, point 5: closes a connection after its last response, and passes on no request after that',
    { timeout: 30_000 },
    async () => {
      harness = await ClientServerHarness.open();
      const { clientServer, receivedRequests } = harness;
      let answer: (() => void) | undefined;
      const took = new Promise<void>((resolve) => {
        if (harness !== undefined)
          harness.onRequest = (_, sink) => {
            sink.open(200, [['content-type', 'text/event-stream']]);
            answer = () => sink.close();
            resolve();
          };
      });
      const idle = await RawClient.connect(harness.address);
      const client = await RawClient.connect(harness.address);
      client.send('POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n');
      await took;
      clientServer.close();
      const idleEnd = await idle.next();
      answer?.();
      const whole = await client.next();
      const end = await client.next();
      expect([idleEnd.status, whole.whole, end.status, receivedRequests.length]).toEqual([0, true, 0, 1]);
    },
  );
});
