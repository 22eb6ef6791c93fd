import { createConnection } from 'node:net';
import { PoolLink, type LinkSend } from './link.js';
import type { LinkTimer } from './link-timer.js';

/** Callbacks through which a send reports its progress. */
export interface SendHandler {
  /** Called just before the first byte is written; false cancels the send. */
  mayStart(): boolean;
  start(status: number, contentType: string): void;
  chunk(bytes: Buffer): void;
  end(): void;
  /** The send failed; `sent` tells whether any byte may have been written. */
  failed(sent: boolean, reason: string): void;
}

/** Handle of a send in progress. */
export type SendHandle = Omit<LinkSend, 'received'>;

/** One HTTP request to a worker. */
export interface SendRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array | undefined;
  readonly stallMs: number;
}

/** Transport for requests to workers; tests supply their own implementation. */
export interface Sender {
  send(request: SendRequest, handler: SendHandler): SendHandle;
  /** Tests whether an address can be reached now, without sending a request. */
  probe(address: string, done: (reached: boolean) => void): void;
}

const CONNECT_MS = 1000;
const IDLE_MS = 2000;
const PROBE_MS = 600;

/**
 * Sends requests through undici, with one pool of keep-alive connections per worker.
 * @example
 * const sender = new UndiciSender(timer);
 * const sending = sender.send(request, handler);
 */
export class UndiciSender implements Sender {
  #link: PoolLink;

  constructor(timer: LinkTimer) {
    this.#link = new PoolLink({ connectMs: CONNECT_MS, keepAliveTimeout: IDLE_MS }, timer);
  }

  send({ address, method, path, headers, body, stallMs }: SendRequest, handler: SendHandler): SendHandle {
    return this.#link.send(
      {
        address,
        method,
        target: path,
        headers: Object.entries(headers),
        body: body ?? new Uint8Array(),
        stallMs,
      },
      {
        mayStart: () => handler.mayStart(),
        head: (status, answered) =>
          handler.start(status, answered.find(([name]) => name.toLowerCase() === 'content-type')?.[1] ?? ''),
        chunk: (bytes) => handler.chunk(bytes),
        end: () => handler.end(),
        failed: (sent, reason) => handler.failed(sent, reason),
      },
    );
  }

  probe(address: string, done: (reached: boolean) => void): void {
    const [host, port] = address.split(':');
    const socket = createConnection({ host, port: Number(port), timeout: PROBE_MS });
    let reached = false;
    socket.on('connect', () => {
      reached = true;
      socket.destroy();
    });
    socket.on('timeout', () => socket.destroy());
    socket.on('error', (thrown: NodeJS.ErrnoException) => {
      reached = thrown.code === 'ECONNREFUSED' || thrown.code === 'ECONNRESET';
    });
    socket.on('close', () => done(reached));
  }

  /** Closes the pools of all other addresses. */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#link.keepOnly(addresses);
  }

  close(): Promise<void> {
    return this.#link.close();
  }
}
