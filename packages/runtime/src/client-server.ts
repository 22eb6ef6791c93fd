/** The HTTP server to which clients of an edge on the platform connect. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { DEFAULT_LIMITS, type Limits } from '@rainrun/configuration';
import { fault } from '@rainrun/common';
import type { ClientRequest, ResponseSink } from '@rainrun/router';
import { ByteCollector } from './byte-collector.js';
import { ClientConnections } from './client-connections.js';
import { checkHead, toClientRequest } from './client-request.js';
import { ClientResponse } from './client-response.js';
import type { ClientHeaderNames } from './dialect.js';
import { splitAddress } from './peer-transport.js';

const HEADERS_MAX_BYTES = 128 * 1024;
/** Status line for a request that cannot be parsed or read in time, by the code of Node's error. */
const MALFORMED_REQUEST_STATUS: ReadonlyMap<string, string> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
]);

/** What the client server needs from its node. */
export interface ClientServerDependencies {
  readonly headerNames: ClientHeaderNames;
  limits(): Limits | undefined;
  /** Whether each connection is closed after its current response. */
  isDraining(): boolean;
  onRequest(request: ClientRequest, sink: ResponseSink): () => void;
}

/**
 * Accepts client connections, reads each request completely within the configured limits and passes it to
 * `onRequest`.
 * @example
 * const clientServer = new ClientServer(dependencies);
 * await clientServer.listen('10.0.0.4:8000');
 */
export class ClientServer {
  #dependencies: ClientServerDependencies;
  #server: Server;
  #connections = new ClientConnections();
  #openRequests = 0;

  constructor(dependencies: ClientServerDependencies) {
    this.#dependencies = dependencies;
    this.#server = createServer(
      { maxHeaderSize: HEADERS_MAX_BYTES, connectionsCheckingInterval: 500, noDelay: true },
      (req, res) => this.#receive(req, res),
    );
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#server.on('clientError', (thrown: NodeJS.ErrnoException, socket) =>
      this.#rejectMalformed(thrown, socket),
    );
    // Called by `Server.close`. Node's own version also closes connections whose responses are still being flushed.
    this.#server.closeIdleConnections = () => this.#connections.drain();
    this.applyLimits();
  }

  /** Number of requests without a complete response. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Applies the timeouts of the current configuration to the server. */
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

  /** Accepts no new connections; each open one closes after its pending responses. */
  close(): void {
    this.#server.close();
  }

  /** Closes every connection immediately, also those with pending responses. */
  closeAllConnections(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Handles a request that cannot be parsed or does not arrive in time. An error response may be written only
   * if no other response is pending on the connection: the client would take it for that one.
   */
  #rejectMalformed(thrown: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || thrown.code === 'ECONNRESET') return void socket.destroy();
    if (this.#connections.hasPendingResponse(socket))
      return this.#connections.closeAfterPendingResponses(socket);
    const status = MALFORMED_REQUEST_STATUS.get(thrown.code ?? '') ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    if (!this.#connections.requestStarted(req)) return;
    this.#openRequests += 1;
    res.on('close', () => {
      this.#openRequests -= 1;
      this.#connections.responseClosed(req);
    });
    const limits = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    const response = new ClientResponse(res, () => this.#dependencies.isDraining());
    const rejection = checkHead(req, this.#dependencies.headerNames, limits);
    if (rejection !== undefined) return response.end(rejection.status, rejection.why, true);
    this.#readBody(req, limits.bodyBytes, response, (body) => {
      if (!res.destroyed) this.#dispatch(req, res, body, response);
    });
  }

  /** Reads the body; one above the limit is rejected immediately, and the rest of it is discarded. */
  #readBody(
    req: IncomingMessage,
    maxBytes: number,
    response: ClientResponse,
    complete: (body: Buffer) => void,
  ): void {
    const collector = new ByteCollector(announcedBytes(req));
    let rejected = false;
    req.on('data', (chunk: Buffer) => {
      if (rejected) return;
      if (collector.lengthBytes + chunk.length <= maxBytes) return collector.append(chunk);
      rejected = true;
      collector.clear();
      response.end(413, fault('too-large', 'the body is too large'), true);
    });
    // A broken connection is handled by the response's 'close' event.
    req.on('error', () => undefined);
    req.on('end', () => {
      if (!rejected && req.complete) complete(collector.take());
    });
  }

  #dispatch(req: IncomingMessage, res: ServerResponse, body: Buffer, response: ClientResponse): void {
    const { headerNames } = this.#dependencies;
    const cancel = this.#dependencies.onRequest(toClientRequest(req, headerNames, body), response);
    res.on('close', () => {
      if (!res.writableFinished) cancel();
    });
  }
}

/** Length of the body that the client announced; undefined where it comes in chunks. */
function announcedBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}
