import type { Dispatcher } from 'undici';
import { buildConnector, Client, Pool } from './undici-client.js';

/** A header as it stands on the wire. */
export type Header = readonly [name: string, value: string];

/** What a send reports. */
export interface LinkHandler {
  /** Asked at the last moment before the first byte; false stops the send. */
  mayStart(): boolean;
  head(status: number, headers: readonly Header[]): void;
  chunk(bytes: Buffer): void;
  end(): void;
  /** `sent` tells whether any byte may have left. */
  failed(sent: boolean, reason: string): void;
}

/** A send under way. */
export interface LinkSend {
  abort(): void;
  pause(): void;
  resume(): void;
}

/** One request to a worker. */
export interface LinkRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly stallMs: number;
  /** Whether it goes on a connection of its own, on which no answer to an earlier send can still come. */
  readonly ownConnection?: boolean;
}

/** How requests reach workers; the tests have one of their own. */
export interface Link {
  send(request: LinkRequest, handler: LinkHandler): LinkSend;
}

/** How long connections may take to come up, and how long they are kept without use; see undici's pools. */
export interface LinkTimes {
  readonly connectMs: number;
  readonly keepAliveTimeout: number;
  readonly keepAliveMaxTimeout?: number;
  readonly keepAliveTimeoutThreshold?: number;
}

/**
 * Connections whose end is an error are reset: what the system still held of a
 * request that was given up is dropped, and cannot arrive after a cut has healed.
 */
function resettingConnector(connectMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: connectMs });
  return (options, callback) => {
    connect(options, (...[thrown, socket]: Parameters<buildConnector.Callback>) => {
      if (thrown !== null) return callback(thrown, null);
      const destroy = socket.destroy.bind(socket);
      let cause: Error | undefined;
      // resetAndDestroy() calls destroy() again, without the cause: undici must hear it, or it takes the end of
      // the connection for the end of an answer without a length.
      socket.destroy = (reason?: Error) => {
        if (reason === undefined || cause !== undefined) return destroy(cause);
        cause = reason;
        return socket.resetAndDestroy();
      };
      callback(null, socket);
    });
  };
}

class DispatchedRequest implements Dispatcher.DispatchHandler, LinkSend {
  #handler: LinkHandler;
  #controller: Dispatcher.DispatchController | undefined;
  #method: string;
  #sent = false;
  #ended = false;
  #aborted = false;

  constructor(handler: LinkHandler, method: string) {
    this.#handler = handler;
    this.#method = method;
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

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return;
    const headers = headerPairs(controller.rawHeaders);
    if (this.#method !== 'HEAD' && !hasExplicitEnd(status, headers))
      return controller.abort(new Error('an answer without a length'));
    this.#handler.head(status, headers);
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

function headerPairs(raw: unknown): Header[] {
  const headers: Header[] = [];
  if (!Array.isArray(raw)) return headers;
  for (let index = 0; index + 1 < raw.length; index += 2)
    headers.push([String(raw[index]), String(raw[index + 1])]);
  return headers;
}

/** Whether the end of an answer can be told from a broken connection: by its length, its last chunk or its status. */
function hasExplicitEnd(status: number, headers: readonly Header[]): boolean {
  if (status === 204 || status === 304) return true;
  return headers.some(([name, value]) => {
    const lower = name.toLowerCase();
    return lower === 'content-length' || (lower === 'transfer-encoding' && /chunked\s*$/i.test(value));
  });
}

/**
 * Sends through undici, one pool of kept connections a worker. A request is
 * written once: undici does not repeat it, and `mayStart` is asked just before
 * its first byte.
 * @example
 * const link = new PoolLink({ connectMs: 600, keepAliveTimeout: 30_000 });
 * const send = link.send(request, handler);
 */
export class PoolLink implements Link {
  #options: Pool.Options;
  #pools = new Map<string, Pool>();

  constructor({ connectMs, ...poolOptions }: LinkTimes) {
    this.#options = { ...poolOptions, pipelining: 1, connect: resettingConnector(connectMs) };
  }

  send(request: LinkRequest, handler: LinkHandler): LinkSend {
    const { address, method, target, headers, body, stallMs, ownConnection } = request;
    const flight = new DispatchedRequest(handler, method);
    const dispatcher = ownConnection === true ? this.#client(address) : this.#pool(address);
    dispatcher.dispatch(
      {
        method,
        path: target,
        headers: headers.flat(),
        body: body.length === 0 ? null : body,
        idempotent: false,
        blocking: true,
        headersTimeout: stallMs,
        bodyTimeout: stallMs,
      },
      flight,
    );
    if (ownConnection === true) void dispatcher.close();
    return flight;
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

  /** A connection for one request, closed behind it. */
  #client(address: string): Client {
    return new Client(`http://${address}`, this.#options);
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, this.#options);
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
