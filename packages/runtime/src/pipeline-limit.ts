/** Bounds the requests that a client sends on one connection without waiting for answers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { onResponseClose } from './response-close.js';

/** Requests on one connection whose responses are not complete. */
const PIPELINED_REQUESTS_MAX = 16;

/**
 * Counts the unanswered requests of each connection and closes a connection that has too many: answers go out
 * in the order of the requests, so further ones could not be refused before those ahead are answered.
 * @example
 * if (!pipelineLimit.accept(req, res)) return;
 */
export class PipelineLimit {
  readonly #unanswered = new WeakMap<Socket, number>();
  #closed = 0;

  /** Number of connections that were closed. */
  get closed(): number {
    return this.#closed;
  }

  /** Registers a request until its response is closed; false if its connection is closed instead. */
  accept(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    if (socket.destroyed) return false;
    const unanswered = this.#unanswered.get(socket) ?? 0;
    if (unanswered >= PIPELINED_REQUESTS_MAX) {
      this.#closed += 1;
      socket.destroy();
      return false;
    }
    this.#unanswered.set(socket, unanswered + 1);
    onResponseClose(request, response, () =>
      this.#unanswered.set(socket, (this.#unanswered.get(socket) ?? 1) - 1),
    );
    return true;
  }
}
