/**
 * Tests of the peer transport under network faults: open but dead connections, resets and ports in use.
 */
import { createConnection, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import { FrameSchema, GoodbyeSchema, WIRE_VERSION, type Frame } from '@rainrun/messages';
import { expect } from 'earl';
import { PeerTransport } from './peer-transport.js';
import { AsyncQueue } from './testing/async-queue.js';

const HOST = '127.0.0.1';
const SEND_INTERVAL_MS = 50;
/**
 * The bound for a dead connection to be replaced: the acknowledgement time-out, a reconnect and its frames.
 */
const RECOVERY_MAX_MS = 3000;

const FRAME = create(FrameSchema, {
  wire: WIRE_VERSION,
  deployment: 'd',
  from: 'a',
  body: { case: 'goodbye', value: create(GoodbyeSchema) },
});

const closers: (() => void)[] = [];
after(() => {
  for (const close of closers) close();
});

async function transport(onFrame: (frame: Frame) => void = () => undefined): Promise<PeerTransport> {
  const made = new PeerTransport('d', onFrame);
  closers.push(() => made.close());
  await made.listen(`${HOST}:0`);
  return made;
}

/** Starts a plain TCP server that passes each connection to `accept`. */
async function listenPlain(port: number, accept: (socket: Socket) => void): Promise<Server> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    accept(socket);
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  closers.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return server;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Sends frames until a condition holds, and returns how long that took. */
async function sendUntil(holds: () => boolean, from: PeerTransport, to: string): Promise<number> {
  const startMs = performance.now();
  while (!holds() && performance.now() - startMs < 2 * RECOVERY_MAX_MS) {
    from.send(to, FRAME);
    await pause(SEND_INTERVAL_MS);
  }
  return performance.now() - startMs;
}

describe('a peer transport', () => {
  it('replaces an open connection on which nothing was ever acknowledged', async () => {
    let isHealthy = false;
    const stalled = new AsyncQueue<undefined>();
    const frames: Frame[] = [];
    const healthy = await transport((frame) => frames.push(frame));
    const peer = await listenPlain(0, (socket) => {
      if (isHealthy) return forward(socket, healthy.port);
      socket.pause();
      stalled.put(undefined);
    });
    const sender = await transport();
    const address = `${HOST}:${portOf(peer)}`;
    sender.send(address, FRAME);
    await stalled.next();
    isHealthy = true;
    const tookMs = await sendUntil(() => frames.length > 0, sender, address);
    expect(tookMs).toSatisfy((ms: number) => ms < RECOVERY_MAX_MS);
    expect(sender.counts.resets).toEqual(1);
  });

  it('recovers from connections that are reset as soon as they are established', async () => {
    let resets = 0;
    const frames: Frame[] = [];
    const healthy = await transport((frame) => frames.push(frame));
    const peer = await listenPlain(0, (socket) => {
      if (resets === 3) return forward(socket, healthy.port);
      resets += 1;
      socket.resetAndDestroy();
    });
    const sender = await transport();
    const tookMs = await sendUntil(() => frames.length > 0, sender, `${HOST}:${portOf(peer)}`);
    expect(tookMs).toSatisfy((ms: number) => ms < RECOVERY_MAX_MS);
  });

  it('keeps a connection whose peer acknowledges', async () => {
    const frames: Frame[] = [];
    const peer = await transport((frame) => frames.push(frame));
    const sender = await transport();
    const endMs = performance.now() + 1500;
    await sendUntil(() => performance.now() > endMs, sender, `${HOST}:${peer.port}`);
    expect([sender.counts.resets, frames.length > 20]).toEqual([0, true]);
  });

  it('listens on a port that was in use as soon as it is free', async () => {
    const holder = await listenPlain(0, (socket) => socket.destroy());
    const port = portOf(holder);
    const late = new PeerTransport('d', () => undefined);
    closers.push(() => late.close());
    const failures: string[] = [];
    const listening = late.listenPersistently(`${HOST}:${port}`, ({ kind }) => failures.push(kind));
    await pause(250);
    expect(late.isListening).toEqual(false);
    holder.close();
    const bound = await listening;
    expect([bound.isOk, late.isListening, failures[0]]).toEqual([true, true, 'bad-setting']);
    expect(late.counts.listenFailures).toEqual(failures.length);
  });

  it('returns a fault if a port stays in use', async () => {
    const holder = await listenPlain(0, (socket) => socket.destroy());
    const never = new PeerTransport('d', () => undefined);
    closers.push(() => never.close());
    const bound = await never.listenPersistently(`${HOST}:${portOf(holder)}`, () => undefined, 500);
    expect([bound.isErr, never.isListening]).toEqual([true, false]);
  });
});

/** Forwards what arrives on a socket to a transport, and its acknowledgements back. */
function forward(socket: Socket, port: number): void {
  const onward = createConnection({ host: HOST, port });
  onward.on('error', () => undefined);
  closers.push(() => onward.destroy());
  socket.pipe(onward).pipe(socket);
}
