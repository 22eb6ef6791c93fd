import { createConnection } from 'node:net';
import { PoolLink, type LinkSend } from './link.js';

/** What a send reports; `sent` tells whether any byte may have left. */
export interface SendHandler {
  /** Asked at the last moment before the first byte; false stops the send. */
  mayStart(): boolean;
  start(status: number, contentType: string): void;
  chunk(bytes: Buffer): void;
  end(): void;
  failed(sent: boolean, reason: string): void;
}

/** A send under way. */
export type Sending = LinkSend;

/** One request to a worker. */
export interface SendRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array | undefined;
  readonly stallMs: number;
}

/** How requests reach workers; the tests have one of their own. */
export interface Sender {
  send(request: SendRequest, handler: SendHandler): Sending;
  /** Tells whether there is a way to an address now; nothing is sent there. */
  probe(address: string, done: (reached: boolean) => void): void;
}

const CONNECT_MS = 1000;
const IDLE_MS = 2000;
const PROBE_MS = 600;

/**
 * Sends through kept connections, one pool a worker.
 * @example
 * const sender = new UndiciSender();
 * const sending = sender.send(request, handler);
 */
export class UndiciSender implements Sender {
  #link = new PoolLink({ connectMs: CONNECT_MS, keepAliveTimeout: IDLE_MS });

  send({ address, method, path, headers, body, stallMs }: SendRequest, handler: SendHandler): Sending {
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

  /** Closes the pools of workers that are gone. */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#link.keepOnly(addresses);
  }

  close(): Promise<void> {
    return this.#link.close();
  }
}
