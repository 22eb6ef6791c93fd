import { Agent, get } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createConnection } from 'node:net';
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { GoodbyeSchema, FrameSchema, encodeFrame, WIRE_VERSION, type Frame } from '@rainrun/messages';
import { expect } from 'earl';
import { GracefulHttpServer } from './graceful-http-server.js';
import { readSettings } from './settings.js';
import { PeerTransport } from './peer-transport.js';

const VALID_FLAGS = {
  name: 'edge-1',
  deployment: 'd',
  zone: 'north',
  bind: '127.0.0.1:7001',
  http: '127.0.0.1:8001',
  seeds: '127.0.0.1:7002,127.0.0.1:7003',
};

function faults(change: Record<string, unknown>, role: 'edge' | 'core' = 'edge'): string[] {
  const read = readSettings({ ...VALID_FLAGS, ...change }, role);
  return read.isErr ? read.error.map((one) => one.detail) : [];
}

describe('settings of a node', () => {
  it('are read from flags', () => {
    const read = readSettings(VALID_FLAGS, 'edge');
    expect(read.isOk && read.value.seeds).toEqual(['127.0.0.1:7002', '127.0.0.1:7003']);
  });

  it('that are invalid give faults with the key, the value found and what was expected', () => {
    expect(faults({ bind: 'localhost' })[0]?.startsWith('bind: found "localhost", expected')).toEqual(true);
    expect(faults({ seeds: '1.1.1.1:1,1.1.1.1:2,1.1.1.1:3,1.1.1.1:4' })[0]?.startsWith('seeds:')).toEqual(
      true,
    );
    expect(faults({ name: undefined })[0]?.startsWith('name: found nothing')).toEqual(true);
    expect(faults({ colour: 'red' })[0]?.startsWith('colour:')).toEqual(true);
    expect(faults({}, 'core')[0]?.startsWith('folder:')).toEqual(true);
    expect(faults({ settings: '/no/such/file' })[0]?.startsWith('settings:')).toEqual(true);
  });
});

describe('the peer transport', () => {
  it('counts malformed, oversized and foreign frames, and keeps running', async () => {
    const frames: Frame[] = [];
    const transport = new PeerTransport('d', (frame) => frames.push(frame));
    await transport.listen('127.0.0.1:0');
    const { port } = transport;
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: 'd',
      from: 'a',
      body: { case: 'goodbye', value: create(GoodbyeSchema) },
    });
    const parts = [new Uint8Array([1, 2, 3]), encodeFrame({ ...frame, deployment: 'e' }), encodeFrame(frame)];
    const bytes = Buffer.concat(
      parts.map((part) => {
        const head = Buffer.alloc(4);
        head.writeUInt32BE(part.length);
        return Buffer.concat([head, part]);
      }),
    );
    const oversized = createConnection({ host: '127.0.0.1', port });
    const closed = new Promise<void>((resolve) => {
      oversized.on('close', () => resolve());
    });
    oversized.on('error', () => undefined);
    oversized.write(Buffer.from([255, 255, 255, 255]));
    await closed;
    const valid = createConnection({ host: '127.0.0.1', port });
    valid.write(bytes);
    while (frames.length === 0) await new Promise((resolve) => setImmediate(resolve));
    valid.destroy();
    transport.close();
    expect([frames[0]?.from, transport.counts.malformed, transport.counts.foreign]).toEqual(['a', 2, 1]);
  });
});

it('a draining HTTP server answers on kept-alive connections with Connection: close, and is idle once they are closed', async () => {
  const httpServer = new GracefulHttpServer({
    headersTimeout: 5000,
    requestTimeout: 5000,
    keepAliveTimeout: 5000,
  });
  const server = httpServer.create((_, res) => res.end('well'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  function ask(): Promise<string> {
    return new Promise((resolve, reject) => {
      get({ host: '127.0.0.1', port, agent }, (reply) => {
        reply.resume();
        reply.on('end', () => resolve(`${reply.statusCode ?? 0} ${reply.headers.connection ?? ''}`));
      }).on('error', reject);
    });
  }
  const before = await ask();
  httpServer.drain();
  const after = await ask();
  await httpServer.waitUntilIdle(2000);
  server.close();
  expect([before, after]).toEqual(['200 keep-alive', '200 close']);
});
