import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { PoolLink, type LinkHandler } from './link.js';

/** Records the callbacks of a send, and resolves `responseStarted` when the response headers arrive. */
class RecordingHandler implements LinkHandler {
  readonly events: string[] = [];
  #resolve: () => void = () => undefined;
  readonly responseStarted = new Promise<void>((resolve) => {
    this.#resolve = resolve;
  });

  mayStart(): boolean {
    return true;
  }

  head(status: number): void {
    this.events.push(`head ${status}`);
    this.#resolve();
  }

  chunk(): void {
    return;
  }

  end(): void {
    this.events.push('end');
  }

  failed(sent: boolean): void {
    this.events.push(`failed ${sent}`);
  }
}

describe('control safety, point 5: connections to workers', () => {
  let server: Server;
  let sockets: Socket[] = [];

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    sockets = [];
    server.close();
  });

  function listen(response: string): Promise<string> {
    server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(response));
    });
    return new Promise((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
  }

  it('control safety, point 5: aborting a send whose connection closes fails it once and does not crash the process', async () => {
    const address = await listen('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhalf');
    const link = new PoolLink({ connectMs: 600, keepAliveTimeout: 30_000 }, (delayMs, run) => {
      const timeout = setTimeout(run, delayMs);
      return () => clearTimeout(timeout);
    });
    const handler = new RecordingHandler();
    const send = link.send(
      { address, method: 'POST', target: '/x', headers: [], body: Buffer.from('b'), stallMs: 5000 },
      handler,
    );
    await handler.responseStarted;
    send.abort();
    await link.close();
    expect(handler.events).toEqual(['head 200', 'failed true']);
  });
});
