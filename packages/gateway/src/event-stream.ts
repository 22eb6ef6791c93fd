/** Validation of the server-sent event streams that workers send. */

import { ByteCollector } from '@rainrun/common';

/** The event that closes a complete stream. */
const DONE = 'data: [DONE]';
const LINE_FEED = 10;
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
  #incomplete = new ByteCollector();
  /** The last byte of the incomplete event; undefined if it has none. */
  #lastByte: number | undefined;
  #done = false;

  get isComplete(): boolean {
    return this.#done && this.#incomplete.lengthBytes === 0;
  }

  /** The closing event, to be sent to the client after the worker has ended its response. */
  get closingEvent(): Buffer {
    return Buffer.from(`${DONE}\n\n`);
  }

  take(chunk: Uint8Array): StreamChunkResult {
    if (this.#done) return { violation: 'data after the closing event' };
    const complete: Buffer[] = [];
    let rest = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    for (let end = this.#eventEnd(rest); end > 0; end = this.#eventEnd(rest)) {
      const event = this.#takeEvent(rest.subarray(0, end));
      rest = rest.subarray(end);
      if (event.toString('utf8').trim() === DONE) {
        this.#done = true;
        return rest.length > 0
          ? { violation: 'data after the closing event' }
          : { events: Buffer.concat(complete) };
      }
      complete.push(event);
    }
    if (this.#incomplete.lengthBytes + rest.length > MAX_EVENT_BYTES)
      return { violation: 'an event exceeds the size limit' };
    this.#incomplete.append(rest);
    this.#lastByte = rest.at(-1) ?? this.#lastByte;
    return { events: Buffer.concat(complete) };
  }

  /** The offset after the first event that ends in these bytes; 0 if none does. Bytes of earlier chunks are not searched. */
  #eventEnd(bytes: Buffer): number {
    if (this.#lastByte === LINE_FEED && bytes[0] === LINE_FEED) return 1;
    const at = bytes.indexOf('\n\n');
    return at < 0 ? 0 : at + 2;
  }

  #takeEvent(end: Buffer): Buffer {
    this.#lastByte = undefined;
    return Buffer.concat([this.#incomplete.take(), end]);
  }
}
