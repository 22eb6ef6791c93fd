/** Tracks client connections to an edge on the platform, and when each may be closed. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

interface Connection {
  readonly socket: Socket;
  /** Requests whose head has been read and whose response is not complete. */
  readonly open: Set<IncomingMessage>;
  ending: 'no' | 'when closed' | 'when answered';
}

/**
 * Tracks client connections and closes each one only after its pending responses have been sent.
 * @example
 * const connections = new ClientConnections();
 * server.on('connection', (socket) => connections.add(socket));
 * connections.drain();
 */
export class ClientConnections {
  #connections = new Map<Duplex, Connection>();
  #draining = false;

  add(socket: Socket): void {
    this.#connections.set(socket, { socket, open: new Set(), ending: this.#draining ? 'when closed' : 'no' });
    socket.on('close', () => this.#connections.delete(socket));
  }

  /**
   * Registers a request whose head has been read; false if its connection is closing and the request must be
   * ignored.
   */
  requestStarted(request: IncomingMessage): boolean {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || connection.ending === 'when answered' || !request.socket.writable)
      return false;
    connection.open.add(request);
    return true;
  }

  /** Unregisters a request whose response has been sent or whose connection is lost. */
  responseClosed(request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    connection.open.delete(request);
    closeIfDone(connection);
  }

  /** Whether the response to a completely received request is still pending. */
  hasPendingResponse(socket: Duplex): boolean {
    const connection = this.#connections.get(socket);
    return connection !== undefined && hasPendingResponse(connection);
  }

  /** Closes a connection on which no further input can be parsed, after its pending responses. */
  closeAfterPendingResponses(socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.ending = 'when answered';
    closeIfDone(connection);
  }

  /** Closes every connection, immediately or after its last pending response. */
  drain(): void {
    this.#draining = true;
    for (const connection of this.#connections.values()) {
      if (connection.ending === 'no') connection.ending = 'when closed';
      closeIfDone(connection);
    }
  }
}

function hasPendingResponse(connection: Connection): boolean {
  return [...connection.open].some((request) => request.complete);
}

function closeIfDone(connection: Connection): void {
  const isDone =
    (connection.ending === 'when closed' && connection.open.size === 0) ||
    (connection.ending === 'when answered' && !hasPendingResponse(connection));
  if (isDone) connection.socket.destroySoon();
}
