/** The bodies that a server is reading, to give up those of which nothing comes any more. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BodyReader } from './body-reader.js';
import { onResponseClose } from './response-close.js';

/**
 * Bodies that are not complete yet.
 * @example
 * unfinishedBodies.add(reader, req, res);
 * setInterval(() => unfinishedBodies.rejectIdle(clock.nowMs() - idleMs), 1000);
 */
export class UnfinishedBodies {
  readonly #readers = new Set<BodyReader>();
  #idleCount = 0;

  /** Number of bodies that were rejected since nothing of them came. */
  get idleCount(): number {
    return this.#idleCount;
  }

  /** Adds a body until the response to its request is closed. */
  add(reader: BodyReader, request: IncomingMessage, response: ServerResponse): void {
    this.#readers.add(reader);
    onResponseClose(request, response, () => this.#readers.delete(reader));
  }

  /** Rejects each body of which nothing came since this time, on the clock of its budget. */
  rejectIdle(sinceMs: number): void {
    for (const reader of this.#readers) {
      const { unfinishedSinceMs } = reader;
      if (unfinishedSinceMs === undefined) this.#readers.delete(reader);
      else if (unfinishedSinceMs <= sinceMs) {
        this.#idleCount += 1;
        reader.rejectIdle();
      }
    }
  }
}
