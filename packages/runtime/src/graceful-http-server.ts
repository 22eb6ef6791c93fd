/** HTTP server with graceful shutdown for a node of the research groups' system. */
import { setTimeout as pause } from 'node:timers/promises';
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';

/** Timeouts of the HTTP server, in milliseconds. */
export interface HttpServerLimits {
  readonly headersTimeout: number;
  readonly requestTimeout: number;
  readonly keepAliveTimeout: number;
}

const POLL_MS = 50;

/**
 * The HTTP server of a node, with graceful shutdown. While it drains, every response asks the caller to close
 * the connection, and open connections are still served until the caller closes them or a time limit passes,
 * so that a caller that does not know of the shutdown gets a definite response, not a reset.
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

  /**
   * Creates the server with timeouts checked every second, so that unfinished headers do not hold a
   * connection open.
   */
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

  /** Resolves when no caller is connected any more, or after `waitMs`. */
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
