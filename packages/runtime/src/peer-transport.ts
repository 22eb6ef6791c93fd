import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { FRAME_MAX_BYTES, encodeFrame, decodeFrame, type Frame } from '@rainrun/messages';
import { fault, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

const BACKLOG_MAX_BYTES = 16 * 1024 * 1024;
const AGAIN_MS = 100;
/** A line on which nothing was acknowledged for so long, though something is due, is given up. */
const SILENT_MS = 1000;
const ACK = Buffer.from([1]);
/** Acknowledgements wait this long for more to acknowledge: well below the silence that ends a line. */
const ACK_DELAY_MS = 200;

/** Counters of the wire. */
export interface WireCounts {
  framesIn: number;
  framesOut: number;
  bytesIn: number;
  bytesOut: number;
  malformed: number;
  foreign: number;
  dropped: number;
}

interface Line {
  socket: Socket;
  open: boolean;
  /** Since when something is unacknowledged; the other end says so by a byte for each lot that it read. */
  dueMs: number | undefined;
  /** Whether the other end acknowledges at all: earlier builds do not. */
  acks: boolean;
}

/**
 * Carries frames between nodes over TCP, each with its length before it. It
 * owns its sockets; what cannot be sent now is dropped, as the channels above
 * expect of a network.
 * @example
 * const wire = new Wire('vejsargs', (frame) => clusterNode.receive(frame));
 * await wire.listen('127.0.0.1:7001');
 */
export class PeerTransport {
  #deployment: string;
  #host = '';
  #take: (frame: Frame) => void;
  #server: Server | undefined;
  #lines = new Map<string, Line>();
  #failedMs = new Map<string, number>();
  #guests = new Set<Socket>();
  #closed = false;
  readonly counts: WireCounts = {
    framesIn: 0,
    framesOut: 0,
    bytesIn: 0,
    bytesOut: 0,
    malformed: 0,
    foreign: 0,
    dropped: 0,
  };

  constructor(deployment: string, take: (frame: Frame) => void) {
    this.#deployment = deployment;
    this.#take = take;
  }

  /** The port it listens on. */
  get port(): number {
    const bound = this.#server?.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  listen(address: string): Promise<Result<Unit, Fault>> {
    const { host, port } = splitAddress(address);
    this.#host = host;
    const server = createServer((socket) => this.#guest(socket));
    this.#server = server;
    return new Promise((resolve) => {
      server.once('error', (thrown) =>
        resolve(Result.err(fault('bad-setting', `bind ${address}: ${thrown.message}`))),
      );
      server.listen(port, host, () => resolve(Result.ok()));
    });
  }

  post(address: string, frame: Frame): void {
    const line = this.#line(address);
    if (line === undefined || line.socket.writableLength > BACKLOG_MAX_BYTES) {
      this.counts.dropped += 1;
      return;
    }
    line.dueMs ??= performance.now();
    const bytes = encodeFrame(frame);
    const head = Buffer.alloc(4);
    head.writeUInt32BE(bytes.length);
    line.socket.write(Buffer.concat([head, bytes]));
    this.counts.framesOut += 1;
    this.counts.bytesOut += bytes.length + 4;
  }

  close(): void {
    this.#closed = true;
    this.#server?.close();
    for (const { socket } of this.#lines.values()) socket.destroy();
    for (const socket of this.#guests) socket.destroy();
  }

  #line(address: string): Line | undefined {
    const nowMs = performance.now();
    const known = this.#lines.get(address);
    if (known !== undefined && !isSilent(known, nowMs)) return known;
    if (known !== undefined) {
      this.#lines.delete(address);
      known.socket.resetAndDestroy();
    }
    if (this.#closed || nowMs - (this.#failedMs.get(address) ?? -Infinity) < AGAIN_MS) return undefined;
    const socket = createConnection({ ...splitAddress(address), localAddress: this.#host, noDelay: true });
    const line: Line = { socket, open: false, dueMs: undefined, acks: false };
    this.#lines.set(address, line);
    socket.on('connect', () => {
      line.open = true;
    });
    socket.on('data', () => {
      line.acks = true;
      line.dueMs = undefined;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.#lines.get(address) !== line) return;
      this.#lines.delete(address);
      this.#failedMs.set(address, performance.now());
    });
    return line;
  }

  #guest(socket: Socket): void {
    let rest: Buffer = Buffer.alloc(0);
    let acking: NodeJS.Timeout | undefined;
    function acknowledgeSoon(): void {
      acking ??= setTimeout(() => {
        acking = undefined;
        if (!socket.destroyed) socket.write(ACK);
      }, ACK_DELAY_MS);
    }
    this.#guests.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(acking);
      this.#guests.delete(socket);
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
        this.#frame(bytes);
        taken = true;
      }
    });
  }

  #frame(bytes: Buffer): void {
    const frame = decodeFrame(bytes, this.#deployment);
    if (frame.isOk) {
      this.counts.framesIn += 1;
      this.counts.bytesIn += bytes.length + 4;
      this.#take(frame.value);
    } else if (frame.error.kind === 'foreign') this.counts.foreign += 1;
    else this.counts.malformed += 1;
  }
}

/** A cut holds bytes up without a word, and TCP tries again ever more seldom: a new connection finds the way sooner. */
function isSilent(line: Line, nowMs: number): boolean {
  return line.dueMs !== undefined && nowMs - line.dueMs > SILENT_MS && (line.acks || !line.open);
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
