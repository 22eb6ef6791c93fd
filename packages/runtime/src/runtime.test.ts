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

describe('settings', () => {
  it('are taken from flags', () => {
    const read = readSettings(VALID_FLAGS, 'edge');
    expect(read.isOk && read.value.seeds).toEqual(['127.0.0.1:7002', '127.0.0.1:7003']);
  });

  it('name key, value found and what was expected', () => {
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

describe('wire', () => {
  it('counts what is malformed, oversized or foreign, and stays up', async () => {
    const frames: Frame[] = [];
    const wire = new PeerTransport('d', (frame) => frames.push(frame));
    await wire.listen('127.0.0.1:0');
    const { port } = wire;
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
    const sound = createConnection({ host: '127.0.0.1', port });
    sound.write(bytes);
    while (frames.length === 0) await new Promise((resolve) => setImmediate(resolve));
    sound.destroy();
    wire.close();
    expect([frames[0]?.from, wire.counts.malformed, wire.counts.foreign]).toEqual(['a', 2, 1]);
  });
});

it('a door that drains answers kept connections with a definite end, and is empty when they are closed', async () => {
  const door = new GracefulHttpServer({ headersTimeout: 5000, requestTimeout: 5000, keepAliveTimeout: 5000 });
  const server = door.create((_, res) => res.end('well'));
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
  door.drain();
  const after = await ask();
  await door.waitUntilIdle(2000);
  server.close();
  expect([before, after]).toEqual(['200 keep-alive', '200 close']);
});
