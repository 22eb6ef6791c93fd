/** Checks event streams of workers, for the research groups' gateway. */

/** The closing event. */
const DONE = 'data: [DONE]';
const MAX_EVENT_BYTES = 1024 * 1024;

/** What became of a chunk. */
export type StreamStep = { readonly events: Buffer } | { readonly nonsense: string };

/**
 * Watches a stream of server-sent events: forwards complete events only, and
 * keeps the closing one back until the worker has really ended there.
 * @example
 * const watch = new StreamWatch();
 * watch.take(Buffer.from('data: {"a":1}\n\n'));
 * watch.finished; // false: no closing event yet
 */
export class StreamWatch {
  #rest = Buffer.alloc(0);
  #done = false;

  get finished(): boolean {
    return this.#done && this.#rest.length === 0;
  }

  /** The closing event, to be sent when the worker has ended. */
  get closing(): Buffer {
    return Buffer.from(`${DONE}\n\n`);
  }

  take(chunk: Uint8Array): StreamStep {
    if (this.#done) return { nonsense: 'more after the closing event' };
    this.#rest = Buffer.concat([this.#rest, chunk]);
    const complete: Buffer[] = [];
    for (;;) {
      const end = this.#rest.indexOf('\n\n');
      if (end < 0) break;
      const event = this.#rest.subarray(0, end + 2);
      this.#rest = this.#rest.subarray(end + 2);
      if (event.toString('utf8').trim() === DONE) {
        this.#done = true;
        if (this.#rest.length > 0) return { nonsense: 'more after the closing event' };
        break;
      }
      complete.push(event);
    }
    if (this.#rest.length > MAX_EVENT_BYTES) return { nonsense: 'an event without end' };
    return { events: Buffer.concat(complete) };
  }
}
