/** Splits an event stream into complete events, for the router of the platform system. */
import { ByteCollector } from '@rainrun/common';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Largest event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** Complete events taken from a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last of these events that has one. */
  readonly lastId: string | undefined;
}

/** The last two bytes of an incomplete event; undefined where it has fewer. */
interface Tail {
  readonly secondLast: number | undefined;
  readonly last: number | undefined;
}

const NO_TAIL: Tail = { secondLast: undefined, last: undefined };

/**
 * Splits a stream into complete events, so that no partial event is forwarded. Each byte is looked at once,
 * however small the pieces of the stream are.
 * @example
 * new EventSplitter().take(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 */
export class EventSplitter {
  #incomplete = new ByteCollector();
  #tail = NO_TAIL;

  /** Bytes buffered of an event that is not complete yet. */
  get incompleteBytes(): number {
    return this.#incomplete.lengthBytes;
  }

  /** The events that this chunk completes; `endless` if an incomplete event exceeds the buffer limit. */
  take(chunk: Buffer): CompleteEvents | 'endless' {
    const end = lastEventEnd(chunk, this.#tail);
    const bytes = end === 0 ? NO_BYTES : this.#takeComplete(chunk.subarray(0, end));
    const rest = chunk.subarray(end);
    if (this.#incomplete.lengthBytes + rest.length > MAX_EVENT_BYTES) return 'endless';
    this.#incomplete.append(rest);
    this.#tail = tailAfter(end === 0 ? this.#tail : NO_TAIL, rest);
    return { bytes, lastId: end === 0 ? undefined : lastIdOf(bytes) };
  }

  #takeComplete(end: Buffer): Buffer {
    return this.#incomplete.lengthBytes === 0 ? end : Buffer.concat([this.#incomplete.take(), end]);
  }
}

/** The offset in the chunk after the last complete event, which ends with an empty line; 0 without one. */
function lastEventEnd(chunk: Buffer, tail: Tail): number {
  for (
    let at = chunk.lastIndexOf(LINE_FEED);
    at >= 0;
    at = at === 0 ? -1 : chunk.lastIndexOf(LINE_FEED, at - 1)
  ) {
    const before = byteAt(chunk, at - 1, tail) === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (byteAt(chunk, before, tail) === LINE_FEED) return at + 1;
  }
  return 0;
}

/** The byte at an offset of the chunk, or of what came before it if the offset is negative. */
function byteAt(chunk: Buffer, at: number, tail: Tail): number | undefined {
  if (at >= 0) return chunk[at];
  return at === -1 ? tail.last : tail.secondLast;
}

function tailAfter(tail: Tail, bytes: Buffer): Tail {
  if (bytes.length === 0) return tail;
  return { secondLast: byteAt(bytes, bytes.length - 2, tail), last: bytes.at(-1) };
}

function lastIdOf(bytes: Buffer): string | undefined {
  const at = Math.max(bytes.lastIndexOf('\nid:'), bytes.subarray(0, 3).toString('latin1') === 'id:' ? 0 : -1);
  if (at < 0) return undefined;
  const start = bytes[at] === LINE_FEED ? at + 4 : at + 3;
  const end = bytes.indexOf(LINE_FEED, start);
  return bytes
    .subarray(start, end < 0 ? bytes.length : end)
    .toString('utf8')
    .trim();
}
