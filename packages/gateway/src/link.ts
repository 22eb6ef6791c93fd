import type { Dispatcher } from 'undici';
import { buildConnector, Client, Pool } from './undici-client.js';
import type { LinkTimer } from './link-timer.js';
import { ConnectionMeter, FramingError } from './connection-meter.js';
import type { ReceivedResponse, ResponseBound, ResponseExcess } from './response-excess.js';
import { ResponsePacer, type PacedResponse } from './response-pacer.js';
import { WorkerTraffic } from './worker-traffic.js';

/** An HTTP header as it is on the wire, with its name's case unchanged. */
export type Header = readonly [name: string, value: string];

/** Callbacks through which a send reports its progress. */
export interface LinkHandler {
  /** Called just before the first byte is written; false cancels the send. */
  mayStart(): boolean;
  head(status: number, headers: readonly Header[]): void;
  chunk(bytes: Buffer): void;
  end(): void;
  /** The send failed; `sent` tells whether any byte may have been written. */
  failed(sent: boolean, reason: string): void;
  /** The response reached a bound of the link; called before `failed`, or after the response was discarded. */
  exceeded?(excess: ResponseExcess): void;
}

/** Handle of a send in progress. */
export interface LinkSend {
  /** What has come of the response so far. */
  readonly received: ReceivedResponse;
  abort(): void;
  /**
   * Says that nobody needs the rest of the response any more: the connection is kept if the rest is small and
   * comes soon, and closed otherwise.
   */
  discard(): void;
  pause(): void;
  resume(): void;
}

/** One HTTP request to a worker. */
export interface LinkRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly stallMs: number;
  /** Whether to use a new connection, on which no response to an earlier request can still arrive. */
  readonly ownConnection?: boolean;
  /** Whether a response may have no length and end with its connection. */
  readonly mayEndWithConnection?: boolean;
}

/** Transport for requests to workers; tests supply their own implementation. */
export interface Link {
  send(request: LinkRequest, handler: LinkHandler): LinkSend;
}

/**
 * Connect timeout and keep-alive times of connections; the keep-alive options are those of undici's `Pool`.
 */
export interface LinkTimes {
  readonly connectMs: number;
  readonly keepAliveTimeout: number;
  readonly keepAliveMaxTimeout?: number;
  readonly keepAliveTimeoutThreshold?: number;
}

/**
 * A connector whose connections are reset (RST) when they are closed with an error. The reset discards bytes
 * of an aborted request that are still in the kernel's send buffer, so they cannot arrive after a network
 * partition heals.
 */
function resettingConnector(connectMs: number, meter: ConnectionMeter): buildConnector.connector {
  const connect = buildConnector({ timeout: connectMs });
  return (options, callback) => {
    connect(options, (...[thrown, socket]: Parameters<buildConnector.Callback>) => {
      if (thrown !== null) return callback(thrown, null);
      const destroy = socket.destroy.bind(socket);
      let cause: Error | undefined;
      // resetAndDestroy() calls destroy() again without the cause, which is passed on here. Without the cause undici
      // would take the close of the connection for the regular end of a response without a length.
      socket.destroy = (reason?: Error) => {
        if (reason === undefined || cause !== undefined) return destroy(cause);
        cause = reason;
        return socket.resetAndDestroy();
      };
      meter.watch(socket);
      callback(null, socket);
    });
  };
}

/** Code of undici's error for a head, or trailers, of more than 16 KiB of names and values. */
const HEAD_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW';

/** What of a response may still come once nobody needs it any more. */
const DISCARD_MAX_BYTES = 64 * 1024;
const DISCARD_MIN_BYTES_PER_PIECE = 64;
const DISCARD_MAX_MS = 1000;

/** What all requests of a link share. */
interface LinkState {
  readonly traffic: WorkerTraffic;
  readonly pacer: ResponsePacer;
  readonly timer: LinkTimer;
}

