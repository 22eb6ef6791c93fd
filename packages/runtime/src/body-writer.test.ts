import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { BodyWriters } from './body-writer.js';
import { AsyncQueue } from './testing/async-queue.js';

const BODY = Buffer.alloc(32 * 2 ** 20, 'x');
const IDLE_MS = 1000;

describe('bodies that are written to clients', () => {
  let nowMs = 0;
  let writers: BodyWriters;
  let server: Server;
  let client: Socket;
  let released: Promise<undefined>;

  beforeEach(async () => {
    nowMs = 0;
    writers = new BodyWriters({ nowMs: () => nowMs });
    const releases = new AsyncQueue<undefined>();
    released = releases.next();
    const writing = new Promise<void>((resolve) => {
      server = createServer((_req, res) => {
        res.writeHead(200, { 'content-length': BODY.length });
        writers.write(res, BODY, () => releases.put(undefined));
        resolve();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.on('error', () => undefined);
    client.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await writing;
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  it('are released once the client has read them, whole and unchanged', async () => {
    let receivedBytes = 0;
    client.on('data', (bytes: Buffer) => {
      receivedBytes += bytes.length;
    });
    await released;
    while (receivedBytes < BODY.length) await new Promise((resolve) => setImmediate(resolve));
    expect(writers.unreadCount).toEqual(0);
  });

  it('are released, and the connection closed, where the client reads nothing for the idle time', async () => {
    client.pause();
    writers.closeUnread(nowMs - IDLE_MS);
    expect(writers.unreadCount).toEqual(0);
    nowMs += 60 * IDLE_MS;
    writers.closeUnread(nowMs - IDLE_MS);
    await released;
    expect(writers.unreadCount).toEqual(1);
  });
});
