import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { USUAL_LIMITS, type Limits } from '@rainrun/configuration';
import { ANSWERS, fault, type Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import { isHop, type Ask, type ClientPort } from '@rainrun/router';
import type { DoorWords } from './dialect.js';
import { splitAddress } from './wire.js';

const HEADERS_MOST = 128 * 1024;

/** What the front door needs of its node. */
export interface FrontDependencies {
  readonly words: DoorWords;
  limits(): Limits | undefined;
  /** Whether connections are to be closed after their answer. */
  leaving(): boolean;
  take(ask: Ask, port: ClientPort): () => void;
}

/**
 * Where clients come in: reads each request whole within the limits in force
 * and hands it on.
 * @example
 * const front = new FrontDoor(dependencies);
 * await front.listen('10.0.0.4:8000');
 */
export class FrontDoor {
  #dependencies: FrontDependencies;
  #server: Server;
  #open = 0;

  constructor(dependencies: FrontDependencies) {
    this.#dependencies = dependencies;
    this.#server = createServer(
      { maxHeaderSize: HEADERS_MOST, connectionsCheckingInterval: 500, noDelay: true },
      (req, res) => this.#receive(req, res),
    );
    this.#server.on('clientError', (thrown: NodeJS.ErrnoException, socket) => {
      if (!socket.writable || thrown.code === 'ECONNRESET') return void socket.destroy();
      const status =
        thrown.code === 'ERR_HTTP_REQUEST_TIMEOUT'
          ? '408 Request Timeout'
          : thrown.code === 'HPE_HEADER_OVERFLOW'
            ? '431 Request Header Fields Too Large'
            : '400 Bad Request';
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
    this.applyLimits();
  }

  /** Requests that have not had their whole answer. */
  get open(): number {
    return this.#open;
  }

  /** Takes over the limits in force. */
  applyLimits(): void {
    const { headerMs, idleMs } = this.#dependencies.limits() ?? USUAL_LIMITS;
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

  /** Takes no new connections; those without a request under way are closed. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    this.#open += 1;
    res.on('close', () => {
      this.#open -= 1;
    });
    const limits = this.#dependencies.limits() ?? USUAL_LIMITS;
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
      if (refused || !req.complete) return;
      const leave = this.#dependencies.take(this.#ask(req, id, Buffer.concat(parts)), port);
      res.on('close', () => {
        if (!res.writableFinished) leave();
      });
    });
  }

  #ask(req: IncomingMessage, id: string, body: Buffer): Ask {
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

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

class HttpPort implements ClientPort {
  #res: ServerResponse;
  #leaving: () => boolean;

  constructor(res: ServerResponse, leaving: () => boolean) {
    this.#res = res;
    this.#leaving = leaving;
  }

  answer(status: number, headers: readonly Header[], body: Buffer): void {
    if (this.#res.destroyed) return;
    this.#head(status, [
      ...headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
      ['Content-Length', String(body.length)],
    ]);
    this.#res.end(body);
  }

  refuse(why: Fault): void {
    this.end(ANSWERS[why.kind].status, why, false);
  }

  /** An answer of our own. */
  end(status: number, why: Fault, close: boolean): void {
    if (this.#res.destroyed || this.#res.headersSent) return;
    const { retryAfterS, ran } = ANSWERS[why.kind];
    const body = Buffer.from(JSON.stringify({ error: { kind: why.kind, message: why.detail, ran } }));
    const headers: Header[] = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
    ];
    const returnS = why.returnS ?? retryAfterS;
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

  piece(bytes: Buffer, drained: () => void): boolean {
    if (this.#res.destroyed) return true;
    const more = this.#res.write(bytes);
    if (!more) this.#res.once('drain', drained);
    return more;
  }

  close(): void {
    if (!this.#res.destroyed) this.#res.end();
  }

  cut(): void {
    this.#res.socket?.destroy();
  }

  #head(status: number, headers: readonly Header[]): void {
    if (this.#leaving()) this.#res.shouldKeepAlive = false;
    if (headers.some(([name]) => name.toLowerCase() === 'date')) this.#res.sendDate = false;
    this.#res.writeHead(status, headers.flat());
  }
}
