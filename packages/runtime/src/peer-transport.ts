/** Frames between nodes over TCP, for both systems. */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { FRAME_MAX_BYTES, encodeFrame, decodeFrame, type Frame } from '@rainrun/messages';
import { backoffMs, fault, type BackoffPolicy, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

const SEND_BUFFER_MAX_BYTES = 16 * 1024 * 1024;
const RECONNECT_DELAY_MS = 100;
/** A connection whose sent frames stay unacknowledged for so long is reset. */
const ACK_TIMEOUT_MS = 1000;
const ACK = Buffer.from([1]);
/** Acknowledgements wait this long for more to acknowledge: well below the time-out of the sender. */
const ACK_DELAY_MS = 200;
/** An accepted connection that brings nothing for so long is closed: its sender has gone without a word. */
const ACCEPTED_IDLE_MS = 60_000;
/** Waits between two attempts to listen. */
const LISTEN_RETRY: BackoffPolicy = { firstMs: 100, maxMs: 2000 };
/** A port that is not free for so long will hardly become so. */
export const LISTEN_GIVE_UP_MS = 30_000;

/** Counters of the transport. */
export interface TransportCounts {
  framesIn: number;
  framesOut: number;
  bytesIn: number;
  bytesOut: number;
  malformed: number;
  foreign: number;
  dropped: number;
  /** Connections made anew since nothing on them was acknowledged. */
  resets: number;
  /** Attempts to listen that failed. */
  listenFailures: number;
}

interface PeerConnection {
  readonly socket: Socket;
  /** Since when something is unacknowledged; the other end says so by a byte for each lot that it read. */
  unacknowledgedSinceMs: number | undefined;
}

/**
 * Carries frames between nodes over TCP, each with its length before it. It
 * owns its sockets; what cannot be sent now is dropped, as the channels above
 * expect of a network.
 * @example
 * const transport = new PeerTransport('vejsargs', (frame) => clusterNode.receive(frame));
 * await transport.listen('127.0.0.1:7001');
 */
export class PeerTransport {
  #deployment: string;
  #host = '';
  #onFrame: (frame: Frame) => void;
  #server: Server | undefined;
  #connections = new Map<string, PeerConnection>();
  #lastFailureMs = new Map<string, number>();
  #acceptedSockets = new Set<Socket>();
  #closed = false;
  readonly counts: TransportCounts = {
    framesIn: 0,
    framesOut: 0,
    bytesIn: 0,
    bytesOut: 0,
    malformed: 0,
    foreign: 0,
    dropped: 0,
    resets: 0,
    listenFailures: 0,
  };

  constructor(deployment: string, take: (frame: Frame) => void) {
    this.#deployment = deployment;
    this.#onFrame = take;
  }

  /** The port it listens on. */
  get port(): number {
    const bound = this.#server?.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** Listens for peers at IP:PORT; connections to them come from the same IP. Fault: `bad-setting`. */
  listen(address: string): Promise<Result<Unit, Fault>> {
    const { host, port } = splitAddress(address);
    this.#host = host;
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    return new Promise((resolve) => {
      server.on('error', (thrown) =>
        resolve(Result.err(fault('bad-setting', `bind ${address}: ${thrown.message}`))),
      );
      server.listen(port, host, () => resolve(Result.ok()));
    });
  }

  /**
   * Listens like `listen`, again with growing waits where that fails, for `giveUpMs` at most; `onFailure` is told
   * of each attempt but the last. A process that hears nobody must not run on without a word.
   */
  async listenPersistently(
    address: string,
    onFailure: (why: Fault) => void,
    giveUpMs = LISTEN_GIVE_UP_MS,
  ): Promise<Result<Unit, Fault>> {
    const endMs = performance.now() + giveUpMs;
    for (let failures = 0; ; failures += 1) {
      const bound = await this.listen(address);
      if (bound.isOk || this.#closed) return bound;
      this.counts.listenFailures += 1;
      const waitMs = backoffMs(LISTEN_RETRY, failures);
      if (performance.now() + waitMs > endMs) return bound;
      onFailure(bound.error);
      await pause(waitMs);
    }
  }

  /** Whether the listener for peers is bound. */
  get isListening(): boolean {
    return this.#server?.listening ?? false;
  }

  /** Sends a frame, or drops and counts it where the peer is not connected or its backlog is full. */
  send(address: string, frame: Frame): void {
    const connection = this.#connectionTo(address);
    if (connection === undefined || connection.socket.writableLength > SEND_BUFFER_MAX_BYTES) {
      this.counts.dropped += 1;
      return;
    }
    connection.unacknowledgedSinceMs ??= performance.now();
    const bytes = encodeFrame(frame);
    const head = Buffer.alloc(4);
    head.writeUInt32BE(bytes.length);
    connection.socket.write(Buffer.concat([head, bytes]));
    this.counts.framesOut += 1;
    this.counts.bytesOut += bytes.length + 4;
  }

  /** Closes the listener and every connection; what was not sent yet is lost. */
  close(): void {
    this.#closed = true;
    this.#server?.close();
    for (const { socket } of this.#connections.values()) socket.destroy();
    for (const socket of this.#acceptedSockets) socket.destroy();
  }

  #connectionTo(address: string): PeerConnection | undefined {
    const nowMs = performance.now();
    const known = this.#connections.get(address);
    if (known !== undefined && !isAckOverdue(known, nowMs)) return known;
    if (known !== undefined) {
      this.counts.resets += 1;
      this.#connections.delete(address);
      known.socket.resetAndDestroy();
    }
    if (this.#closed || nowMs - (this.#lastFailureMs.get(address) ?? -Infinity) < RECONNECT_DELAY_MS)
      return undefined;
    const socket = createConnection({ ...splitAddress(address), localAddress: this.#host, noDelay: true });
    const connection: PeerConnection = { socket, unacknowledgedSinceMs: undefined };
    this.#connections.set(address, connection);
    socket.on('data', () => {
      connection.unacknowledgedSinceMs = undefined;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.#connections.get(address) !== connection) return;
      this.#connections.delete(address);
      this.#lastFailureMs.set(address, performance.now());
    });
    return connection;
  }

  #accept(socket: Socket): void {
    let rest: Buffer = Buffer.alloc(0);
    let acking: NodeJS.Timeout | undefined;
    function acknowledgeSoon(): void {
      acking ??= setTimeout(() => {
        acking = undefined;
        if (!socket.destroyed) socket.write(ACK);
      }, ACK_DELAY_MS);
    }
    this.#acceptedSockets.add(socket);
    socket.setNoDelay(true);
    socket.setTimeout(ACCEPTED_IDLE_MS, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(acking);
      this.#acceptedSockets.delete(socket);
    });
    socket.on('data', (chunk: Buffer) => {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      let taken = false;
      for (;;) {
        if (taken && rest.length < 4) acknowledgeSoon();
        if (rest.length < 4) return;
        const length = rest.readUInt32BE();
        if (length > FRAME_MAX_BYTES) {
          this.counts.malformed += 1;
          socket.destroy();
          return;
        }
        if (rest.length < 4 + length) {
          acknowledgeSoon();
          return;
        }
        const bytes = rest.subarray(4, 4 + length);
        rest = rest.subarray(4 + length);
        this.#receive(bytes);
        taken = true;
      }
    });
  }

  #receive(bytes: Buffer): void {
    const frame = decodeFrame(bytes, this.#deployment);
    if (frame.isOk) {
      this.counts.framesIn += 1;
      this.counts.bytesIn += bytes.length + 4;
      this.#onFrame(frame.value);
    } else if (frame.error.kind === 'foreign') this.counts.foreign += 1;
    else this.counts.malformed += 1;
  }
}

/**
 * A partition delays bytes without an error, and TCP retransmits at growing intervals: a new connection recovers
 * sooner. It counts from the first byte: a peer that loses power just after the connection came up has never
 * acknowledged anything, and never will.
 */
function isAckOverdue({ unacknowledgedSinceMs }: PeerConnection, nowMs: number): boolean {
  return unacknowledgedSinceMs !== undefined && nowMs - unacknowledgedSinceMs > ACK_TIMEOUT_MS;
}

/**
 * Host and port of an address such as `127.0.0.1:7001`.
 * @example
 * splitAddress('127.0.0.1:7001').port; // 7001
 */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
