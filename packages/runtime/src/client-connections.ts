/** Connections of clients to an edge on the platform, and when each may be closed. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

interface Connection {
  readonly socket: Socket;
  /** Requests whose head was read and whose response has not been sent completely. */
  readonly open: Set<IncomingMessage>;
  ending: 'no' | 'when closed' | 'when answered';
}

/**
 * The connections of clients: ends each of them only once the answers that are
 * due on it have gone out.
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

  /** The head of a request was read; false: its connection is at its end, and the request is not taken. */
  requestStarted(request: IncomingMessage): boolean {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || connection.ending === 'when answered' || !request.socket.writable)
      return false;
    connection.open.add(request);
    return true;
  }

  /** The answer to a request has gone out, or its connection is lost. */
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

  /** What follows on this connection cannot be read: it ends behind the answers that are due. */
  closeAfterPendingResponses(socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.ending = 'when answered';
    closeIfDone(connection);
  }

  /** Ends every connection, now or behind its last answer. */
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
  const due =
    (connection.ending === 'when closed' && connection.open.size === 0) ||
    (connection.ending === 'when answered' && !hasPendingResponse(connection));
  if (due) connection.socket.destroySoon();
}