/** One request dispatched to undici: translates undici's callbacks into those of a `LinkHandler`. */
class DispatchedRequest implements Dispatcher.DispatchHandler, LinkSend, PacedResponse {
  #handler: LinkHandler;
  #controller: Dispatcher.DispatchController | undefined;
  #request: LinkRequest;
  #traffic: WorkerTraffic;
  #pacer: ResponsePacer;
  #timer: LinkTimer;
  /** The meter of its connection; undefined while it has none. */
  #meter: ConnectionMeter | undefined;
  #hasHead = false;
  #bytes = 0;
  #pieces = 0;
  #sent = false;
  #ended = false;
  #aborted = false;
  /** Whether its reader, and whether the pacer, has stopped the reading. */
  #isPaused = false;
  #isHeldUp = false;
  /** Bytes of the rest that may still come; undefined while the response is needed. */
  #discardableBytes: number | undefined;
  #cancelDiscardTimer: (() => void) | undefined;

  constructor(handler: LinkHandler, request: LinkRequest, { traffic, pacer, timer }: LinkState) {
    this.#timer = timer;
    this.#handler = handler;
    this.#request = request;
    this.#traffic = traffic;
    this.#pacer = pacer;
  }

  get received(): ReceivedResponse {
    return { part: this.#hasHead ? 'body' : 'head', bytes: this.#bytes, pieces: this.#pieces };
  }

  get address(): string {
    return this.#request.address;
  }

  /** Tells which connection the request was dispatched to. */
  useMeter(meter: ConnectionMeter): void {
    this.#meter = meter;
  }

  abort(): void {
    this.#aborted = true;
    this.#controller?.abort(new Error('send aborted'));
  }

  discard(): void {
    if (this.#ended || this.#discardableBytes !== undefined) return;
    this.#discardableBytes = DISCARD_MAX_BYTES;
    this.#cancelDiscardTimer = this.#timer(DISCARD_MAX_MS, () => this.#stopAt('unneeded'));
  }

  pause(): void {
    this.#isPaused = true;
    this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    if (!this.#isHeldUp) this.#controller?.resume();
  }

  holdUp(): void {
    this.#isHeldUp = true;
    this.#controller?.pause();
  }

  readOn(): void {
    this.#isHeldUp = false;
    if (!this.#isPaused) this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted || this.#sent || !this.#handler.mayStart()) {
      controller.abort(new Error('not started'));
      return;
    }
    this.#sent = true;
    this.#meter?.responseAwaited();
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return;
    this.#hasHead = true;
    this.#meter?.headReceived();
    const headers = headerPairs(controller.rawHeaders);
    if (this.#mustShowItsEnd() && !hasExplicitEnd(status, headers))
      return controller.abort(new Error('the response has neither content-length nor chunked encoding'));
    this.#handler.head(status, headers);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bytes += chunk.length;
    this.#pieces += 1;
    this.#meter?.bodyReceived();
    this.#traffic.record(this.address, chunk.length, this.#discardableBytes === undefined);
    if (this.#ended || this.#aborted) return;
    if (this.#discardableBytes !== undefined) return this.#discardChunk(chunk);
    this.#handler.chunk(chunk);
    this.#pacer.record(this, chunk.length);
  }

  #discardChunk(chunk: Buffer): void {
    // A piece costs as much as some bytes do, so that the bound also holds for tiny ones.
    this.#discardableBytes =
      (this.#discardableBytes ?? 0) - Math.max(chunk.length, DISCARD_MIN_BYTES_PER_PIECE);
    if (this.#discardableBytes < 0) this.#stopAt('unneeded');
  }

  #stopAt(bound: ResponseBound): void {
    if (this.#aborted) return;
    this.#handler.exceeded?.({ bound, ...this.received });
    this.abort();
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    this.#finish();
    this.#handler.end();
  }

  onResponseError(_controller: Dispatcher.DispatchController, thrown: Error): void {
    if (this.#ended) return;
    this.#finish();
    const bound = boundOf(thrown);
    if (bound !== undefined) this.#handler.exceeded?.({ bound, ...this.received });
    this.#handler.failed(this.#sent, thrown.message);
  }

  #mustShowItsEnd(): boolean {
    return this.#request.method !== 'HEAD' && this.#request.mayEndWithConnection !== true;
  }

  #finish(): void {
    this.#ended = true;
    this.#cancelDiscardTimer?.();
    this.#pacer.forget(this);
  }
}

/** Options of a dispatch with the request itself, which learns from the client on which connection it goes. */
interface FlightOptions extends Dispatcher.DispatchOptions {
  readonly flight: DispatchedRequest;
}

/** One connection to a worker, with its meter. */
class MeteredClient extends Client {
  readonly #meter: ConnectionMeter;

  constructor(origin: string | URL, options: Client.Options, meter: ConnectionMeter) {
    super(origin, options);
    this.#meter = meter;
  }

  override dispatch(options: FlightOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.flight.useMeter(this.#meter);
    return super.dispatch(options, handler);
  }
}

/** Which bound an error says was reached; undefined for other errors. */
function boundOf(thrown: Error): ResponseBound | undefined {
  if (thrown instanceof FramingError) return thrown.bound;
  return 'code' in thrown && thrown.code === HEAD_OVERFLOW ? 'framing' : undefined;
}

function headerPairs(raw: unknown): Header[] {
  const headers: Header[] = [];
  if (!Array.isArray(raw)) return headers;
  for (let index = 0; index + 1 < raw.length; index += 2)
    headers.push([String(raw[index]), String(raw[index + 1])]);
  return headers;
}

/**
 * Whether the end of a response can be told from a broken connection: by its length, last chunk or status.
 */
function hasExplicitEnd(status: number, headers: readonly Header[]): boolean {
  if (status === 204 || status === 304) return true;
  return headers.some(([name, value]) => {
    const lower = name.toLowerCase();
    return lower === 'content-length' || (lower === 'transfer-encoding' && /chunked\s*$/i.test(value));
  });
}

/**
 * Sends requests through undici, with one pool of keep-alive connections per worker. Each request is written
 * at most once: undici does not retry it, and `mayStart` is called just before its first byte.
 * @example
 * const link = new PoolLink({ connectMs: 600, keepAliveTimeout: 30_000 }, timer);
 * const send = link.send(request, handler);
 */
export class PoolLink implements Link {
  #options: Pool.Options;
  #connectMs: number;
  #pools = new Map<string, Pool>();
  #state: LinkState;
  /** What the workers send. */
  readonly traffic = new WorkerTraffic();

  constructor({ connectMs, ...poolOptions }: LinkTimes, timer: LinkTimer) {
    this.#state = { traffic: this.traffic, pacer: new ResponsePacer(timer), timer };
    this.#options = { ...poolOptions, pipelining: 1 };
    this.#connectMs = connectMs;
  }

  send(request: LinkRequest, handler: LinkHandler): LinkSend {
    const { address, method, target, headers, body, stallMs, ownConnection } = request;
    const flight = new DispatchedRequest(handler, request, this.#state);
    const dispatcher = ownConnection === true ? this.#client(address) : this.#pool(address);
    const options: FlightOptions = {
      flight,
      method,
      path: target,
      headers: headers.flat(),
      body: body.length === 0 ? null : body,
      idempotent: false,
      blocking: true,
      headersTimeout: stallMs,
      bodyTimeout: stallMs,
    };
    dispatcher.dispatch(options, flight);
    if (ownConnection === true) void dispatcher.close();
    return flight;
  }

  /** Closes the pools of all other addresses. */
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

  /** A client for a single request; the caller closes it after the dispatch. */
  #client(address: string): Client {
    return this.#meteredClient(`http://${address}`, this.#options);
  }

  #meteredClient(origin: string | URL, options: object): Client {
    const meter = new ConnectionMeter();
    return new MeteredClient(
      origin,
      { ...options, connect: resettingConnector(this.#connectMs, meter) },
      meter,
    );
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        ...this.#options,
        factory: (origin, options) => this.#meteredClient(origin, options),
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
