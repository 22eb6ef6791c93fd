/** Tells when a server is done with a request, also with one whose answer waits behind others. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const PENDING_BY_SOCKET = new WeakMap<Socket, Set<() => void>>();

/**
 * Calls `done` once, when the response is closed or its connection is. Node.js emits no 'close' on a response
 * that still waits behind another one on its connection when that connection breaks.
 * @example
 * onResponseClose(req, res, () => reservation.release());
 */
export function onResponseClose(
  { socket }: IncomingMessage,
  response: ServerResponse,
  done: () => void,
): void {
  const pending = PENDING_BY_SOCKET.get(socket) ?? watchSocket(socket);
  function finish(): void {
    if (pending.delete(finish)) done();
  }
  pending.add(finish);
  response.on('close', finish);
}

function watchSocket(socket: Socket): Set<() => void> {
  const pending = new Set<() => void>();
  PENDING_BY_SOCKET.set(socket, pending);
  socket.on('close', () => {
    for (const finish of pending) finish();
  });
  return pending;
}
