/** Reads the body of an HTTP request within the limits on one body and on all bodies of the process. */
import type { IncomingMessage } from 'node:http';
import {
  ByteCollector,
  recordShortLivedBuffer,
  type MemoryBudget,
  type MemoryReservation,
} from '@rainrun/common';
import type { ReadPacer } from './read-pacer.js';

/** Why a body is not read to its end. */
export type BodyRejection =
  /** It is larger than the limit on one body. */
  | 'too-large'
  /** All bodies together have reached their limit. */
  | 'no-memory'
  /** Nothing of it came for the idle time. */
  | 'idle';

/** What bounds the reading of a body. */
export interface BodyLimits {
  /** Largest size of one body. */
  readonly maxBytes: number;
  /** The memory of all bodies together. */
  readonly budget: MemoryBudget;
  readonly pacer: ReadPacer;
}

/** What becomes of a body; exactly one of the two is called, or none if the connection breaks before its end. */
export interface BodyHandler {
  complete(body: Buffer): void;
  /** The rest of the body is discarded. */
  rejected(reason: BodyRejection): void;
}

/**
 * Reads one body. Its memory stays reserved until `release` is called, since the body is held until the
 * request is answered.
 * @example
 * const reader = new BodyReader(req, { maxBytes: 4_194_304, budget, pacer }, handler);
 * res.on('close', () => reader.release());
 */
export class BodyReader {
  readonly #request: IncomingMessage;
  readonly #maxBytes: number;
  readonly #pacer: ReadPacer;
  readonly #handler: BodyHandler;
  readonly #collector: ByteCollector;
  readonly #reservation: MemoryReservation;
  #isOver = false;

  constructor(request: IncomingMessage, { maxBytes, budget, pacer }: BodyLimits, handler: BodyHandler) {
    this.#request = request;
    this.#maxBytes = maxBytes;
    this.#pacer = pacer;
    this.#handler = handler;
    this.#collector = new ByteCollector(announcedBytes(request));
    this.#reservation = budget.open(() => this.#reject('no-memory'));
    request.on('data', (chunk: Buffer) => this.#take(chunk));
    // A broken connection is handled by the response's 'close' event.
    request.on('error', () => undefined);
    request.on('end', () => this.#end());
  }

  /** When the last bytes came, on the clock of the budget; undefined once the body is whole or rejected. */
  get unfinishedSinceMs(): number | undefined {
    return this.#reservation.canGiveWay && !this.#isOver ? this.#reservation.lastProgressMs : undefined;
  }

  /** Rejects a body of which nothing comes any more. */
  rejectIdle(): void {
    this.#reject('idle');
  }

  /** Gives the memory back; nothing further is read. */
  release(): void {
    this.#isOver = true;
    this.#collector.clear();
    this.#reservation.release();
  }

  #take(chunk: Buffer): void {
    recordShortLivedBuffer(chunk.length);
    this.#pacer.record(this.#request.socket, chunk.length);
    if (this.#isOver) return;
    this.#reservation.recordProgress();
    if (this.#collector.lengthBytes + chunk.length > this.#maxBytes) return this.#reject('too-large');
    const growthBytes = this.#collector.growthFor(chunk.length);
    if (growthBytes > 0 && !this.#reservation.grow(growthBytes)) return this.#reject('no-memory');
    this.#collector.append(chunk);
  }

  #end(): void {
    if (this.#isOver || !this.#request.complete) return;
    this.#reservation.canGiveWay = false;
    const body = this.#collector.take();
    this.#reservation.shrinkTo(body.length);
    this.#handler.complete(body);
  }

  #reject(reason: BodyRejection): void {
    if (this.#isOver) return;
    this.release();
    this.#handler.rejected(reason);
  }
}

/** Length of the body that the client announced; undefined where it comes in chunks. */
function announcedBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}
