/** Writes complete bodies to clients, and closes the connections of clients that do not read them. */
import type { ServerResponse } from 'node:http';
import type { Clock } from '@rainrun/common';
import { onResponseClose } from './response-close.js';

/** Size of the pieces in which a body is written, so that a client that reads slowly can be told from one that does not. */
const PIECE_BYTES = 64 * 1024;

/** One body that is being written. */
class BodyWriter {
  readonly #response: ServerResponse;
  readonly #body: Buffer;
  readonly #clock: Clock;
  #writtenBytes = 0;
  #lastProgressMs: number;

  constructor(response: ServerResponse, body: Buffer, clock: Clock) {
    this.#response = response;
    this.#body = body;
    this.#clock = clock;
    this.#lastProgressMs = clock.nowMs();
  }

  /** Writes further pieces until the client has to read some. */
  write(): void {
    this.#lastProgressMs = this.#clock.nowMs();
    while (this.#body.length - this.#writtenBytes > PIECE_BYTES) {
      const piece = this.#body.subarray(this.#writtenBytes, this.#writtenBytes + PIECE_BYTES);
      this.#writtenBytes += piece.length;
      if (!this.#response.write(piece)) return void this.#response.once('drain', () => this.write());
    }
    this.#response.end(this.#body.subarray(this.#writtenBytes));
  }

  /** Closes the connection if the client has read nothing since this time. */
  closeIfUnread(sinceMs: number): boolean {
    // A response that waits behind another one on its connection has no socket yet.
    if (this.#response.socket === null) this.#lastProgressMs = this.#clock.nowMs();
    if (this.#lastProgressMs > sinceMs) return false;
    this.#response.destroy();
    return true;
  }
}

/**
 * Writes complete bodies and knows those that clients have not read.
 * @example
 * bodyWriters.write(response, body, () => reservation.release());
 * setInterval(() => bodyWriters.closeUnread(clock.nowMs() - idleMs), 1000);
 */
export class BodyWriters {
  readonly #clock: Clock;
  readonly #writers = new Set<BodyWriter>();
  #unreadCount = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of connections that were closed since the client read nothing. */
  get unreadCount(): number {
    return this.#unreadCount;
  }

  /** Writes the body of a response whose head is written; `released` is called once the body is not held any more. */
  write(response: ServerResponse, body: Buffer, released: () => void): void {
    const writer = new BodyWriter(response, body, this.#clock);
    this.#writers.add(writer);
    onResponseClose(response.req, response, () => {
      this.#writers.delete(writer);
      released();
    });
    writer.write();
  }

  /** Closes each connection whose client has read nothing of a body since this time. */
  closeUnread(sinceMs: number): void {
    for (const writer of this.#writers) if (writer.closeIfUnread(sinceMs)) this.#unreadCount += 1;
  }
}
