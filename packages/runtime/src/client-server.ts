/** The HTTP server to which clients of an edge on the platform connect. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { DEFAULT_LIMITS, type Limits } from '@rainrun/configuration';
import { fault, type Clock, type Fault, type MemoryBudget } from '@rainrun/common';
import type { ClientRequest, ResponseSink } from '@rainrun/router';
import { BodyReader, type BodyRejection } from './body-reader.js';
import { BodyWriters } from './body-writer.js';
import { ClientConnections } from './client-connections.js';
import { checkHead, toClientRequest } from './client-request.js';
import { ClientResponse } from './client-response.js';
import { ConnectionLimit } from './connection-limit.js';
import type { ClientHeaderNames } from './dialect.js';
import { splitAddress } from './peer-transport.js';
import { PipelineLimit } from './pipeline-limit.js';
import { ReadPacer } from './read-pacer.js';
import { bodyBudget, bodyMemoryBytes, edgeConnectionLimits, type MachineLimits } from './resource-limits.js';
import { onResponseClose } from './response-close.js';
import { serverCounts } from './server-counts.js';
import { UnfinishedBodies } from './unfinished-bodies.js';

/** Status line for a request that cannot be parsed or read in time, by the code of Node's error. */
const MALFORMED_REQUEST_STATUS: ReadonlyMap<string, string> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
]);

/** How often bodies are looked for of which nothing comes, or is read, any more. */
const IDLE_CHECK_INTERVAL_MS = 1000;

/** The response to a request whose body is not read to its end: none of them has run. */
const BODY_REJECTIONS: Readonly<Record<BodyRejection, { readonly status: number; readonly why: Fault }>> = {
  'too-large': { status: 413, why: fault('too-large', 'the body is too large') },
  'no-memory': { status: 429, why: fault('over-share', 'the bodies of all requests here are too large') },
  idle: { status: 408, why: fault('bad-request', 'nothing of the body came for the idle time') },
};

/** What the client server needs from its node. */
export interface ClientServerDependencies {
  readonly headerNames: ClientHeaderNames;
  readonly machine: MachineLimits;
  readonly clock: Clock;
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
  #connectionLimit: ConnectionLimit;
  #pipelineLimit = new PipelineLimit();
  #openRequests = 0;
  #bodies: MemoryBudget;
  #unfinishedBodies = new UnfinishedBodies();
  #bodyWriters: BodyWriters;
  #pacer = new ReadPacer();
  #idleCheck: NodeJS.Timeout;

  constructor(dependencies: ClientServerDependencies) {
    this.#dependencies = dependencies;
    const { machine, clock } = dependencies;
    this.#connectionLimit = new ConnectionLimit(edgeConnectionLimits(machine).clients, clock);
    this.#bodies = bodyBudget(machine, DEFAULT_LIMITS.bodyBytes, clock);
    this.#bodyWriters = new BodyWriters(clock);
    this.#idleCheck = setInterval(() => this.#closeIdle(), IDLE_CHECK_INTERVAL_MS).unref();
    this.#server = createServer({ connectionsCheckingInterval: 500, noDelay: true }, (req, res) =>
      this.#receive(req, res),
    );
    this.#server.on('connection', (socket) => {
      this.#connections.add(socket);
      this.#connectionLimit.add(socket);
    });
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

  /** What clients hold here, the bounds on it, and how many of them gave way, by the names of the counters. */
  get counts(): Readonly<Record<string, number>> {
    const counts = serverCounts({
      bodies: this.#bodies,
      unfinishedBodies: this.#unfinishedBodies,
      connections: this.#connectionLimit,
      pipelines: this.#pipelineLimit,
    });
    return { ...counts, answersUnread: this.#bodyWriters.unreadCount };
  }

  /** Applies the timeouts and sizes of the current configuration to the server. */
  applyLimits(): void {
    const { headerBytes, headerMs, idleMs, bodyBytes } = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    // Read by Node.js for each new connection, but missing in its types.
    Object.assign(this.#server, { maxHeaderSize: headerBytes });
    this.#bodies.limitBytes = bodyMemoryBytes(this.#dependencies.machine, bodyBytes);
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
    clearInterval(this.#idleCheck);
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
    if (!this.#pipelineLimit.accept(req, res) || !this.#connections.requestStarted(req)) return;
    this.#openRequests += 1;
    onResponseClose(req, res, () => {
      this.#openRequests -= 1;
      this.#connections.responseClosed(req);
    });
    const limits = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    const response = new ClientResponse(res, this.#bodyWriters, () => this.#dependencies.isDraining());
    const rejection = checkHead(req, this.#dependencies.headerNames, limits);
    if (rejection !== undefined) return response.end(rejection.status, rejection.why, true);
    this.#readBody(req, res, limits.bodyBytes, response);
  }

  /** Reads the body, which counts as held until the response is closed, then dispatches the request. */
  #readBody(req: IncomingMessage, res: ServerResponse, maxBytes: number, response: ClientResponse): void {
    const reader = new BodyReader(
      req,
      { maxBytes, budget: this.#bodies, pacer: this.#pacer },
      {
        complete: (body) => {
          if (!res.destroyed) this.#dispatch(req, res, body, response);
        },
        rejected: (reason) => {
          const { status, why } = BODY_REJECTIONS[reason];
          response.end(status, why, true);
        },
      },
    );
    this.#unfinishedBodies.add(reader, req, res);
    onResponseClose(req, res, () => reader.release());
  }

  /** Gives up each body of a request of which nothing came, and of a response of which nothing was read, for the idle time. */
  #closeIdle(): void {
    const { idleMs } = this.#dependencies.limits() ?? DEFAULT_LIMITS;
    const sinceMs = this.#dependencies.clock.nowMs() - idleMs;
    this.#unfinishedBodies.rejectIdle(sinceMs);
    this.#bodyWriters.closeUnread(sinceMs);
  }

  #dispatch(req: IncomingMessage, res: ServerResponse, body: Buffer, response: ClientResponse): void {
    const { headerNames } = this.#dependencies;
    this.#connectionLimit.begin(req.socket);
    const cancel = this.#dependencies.onRequest(toClientRequest(req, headerNames, body), response);
    onResponseClose(req, res, () => {
      this.#connectionLimit.end(req.socket);
      if (!res.writableFinished) cancel();
    });
  }
}
