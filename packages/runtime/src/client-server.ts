import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { DEFAULT_LIMITS, type Limits } from '@rainrun/configuration';
import { FAULT_RESPONSES, fault, type Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import { isHop, type ClientRequest, type ResponseSink } from '@rainrun/router';
import { ClientConnections } from './client-connections.js';
import type { ClientHeaderNames } from './dialect.js';
import { splitAddress } from './peer-transport.js';

const HEADERS_MOST = 128 * 1024;
/** The answer to what cannot be read, by the code of node's error. */
const UNREADABLE_STATUS: ReadonlyMap<string, string> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
]);

/** What the front door needs of its node. */
export interface FrontDependencies {
  readonly words: ClientHeaderNames;
  limits(): Limits | undefined;
  /** Whether connections are to be closed after their answer. */
  leaving(): boolean;
  take(ask: ClientRequest, port: ResponseSink): () => void;
}

/**
 * Where clients come in: reads each request whole within the limits in force
 * and hands it on.
 * @example
 * const front = new ClientServer(dependencies);
 * await front.listen('10.0.0.4:8000');
 */
export class ClientServer {
  #dependencies: FrontDependencies;
  #server: Server;
  #connections = new ClientConnections();
  #open = 0;

  constructor(dependencies: FrontDependencies) {
    this.#dependencies = dependencies;
    this.#server = createServer(
      { maxHeaderSize: HEADERS_MOST, connectionsCheckingInterval: 500, noDelay: true },
      (req, res) => this.#receive(req, res),
    );
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#server.on('clientError', (thrown: NodeJS.ErrnoException, socket) =>
      this.#refuseUnreadable(thrown, socket),
    );
    // What node calls idle includes answers that are still being written out.
    this.#server.closeIdleConnections = () => this.#connections.drain();
    this.applyLimits();
  }

  /** Requests that have not had their whole answer. */
  get open(): number {
    return this.#open;
  }

  /** Takes over the limits in force. */
  applyLimits(): void {
    const { headerMs, idleMs } = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    this.#server.headersTimeout = headerMs;
    this.#server.requestTimeout = headerMs + 4 * idleMs;
    this.#server.keepAliveTimeout = idleMs;
  }

  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: 1024 }, () => resolve());
    });
  }

  /** Takes no new connections; the others end behind the answers that are due on them. */
  close(): void {
    this.#server.close();
  }

  /** Ends every connection, with or without an answer. */
  tear(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * What a client sends cannot be read, or does not come in time. An answer to
   * it may be written only where no other is due on the connection: the client
   * would take it for that one.
   */
  #refuseUnreadable(thrown: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || thrown.code === 'ECONNRESET') return void socket.destroy();
    if (this.#connections.owesAnswer(socket)) return this.#connections.endWhenAnswered(socket);
    const status = UNREADABLE_STATUS.get(thrown.code ?? '') ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    if (!this.#connections.opened(req)) return;
    this.#open += 1;
    res.on('close', () => {
      this.#open -= 1;
      this.#connections.closed(req);
    });
    const limits = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    const port = new HttpPort(res, () => this.#dependencies.leaving());
    const headerBytes = req.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      (req.url ?? '').length + 12,
    );
    if (headerBytes > limits.headerBytes)
      return port.end(431, fault('too-large', `headers of ${headerBytes} bytes`), true);
    const id = one(req.headers[this.#dependencies.words.requestId]);
    if (id === undefined || id === '')
      return port.end(400, fault('bad-request', 'a request without an id'), true);
    if (this.#standsTwice(req, this.#dependencies.words.requestId) || this.#standsTwice(req, 'host'))
      return port.end(400, fault('bad-request', 'a request with two ids or two hosts'), true);
    if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes)
      return port.end(413, fault('too-large', 'the body is too large'), true);
    const parts: Buffer[] = [];
    let bytes = 0;
    let refused = false;
    req.on('data', (part: Buffer) => {
      if (refused) return;
      bytes += part.length;
      parts.push(part);
      if (bytes <= limits.bodyBytes) return;
      refused = true;
      port.end(413, fault('too-large', 'the body is too large'), true);
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      if (refused || !req.complete || res.destroyed) return;
      const leave = this.#dependencies.take(this.#ask(req, id, Buffer.concat(parts)), port);
      res.on('close', () => {
        if (!res.writableFinished) leave();
      });
    });
  }

  #standsTwice(req: IncomingMessage, header: string): boolean {
    return (req.headersDistinct[header]?.length ?? 0) > 1;
  }

  #ask(req: IncomingMessage, id: string, body: Buffer): ClientRequest {
    const { words } = this.#dependencies;
    const headers: Header[] = [];
    for (let at = 0; at + 1 < req.rawHeaders.length; at += 2) {
      const name = req.rawHeaders[at] ?? '';
      if (!isHop(name) && name.toLowerCase() !== 'expect') headers.push([name, req.rawHeaders[at + 1] ?? '']);
    }
    const [model = '', adapter = ''] = (one(req.headers[words.model]) ?? '').split('/');
    const parts = (one(req.headers[words.prefix]) ?? '').split(',').filter((part) => part !== '');
    const deadlineMs = Number(one(req.headers[words.deadlineMs]) ?? NaN);
    return {
      id,
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      host: (req.headers.host ?? '').replace(/:\d+$/, ''),
      headers,
      body,
      deadlineMs: Number.isFinite(deadlineMs) && deadlineMs >= 0 ? deadlineMs : undefined,
      model,
      adapter,
      prefix: parts.slice(0, -1).map((part) => part.split(':')[0] ?? ''),
      promptTokens: Number((one(req.headers[words.tokens]) ?? '0').split(',')[0]) || 0,
      lastEventId: one(req.headers[words.lastEventId]),
    };
  }
}

function withLength(headers: readonly Header[], length: number): Header[] {
  return [
    ...headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
    ['Content-Length', String(length)],
  ];
}

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

class HttpPort implements ResponseSink {
  #res: ServerResponse;
  #leaving: () => boolean;

  constructor(res: ServerResponse, leaving: () => boolean) {
    this.#res = res;
    this.#leaving = leaving;
  }

  respond(status: number, headers: readonly Header[], body: Buffer): void {
    if (this.#res.destroyed) return;
    this.#head(status, this.#bodiless(status) ? headers : withLength(headers, body.length));
    this.#res.end(body);
  }

  reject(why: Fault): void {
    this.end(FAULT_RESPONSES[why.kind].status, why, false);
  }

  /** An answer of our own. */
  end(status: number, why: Fault, close: boolean): void {
    if (this.#res.destroyed || this.#res.headersSent) return;
    const { retryAfterS, ran } = FAULT_RESPONSES[why.kind];
    const body = Buffer.from(JSON.stringify({ error: { kind: why.kind, message: why.detail, ran } }));
    const headers: Header[] = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
    ];
    const returnS = why.retryAfterS ?? retryAfterS;
    if (returnS > 0) headers.push(['Retry-After', String(returnS)]);
    if (close) this.#res.shouldKeepAlive = false;
    this.#head(status, headers);
    this.#res.end(body);
  }

  open(status: number, headers: readonly Header[]): void {
    if (this.#res.destroyed) return;
    this.#head(status, headers);
    this.#res.flushHeaders();
  }

  write(bytes: Buffer, drained: () => void): boolean {
    if (this.#res.destroyed) return true;
    const more = this.#res.write(bytes);
    if (!more) this.#res.once('drain', drained);
    return more;
  }

  close(): void {
    if (!this.#res.destroyed) this.#res.end();
  }

  /** Also where the answer still waits behind another one on its connection. */
  abort(): void {
    this.#res.destroy();
  }

  /** These have no body, and a length of 0 would not be the worker's. */
  #bodiless(status: number): boolean {
    return status === 204 || status === 304 || this.#res.req.method === 'HEAD';
  }

  #head(status: number, headers: readonly Header[]): void {
    if (this.#leaving()) this.#res.shouldKeepAlive = false;
    if (headers.some(([name]) => name.toLowerCase() === 'date')) this.#res.sendDate = false;
    this.#res.writeHead(status, headers.flat());
  }
}
