/** HTTP server with graceful shutdown, of a node of the research groups' system. */
import { setTimeout as pause } from 'node:timers/promises';
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';

/** Limits of the HTTP side, in milliseconds. */
export interface HttpServerLimits {
  readonly headersTimeout: number;
  readonly requestTimeout: number;
  readonly keepAliveTimeout: number;
}

const POLL_MS = 50;

/**
 * The HTTP server of a node, and its orderly end: once it drains, every answer
 * asks the caller to close the connection, and a connection that is still open
 * goes on being answered until its caller has closed it or a bound has passed.
 * So a caller that was not notified gets a definite response, not a reset.
 * @example
 * const httpServer = new GracefulHttpServer(limits);
 * const server = httpServer.create(handler);
 * httpServer.drain();
 * await httpServer.waitUntilIdle(5000);
 */
export class GracefulHttpServer {
  #limits: HttpServerLimits;
  #server: Server | undefined;
  #openResponses = new Set<ServerResponse>();
  #connections = 0;
  #draining = false;

  constructor(limits: HttpServerLimits) {
    this.#limits = limits;
  }

  /** Our own limits, checked every second: a client may not hold a connection by never ending its headers. */
  create(handler: RequestListener): Server {
    const server = createServer({ ...this.#limits, connectionsCheckingInterval: 1000 }, (req, res) => {
      this.#openResponses.add(res);
      res.on('close', () => this.#openResponses.delete(res));
      if (this.#draining) res.shouldKeepAlive = false;
      handler(req, res);
    });
    server.on('connection', (socket) => {
      this.#connections += 1;
      socket.on('close', () => {
        this.#connections -= 1;
      });
    });
    this.#server = server;
    return server;
  }

  drain(): void {
    this.#draining = true;
    for (const res of this.#openResponses) res.shouldKeepAlive = false;
  }

  /** Resolves once no caller is connected any more, or after a while. */
  async waitUntilIdle(waitMs: number): Promise<void> {
    const endMs = performance.now() + waitMs;
    while (this.#connections > 0 && performance.now() < endMs) await pause(POLL_MS);
    this.#server?.closeIdleConnections();
  }

  /** Closes every connection that is still open. */
  closeAllConnections(): void {
    this.#server?.closeAllConnections();
  }
}
