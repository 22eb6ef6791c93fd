/** Checks event streams of workers, for the research groups' gateway. */

/** The closing event. */
const DONE = 'data: [DONE]';
const MAX_EVENT_BYTES = 1024 * 1024;

/** What became of a chunk. */
export type StreamChunkResult = { readonly events: Buffer } | { readonly violation: string };

/**
 * Watches a stream of server-sent events: forwards complete events only, and
 * keeps the closing one back until the worker has really ended there.
 * @example
 * const validator = new EventStreamValidator();
 * validator.take(Buffer.from('data: {"a":1}\n\n'));
 * validator.finished; // false: no closing event yet
 */
export class EventStreamValidator {
  #incomplete = Buffer.alloc(0);
  #done = false;

  get isComplete(): boolean {
    return this.#done && this.#incomplete.length === 0;
  }

  /** The closing event, to be sent when the worker has ended. */
  get closingEvent(): Buffer {
    return Buffer.from(`${DONE}\n\n`);
  }

  take(chunk: Uint8Array): StreamChunkResult {
    if (this.#done) return { violation: 'more after the closing event' };
    this.#incomplete = Buffer.concat([this.#incomplete, chunk]);
    const complete: Buffer[] = [];
    for (;;) {
      const end = this.#incomplete.indexOf('\n\n');
      if (end < 0) break;
      const event = this.#incomplete.subarray(0, end + 2);
      this.#incomplete = this.#incomplete.subarray(end + 2);
      if (event.toString('utf8').trim() === DONE) {
        this.#done = true;
        if (this.#incomplete.length > 0) return { violation: 'more after the closing event' };
        break;
      }
      complete.push(event);
    }
    if (this.#incomplete.length > MAX_EVENT_BYTES) return { violation: 'an event without end' };
    return { events: Buffer.concat(complete) };
  }
}
