/** Validation of the server-sent event streams that workers send. */

/** The event that closes a complete stream. */
const DONE = 'data: [DONE]';
const MAX_EVENT_BYTES = 1024 * 1024;

/** Result of one chunk: the events that it completes, or how it violates the protocol. */
export type StreamChunkResult = { readonly events: Buffer } | { readonly violation: string };

/**
 * Validates a stream of server-sent events. It returns complete events only, and withholds the closing event
 * until the worker has ended the response after it.
 * @example
 * const validator = new EventStreamValidator();
 * validator.take(Buffer.from('data: {"a":1}\n\n'));
 * validator.isComplete; // false: the closing event is missing
 */
export class EventStreamValidator {
  #incomplete = Buffer.alloc(0);
  #done = false;

  get isComplete(): boolean {
    return this.#done && this.#incomplete.length === 0;
  }

  /** The closing event, to be sent to the client after the worker has ended its response. */
  get closingEvent(): Buffer {
    return Buffer.from(`${DONE}\n\n`);
  }

  take(chunk: Uint8Array): StreamChunkResult {
    if (this.#done) return { violation: 'data after the closing event' };
    this.#incomplete = Buffer.concat([this.#incomplete, chunk]);
    const complete: Buffer[] = [];
    for (;;) {
      const end = this.#incomplete.indexOf('\n\n');
      if (end < 0) break;
      const event = this.#incomplete.subarray(0, end + 2);
      this.#incomplete = this.#incomplete.subarray(end + 2);
      if (event.toString('utf8').trim() === DONE) {
        this.#done = true;
        if (this.#incomplete.length > 0) return { violation: 'data after the closing event' };
        break;
      }
      complete.push(event);
    }
    if (this.#incomplete.length > MAX_EVENT_BYTES) return { violation: 'an event exceeds the size limit' };
    return { events: Buffer.concat(complete) };
  }
}
