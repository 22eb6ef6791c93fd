/** Transport of frames between nodes over TCP, shared by both systems. */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { encodeFrame, decodeFrame, type Frame } from '@rainrun/messages';
import { backoffMs, fault, MemoryBudget, type BackoffPolicy, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';
import { ConnectionLimit } from './connection-limit.js';
import { FrameReader } from './frame-reader.js';
import { MONOTONIC_CLOCK } from './process-environment.js';

/** Bytes buffered for one peer above which further frames are dropped. */
const SEND_BUFFER_MAX_BYTES = 16 * 1024 * 1024;
const RECONNECT_DELAY_MS = 100;
/** Time without an acknowledgement of sent frames after which a connection is reset. */
const ACK_TIMEOUT_MS = 1000;
const ACK = Buffer.from([1]);
/** Delay that lets one acknowledgement cover several frames: well below the sender's `ACK_TIMEOUT_MS`. */
const ACK_DELAY_MS = 200;
/** Time without data after which an accepted connection is closed: its peer is gone without closing it. */
const ACCEPTED_IDLE_MS = 60_000;
/** Backoff between attempts to listen. */
const LISTEN_RETRY: BackoffPolicy = { firstMs: 100, maxMs: 2000 };
/** Time after which listening on a port that stays in use is given up. */
export const LISTEN_GIVE_UP_MS = 30_000;

/** Frames up to this size have the last part of the memory for themselves: heartbeats, answers, changes. */
const SMALL_FRAME_BYTES = 64 * 1024;

/** What a transport may hold for its peers. */
export interface PeerLimits {
  /** Most accepted connections at the same time. */
  readonly connections: number;
  /** Memory of the frames that are being received on all of them, in bytes. */
  readonly frameBytes: number;
}

/** For nodes without settings of their machine. */
const DEFAULT_PEER_LIMITS: PeerLimits = { connections: 4096, frameBytes: 64 * 2 ** 20 };

/** Counters of the transport. */
export interface TransportCounts {
  framesIn: number;
  framesOut: number;
  bytesIn: number;
  bytesOut: number;
  malformed: number;
  foreign: number;
  dropped: number;
  /** Connections reset because sent frames were not acknowledged in time. */
  resets: number;
  /** Failed attempts to listen. */
  listenFailures: number;
  /** Connections closed because frames on all of them took too much memory. */
  framesEvicted: number;
}

interface PeerConnection {
  readonly socket: Socket;
  /**
   * When the first frame since the last acknowledgement was sent; the peer acknowledges each batch that it
   * reads with one byte.
   */
  unacknowledgedSinceMs: number | undefined;
}

/**
 * Sends and receives length-prefixed frames between nodes over TCP, and owns the sockets. A frame that cannot
 * be sent now is dropped: the channels above expect a lossy network.
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
  #connectionLimit: ConnectionLimit;
  /** Memory of the frames that are being received. */
  #frames: MemoryBudget;
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
    framesEvicted: 0,
  };

  constructor(
    deployment: string,
    onFrame: (frame: Frame) => void,
    { connections, frameBytes }: PeerLimits = DEFAULT_PEER_LIMITS,
  ) {
    this.#deployment = deployment;
    this.#onFrame = onFrame;
    this.#connectionLimit = new ConnectionLimit(connections, MONOTONIC_CLOCK);
    this.#frames = new MemoryBudget({
      limitBytes: frameBytes,
      smallBytes: SMALL_FRAME_BYTES,
      clock: MONOTONIC_CLOCK,
    });
  }

  /** The port on which the transport listens, 0 before it does. */
  get port(): number {
    const bound = this.#server?.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** Listens for peers at IP:PORT; outgoing connections use the same local IP. Fault: `bad-setting`. */
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
   * Listens like `listen`, retrying with backoff for at most `giveUpMs`. `onFailure` is called for each
   * failed attempt but the last: a process that no peer can reach must not keep running silently.
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

  /** Sends a frame, or drops and counts it if the peer is not connected or its send buffer is full. */
  send(address: string, frame: Frame): void {
    const connection = this.#connectionTo(address);
    if (connection === undefined || connection.socket.writableLength > SEND_BUFFER_MAX_BYTES) {
      this.counts.dropped += 1;
      return;
    }
    connection.unacknowledgedSinceMs ??= performance.now();
    const bytes = encodeFrame(frame);
    const lengthPrefix = Buffer.alloc(4);
    lengthPrefix.writeUInt32BE(bytes.length);
    connection.socket.write(Buffer.concat([lengthPrefix, bytes]));
    this.counts.framesOut += 1;
    this.counts.bytesOut += bytes.length + 4;
  }

  /** Closes the listener and every connection; frames that are still buffered are lost. */
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
    let ackTimer: NodeJS.Timeout | undefined;
    function acknowledgeSoon(): void {
      ackTimer ??= setTimeout(() => {
        ackTimer = undefined;
        if (!socket.destroyed) socket.write(ACK);
      }, ACK_DELAY_MS);
    }
    this.#acceptedSockets.add(socket);
    this.#connectionLimit.add(socket);
    socket.setNoDelay(true);
    socket.setTimeout(ACCEPTED_IDLE_MS, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(ackTimer);
      this.#acceptedSockets.delete(socket);
    });
    const reader = new FrameReader(this.#frames, {
      frame: (bytes) => this.#receive(bytes),
      failed: (reason) => {
        if (reason === 'malformed') this.counts.malformed += 1;
        else this.counts.framesEvicted += 1;
        socket.destroy();
      },
    });
    socket.on('close', () => reader.release());
    socket.on('data', (chunk: Buffer) => {
      const hasReadFrame = reader.take(chunk);
      if (hasReadFrame) this.#connectionLimit.touch(socket);
      if (hasReadFrame || reader.isInFrame) acknowledgeSoon();
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
 * Whether a connection has to be replaced. A partition delays bytes without an error, and TCP retransmits at
 * growing intervals, so a new connection recovers sooner. The time counts from the first unacknowledged byte,
 * also on a new connection: a peer that loses power right after the connection is established never
 * acknowledges anything.
 */
function isAckOverdue({ unacknowledgedSinceMs }: PeerConnection, nowMs: number): boolean {
  return unacknowledgedSinceMs !== undefined && nowMs - unacknowledgedSinceMs > ACK_TIMEOUT_MS;
}

/**
 * Splits an address such as `127.0.0.1:7001` into host and port.
 * @example
 * splitAddress('127.0.0.1:7001').port; // 7001
 */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
