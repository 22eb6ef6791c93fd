import { Duplex } from 'node:stream';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ConnectionMeter, FramingError } from './connection-meter.js';

/** A watched socket whose bytes the test provides; `error` is what it was destroyed with. */
class WatchedSocket {
  readonly meter = new ConnectionMeter();
  readonly #stream: Duplex;
  error: Error | undefined;

  constructor() {
    this.#stream = new Duplex({ read: () => undefined, write: (_bytes, _encoding, done) => done() });
    this.#stream.on('error', (thrown) => {
      this.error = thrown;
    });
    this.meter.watch(this.#stream);
  }

  /** Lets these bytes arrive and reads them; false if the socket was destroyed over them. */
  take(text: string): boolean {
    this.#stream.push(Buffer.from(text, 'latin1'));
    this.#stream.read();
    return !this.#stream.destroyed;
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n';

describe('the meter of a connection', () => {
  it('lets heads of many lines pass, and none without end', async () => {
    const socket = new WatchedSocket();
    expect(socket.take(`${HEAD}${'a:b\r\n'.repeat(500)}`)).toEqual(true);
    expect(socket.take('a:b\r\n'.repeat(20))).toEqual(false);
    await new Promise((resolve) => setImmediate(resolve));
    expect((socket.error as FramingError).bound).toEqual('head-lines');
  });

  it('does not take the lines of a body for a head, wherever the bytes are split', () => {
    const text = `${HEAD}\r\n${'\n'.repeat(2000)}`;
    for (let at = 1; at < HEAD.length + 4; at += 1) {
      const socket = new WatchedSocket();
      expect(socket.take(text.slice(0, at))).toEqual(true);
      if (at >= HEAD.length + 2) socket.meter.headReceived();
      expect(socket.take(text.slice(at))).toEqual(true);
    }
  });

  it('closes a connection on which bytes come that are part of no body', async () => {
    const socket = new WatchedSocket();
    let sentKilobytes = 0;
    while (socket.take('x'.repeat(1024))) sentKilobytes += 1;
    await new Promise((resolve) => setImmediate(resolve));
    expect((socket.error as FramingError).bound).toEqual('framing');
    expect(sentKilobytes).toEqual(129);
  });

  it('lets a parser that puts back what it has not parsed read small parts, so that the rest does not grow', () => {
    const stream = new Duplex({ read: () => undefined, write: (_bytes, _encoding, done) => done() });
    new ConnectionMeter().watch(stream);
    stream.push(Buffer.alloc(100_000));
    const read = stream.read() as Buffer;
    expect(read.length).toEqual(16_384);
    stream.unshift(read.subarray(1000));
    expect(stream.readableLength).toEqual(99_000);
    while (stream.read() !== null);
    expect(stream.readableLength).toEqual(0);
  });

  it('does not let trailers without end pass, but bodies of any number of lines', async () => {
    const socket = new WatchedSocket();
    socket.take(`${HEAD}\r\n`);
    socket.meter.headReceived();
    for (let pieces = 0; pieces < 20; pieces += 1) {
      expect(socket.take('\n'.repeat(1000))).toEqual(true);
      socket.meter.bodyReceived();
    }
    expect(socket.take('a:b\r\n'.repeat(1000))).toEqual(true);
    expect(socket.take('a:b\r\n')).toEqual(false);
    await new Promise((resolve) => setImmediate(resolve));
    expect((socket.error as FramingError).bound).toEqual('head-lines');
  });

  it('lets bodies of any size pass', () => {
    const socket = new WatchedSocket();
    socket.take(`${HEAD}\r\n`);
    socket.meter.headReceived();
    for (let pieces = 0; pieces < 1000; pieces += 1) {
      expect(socket.take('x'.repeat(1024))).toEqual(true);
      socket.meter.bodyReceived();
    }
  });
});
