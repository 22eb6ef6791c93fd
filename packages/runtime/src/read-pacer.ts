/** Keeps connections that send many tiny pieces from taking the whole processor. */
import type { Socket } from 'node:net';

/** A piece below this size costs more to parse than its bytes are worth. */
const SMALL_PIECE_BYTES = 256;
/** Small pieces that a connection may send in one turn; a few milliseconds of work. */
const SMALL_PIECES_PER_TURN = 2000;
/** Pause between two turns, in which everything else runs. */
const TURN_INTERVAL_MS = 10;

/**
 * Lets connections that send many small pieces take turns: each is paused at the end of its turn, and one at a
 * time is read again. Connections that send larger pieces, or few, are never paused.
 * @example
 * const pacer = new ReadPacer();
 * request.on('data', (chunk) => pacer.record(request.socket, chunk.length));
 */
export class ReadPacer {
  readonly #smallPieces = new WeakMap<Socket, number>();
  readonly #paused: Socket[] = [];
  #timer: NodeJS.Timeout | undefined;

  /** Records a piece that a connection has sent, and pauses the connection if its turn is over. */
  record(socket: Socket, pieceBytes: number): void {
    if (pieceBytes >= SMALL_PIECE_BYTES) return;
    const smallPieces = (this.#smallPieces.get(socket) ?? 0) + 1;
    this.#smallPieces.set(socket, smallPieces);
    if (smallPieces === SMALL_PIECES_PER_TURN) this.#pause(socket);
  }

  #pause(socket: Socket): void {
    this.#paused.push(socket);
    // The request that reads from the socket resumes it after each piece.
    socket.on('resume', pauseSocket);
    socket.pause();
    this.#timer ??= setTimeout(() => this.#startNextTurn(), TURN_INTERVAL_MS);
  }

  #startNextTurn(): void {
    this.#timer = undefined;
    const next = this.#paused.shift();
    if (next !== undefined) this.#resume(next);
    if (this.#paused.length > 0) this.#timer = setTimeout(() => this.#startNextTurn(), TURN_INTERVAL_MS);
  }

  #resume(socket: Socket): void {
    this.#smallPieces.delete(socket);
    socket.off('resume', pauseSocket);
    if (!socket.destroyed) socket.resume();
  }
}

function pauseSocket(this: Socket): void {
  this.pause();
}
