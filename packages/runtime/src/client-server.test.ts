import { Agent, request, type IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { DEFAULT_LIMITS } from '@rainrun/configuration';
import { fault } from '@rainrun/common';
import type { ClientRequest, ResponseSink } from '@rainrun/router';
import { expect } from 'earl';
import { ClientServer } from './client-server.js';
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

interface Answer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly whole: boolean;
}

/** A port of this machine that is free now. */
function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

class ClientServerHarness {
  readonly receivedRequests: { ask: ClientRequest; port: ResponseSink }[] = [];
  cancelledCount = 0;
  isDraining = false;
  /** Called for each request that is taken. */
  onRequest: (ask: ClientRequest, port: ResponseSink) => void = (_, port) =>
    port.respond(200, [['x-mark', 'm']], Buffer.from('well'));
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly clientServer = new ClientServer({
    headerNames: HEADER_NAMES,
    limits: () => ({ ...DEFAULT_LIMITS, headerBytes: 2000, bodyBytes: 100 }),
    isDraining: () => this.isDraining,
    onRequest: (ask, port) => {
      this.receivedRequests.push({ ask, port });
      this.onRequest(ask, port);
      return () => {
        this.cancelledCount += 1;
      };
    },
  });
  #port = 0;

  async open(): Promise<this> {
    this.#port = await freePort();
    await this.clientServer.listen(`127.0.0.1:${this.#port}`);
    return this;
  }

  get port(): number {
    return this.#port;
  }

  close(): void {
    this.agent.destroy();
    this.clientServer.close();
  }

  send(headers: Record<string, string>, body = ''): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const req = request(
        { host: '127.0.0.1', port: this.#port, method: 'POST', path: '/a/1?b=2', headers, agent: this.agent },
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

describe('the front door', () => {
  let bench: ClientServerHarness | undefined;
  afterEach(() => bench?.close());

  it('hands on method, path, body and headers as they came, without those of the connection', async () => {
    bench = await new ClientServerHarness().open();
    const answer = await bench.send(
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
    const ask = bench.receivedRequests[0]?.ask;
    expect([answer.status, answer.body, answer.headers['x-mark']]).toEqual([200, 'well', 'm']);
    expect([ask?.id, ask?.method, ask?.target, ask?.host, ask?.body.toString(), ask?.deadlineMs]).toEqual([
      '7',
      'POST',
      '/a/1?b=2',
      'h.example',
      'work',
      900,
    ]);
    expect([ask?.model, ask?.adapter, ask?.prefix, ask?.promptTokens]).toEqual([
      'big',
      'a2',
      ['aa', 'bb'],
      60,
    ]);
    expect(ask?.headers.some(([name]) => name.toLowerCase() === 'connection')).toEqual(false);
  });

  it('refuses what has no id, too long headers or too large a body, and hands none of it on', async () => {
    bench = await new ClientServerHarness().open();
    const anonymous = await bench.send({});
    const endless = await bench.send({ 'x-id': '1', 'x-long': 'y'.repeat(3000) });
    const large = await bench.send({ 'x-id': '2' }, 'z'.repeat(101));
    expect([anonymous.status, endless.status, large.status, bench.receivedRequests.length]).toEqual([
      400, 431, 413, 0,
    ]);
  });

  it('says with a promise when to come back', async () => {
    bench = await new ClientServerHarness().open();
    bench.onRequest = (_, port) => port.reject({ ...fault('no-worker', 'none is free'), retryAfterS: 0.2 });
    const answer = await bench.send({ 'x-id': '1' });
    expect([answer.status, answer.headers['retry-after']]).toEqual([503, '0.2']);
  });

  it('lets a client see that a stream is cut, and that another is whole', async () => {
    bench = await new ClientServerHarness().open();
    bench.onRequest = (ask, port) => {
      port.open(200, [['content-type', 'text/event-stream']]);
      port.write(Buffer.from('id: 1\n\n'), () => undefined);
      if (ask.id === 'cut') port.abort();
      else port.close();
    };
    const whole = await bench.send({ 'x-id': 'whole' });
    const cut = await bench.send({ 'x-id': 'cut' }).catch(() => undefined);
    expect([whole.whole, whole.body, cut?.whole ?? false]).toEqual([true, 'id: 1\n\n', false]);
  });

  it('answers what is under way when it closes, and tells the client to come on another connection', async () => {
    bench = await new ClientServerHarness().open();
    const { clientServer: front } = bench;
    bench.onRequest = (_, port) => {
      if (bench !== undefined) bench.isDraining = true;
      front.close();
      setImmediate(() => port.respond(200, [], Buffer.from('late')));
    };
    const answer = await bench.send({ 'x-id': '1' });
    expect([answer.status, answer.body, answer.headers.connection, front.openRequests]).toEqual([
      200,
      'late',
      'close',
      0,
    ]);
  });

  it(
    'control safety, point 5: writes an answer out whole to a client that reads slowly, also when it closes',
    { timeout: 30_000 },
    async () => {
      bench = await new ClientServerHarness().open();
      const { clientServer: front } = bench;
      const body = Buffer.alloc(16 * 1024 * 1024, 'x');
      const client = await RawClient.connect(bench.port);
      client.pause();
      const answered = new Promise<void>((resolve) => {
        if (bench !== undefined)
          bench.onRequest = (_, port) => {
            port.respond(200, [], body);
            resolve();
          };
      });
      client.send('POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n');
      await answered;
      front.close();
      client.resume();
      const answer = await client.next();
      expect([answer.status, answer.whole, answer.body.length]).toEqual([200, true, body.length]);
    },
  );

  it(
    'control safety, point 5: closes a connection behind its last answer, and hands nothing on after that',
    { timeout: 30_000 },
    async () => {
      bench = await new ClientServerHarness().open();
      const { clientServer: front, receivedRequests: taken } = bench;
      let answer: (() => void) | undefined;
      const took = new Promise<void>((resolve) => {
        if (bench !== undefined)
          bench.onRequest = (_, port) => {
            port.open(200, [['content-type', 'text/event-stream']]);
            answer = () => port.close();
            resolve();
          };
      });
      const idle = await RawClient.connect(bench.port);
      const client = await RawClient.connect(bench.port);
      client.send('POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n');
      await took;
      front.close();
      const idleEnd = await idle.next();
      answer?.();
      const whole = await client.next();
      const end = await client.next();
      expect([idleEnd.status, whole.whole, end.status, taken.length]).toEqual([0, true, 0, 1]);
    },
  );
});
