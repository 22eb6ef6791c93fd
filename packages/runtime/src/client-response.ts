/** The HTTP response that an edge on the platform sends to a client. */
import type { ServerResponse } from 'node:http';
import { FAULT_RESPONSES, type Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import type { ResponseSink } from '@rainrun/router';
import type { BodyWriters } from './body-writer.js';

/**
 * Writes one response; after the connection is closed, further writes are ignored.
 * @example
 * const response = new ClientResponse(res, bodyWriters, () => draining);
 * response.reject(fault('over-share', 'too many requests wait here'));
 */
export class ClientResponse implements ResponseSink {
  #res: ServerResponse;
  #bodyWriters: BodyWriters;
  #isDraining: () => boolean;

  constructor(res: ServerResponse, bodyWriters: BodyWriters, isDraining: () => boolean) {
    this.#res = res;
    this.#bodyWriters = bodyWriters;
    this.#isDraining = isDraining;
  }

  respond(status: number, headers: readonly Header[], body: Buffer, released: () => void): void {
    if (this.#res.destroyed) return released();
    this.#head(status, this.#hasNoBody(status) ? headers : withLength(headers, body.length));
    this.#bodyWriters.write(this.#res, body, released);
  }

  /** Sends an error response with the status that `FAULT_RESPONSES` gives for the kind of the fault. */
  reject(why: Fault): void {
    this.end(FAULT_RESPONSES[why.kind].status, why, false);
  }

  /** Sends a fault as JSON with this status; closes the connection afterwards if `close` is set. */
  end(status: number, why: Fault, close: boolean): void {
    if (this.#res.destroyed || this.#res.headersSent) return;
    const { retryAfterS, ran } = FAULT_RESPONSES[why.kind];
    const body = Buffer.from(JSON.stringify({ error: { kind: why.kind, message: why.detail, ran } }));
    const headers: Header[] = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
    ];
    const retryDelayS = why.retryAfterS ?? retryAfterS;
    if (retryDelayS > 0) headers.push(['Retry-After', String(retryDelayS)]);
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
    const hasCapacity = this.#res.write(bytes);
    if (!hasCapacity) this.#res.once('drain', drained);
    return hasCapacity;
  }

  close(): void {
    if (!this.#res.destroyed) this.#res.end();
  }

  /** Closes the connection, also if this response is still queued behind another one on it. */
  abort(): void {
    this.#res.destroy();
  }

  /**
   * Whether a response has no body by definition; a `Content-Length: 0` would then contradict the worker's
   * header.
   */
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
