/** Bounds the connections that a listener keeps open, and chooses which give way to new ones. */
import type { Socket } from 'node:net';
import type { Clock } from '@rainrun/common';

/** A connection that was never used gives way before those at rest once it has been open for this long. */
const UNUSED_GRACE_MS = 1000;

/** Counters of a connection limit. */
export interface ConnectionCounts {
  readonly open: number;
  readonly limit: number;
  /** Connections that were closed for new ones. */
  closed: number;
}

/**
 * Keeps at most `limit` connections. A new one beyond that takes the place of one that was never used for a
 * request, else of the one that has been at rest for longest; connections with a request in progress stay. So a
 * crowd of connections cannot keep out a caller who comes later.
 * @example
 * server.on('connection', (socket) => connectionLimit.add(socket));
 */
export class ConnectionLimit {
  readonly #limit: number;
  readonly #clock: Clock;
  /** Connections that no request was received on, the oldest first, with the time at which they were opened. */
  readonly #unused = new Map<Socket, number>();
  /** Connections without a request in progress, the one at rest for longest first. */
  readonly #resting = new Set<Socket>();
  /** Number of requests in progress on each other connection. */
  readonly #busy = new Map<Socket, number>();
  #closed = 0;

  constructor(limit: number, clock: Clock) {
    this.#limit = limit;
    this.#clock = clock;
  }

  get counts(): ConnectionCounts {
    return { open: this.#open, limit: this.#limit, closed: this.#closed };
  }

  /** Registers a new connection; another one, or itself, is closed if there are too many. */
  add(socket: Socket): void {
    if (this.#open >= this.#limit) {
      this.#closed += 1;
      (this.#chooseVictim() ?? socket).destroy();
      if (socket.destroyed) return;
    }
    this.#unused.set(socket, this.#clock.nowMs());
    socket.on('close', () => this.#forget(socket));
  }

  /**
   * Records that a request on this connection is in progress: until `end`, it does not give way. A connection
   * that was closed meanwhile is not counted again.
   */
  begin(socket: Socket): void {
    if (socket.destroyed) return;
    this.#unused.delete(socket);
    this.#resting.delete(socket);
    this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
  }

  /** Records that a request on this connection has ended; may be called after its close. */
  end(socket: Socket): void {
    const requests = this.#busy.get(socket);
    if (requests === undefined) return;
    if (requests > 1) this.#busy.set(socket, requests - 1);
    else this.#busy.delete(socket);
    if (requests === 1 && !socket.destroyed) this.#resting.add(socket);
  }

  /** Records that a connection was used in passing: it is at rest again. */
  touch(socket: Socket): void {
    this.begin(socket);
    this.end(socket);
  }

  get #open(): number {
    return this.#unused.size + this.#resting.size + this.#busy.size;
  }

  #chooseVictim(): Socket | undefined {
    const [oldest] = this.#unused;
    if (oldest !== undefined && this.#clock.nowMs() - oldest[1] >= UNUSED_GRACE_MS)
      return this.#take(oldest[0]);
    const [rested] = this.#resting;
    return this.#take(rested ?? oldest?.[0]);
  }

  /** Forgets a connection at once: its close event comes later. */
  #take(socket: Socket | undefined): Socket | undefined {
    if (socket !== undefined) this.#forget(socket);
    return socket;
  }

  #forget(socket: Socket): void {
    this.#unused.delete(socket);
    this.#resting.delete(socket);
    this.#busy.delete(socket);
  }
}
