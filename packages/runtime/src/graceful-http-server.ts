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
 * So a caller that nobody told meets a definite answer, not a reset.
 * @example
 * const door = new Door(limits);
 * const server = door.create(handler);
 * door.drain();
 * await door.empty(5000);
 */
export class GracefulHttpServer {
  #limits: HttpServerLimits;
  #server: Server | undefined;
  #live = new Set<ServerResponse>();
  #connections = 0;
  #draining = false;

  constructor(limits: HttpServerLimits) {
    this.#limits = limits;
  }

  /** Our own limits, checked every second: a visitor may not hold a connection by never ending its headers. */
  create(handler: RequestListener): Server {
    const server = createServer({ ...this.#limits, connectionsCheckingInterval: 1000 }, (req, res) => {
      this.#live.add(res);
      res.on('close', () => this.#live.delete(res));
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
    for (const res of this.#live) res.shouldKeepAlive = false;
  }

  /** Resolves once no caller is connected any more, or after a while. */
  async empty(waitMs: number): Promise<void> {
    const endMs = performance.now() + waitMs;
    while (this.#connections > 0 && performance.now() < endMs) await pause(POLL_MS);
    this.#server?.closeIdleConnections();
  }

  /** Ends whatever is still open. */
  tear(): void {
    this.#server?.closeAllConnections();
  }
}
