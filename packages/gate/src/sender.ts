import { createConnection } from 'node:net';
import { buildConnector, Pool, type Dispatcher } from 'undici';

/** What a send reports; `sent` tells whether any byte may have left. */
export interface SendHandler {
  /** Asked at the last moment before the first byte; false stops the send. */
  mayStart(): boolean;
  start(status: number, contentType: string): void;
  chunk(bytes: Buffer): void;
  end(): void;
  failed(sent: boolean, why: string): void;
}

/** A send under way. */
export interface Sending {
  abort(): void;
  pause(): void;
  resume(): void;
}

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
const PROBE_MS = 600;
const connect = buildConnector({ timeout: CONNECT_MS });

/**
 * Connections whose end is an error are reset: what the system still held of a
 * request that was given up is dropped, and cannot arrive after a cut has healed.
 */
function connectReset(options: buildConnector.Options, callback: buildConnector.Callback): void {
  connect(options, (...[thrown, socket]: Parameters<buildConnector.Callback>) => {
    if (thrown !== null) return callback(thrown, null);
    const destroy = socket.destroy.bind(socket);
    socket.destroy = (why?: Error) => (why === undefined ? destroy() : socket.resetAndDestroy());
    callback(null, socket);
  });
}

class Flight implements Dispatcher.DispatchHandler, Sending {
  #handler: SendHandler;
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #ended = false;
  #aborted = false;

  constructor(handler: SendHandler) {
    this.#handler = handler;
  }

  abort(): void {
    this.#aborted = true;
    this.#controller?.abort(new Error('given up'));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted || this.#sent || !this.#handler.mayStart()) {
      controller.abort(new Error('not started'));
      return;
    }
    this.#sent = true;
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    const type = headers['content-type'];
    this.#handler.start(status, typeof type === 'string' ? type : '');
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#ended) this.#handler.chunk(chunk);
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#handler.end();
  }

  onResponseError(_controller: Dispatcher.DispatchController, thrown: Error): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#handler.failed(this.#sent, thrown.message);
  }
}

/**
 * Sends through undici, one pool a worker. A request is written once: undici
 * does not repeat it, and `mayStart` is asked just before its first byte.
 * @example
 * const sender = new UndiciSender();
 * const sending = sender.send(request, handler);
 */
export class UndiciSender implements Sender {
  #pools = new Map<string, Pool>();

  send(request: SendRequest, handler: SendHandler): Sending {
    const { address, method, path, headers, body, stallMs } = request;
    const flight = new Flight(handler);
    this.#pool(address).dispatch(
      {
        method,
        path,
        headers,
        body: body ?? null,
        idempotent: false,
        blocking: true,
        headersTimeout: stallMs,
        bodyTimeout: stallMs,
      },
      flight,
    );
    return flight;
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
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      this.#pools.delete(address);
      void pool.close();
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
    this.#pools.clear();
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, { pipelining: 1, connect: connectReset, keepAliveTimeout: 2000 });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
