/** The HTTP response to a client of an edge on the platform. */
import type { ServerResponse } from 'node:http';
import { FAULT_RESPONSES, type Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import type { ResponseSink } from '@rainrun/router';

/**
 * Writes one response; nothing is written once the connection is gone.
 * @example
 * const response = new ClientResponse(res, () => draining);
 * response.reject(fault('over-share', 'too many requests wait here'));
 */
export class ClientResponse implements ResponseSink {
  #res: ServerResponse;
  #isDraining: () => boolean;

  constructor(res: ServerResponse, isDraining: () => boolean) {
    this.#res = res;
    this.#isDraining = isDraining;
  }

  respond(status: number, headers: readonly Header[], body: Buffer): void {
    if (this.#res.destroyed) return;
    this.#head(status, this.#hasNoBody(status) ? headers : withLength(headers, body.length));
    this.#res.end(body);
  }

  /** Answers with the status that belongs to the fault's kind. */
  reject(why: Fault): void {
    this.end(FAULT_RESPONSES[why.kind].status, why, false);
  }

  /** Answers with a fault of our own, as JSON; the connection is closed afterwards where `close` is set. */
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
  #hasNoBody(status: number): boolean {
    return status === 204 || status === 304 || this.#res.req.method === 'HEAD';
  }

  #head(status: number, headers: readonly Header[]): void {
    if (this.#isDraining()) this.#res.shouldKeepAlive = false;
    if (headers.some(([name]) => name.toLowerCase() === 'date')) this.#res.sendDate = false;
    this.#res.writeHead(status, headers.flat());
  }
}

function withLength(headers: readonly Header[], length: number): Header[] {
  return [
    ...headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
    ['Content-Length', String(length)],
  ];
}
