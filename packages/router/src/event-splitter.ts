/** Splits an event stream into complete events, for the router of the platform system. */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
/** Largest event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events taken from a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last of these events that has one. */
  readonly lastId: string | undefined;
}

/**
 * Splits a stream into complete events, so that no partial event is forwarded.
 * @example
 * new EventSplitter().take(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes buffered of an event that is not complete yet. */
  get incompleteBytes(): number {
    return this.#rest.length;
  }

  /** The events that this chunk completes; `endless` if an incomplete event exceeds the buffer limit. */
  take(chunk: Buffer): CompleteEvents | 'endless' {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = lastEventEnd(bytes);
    this.#rest = bytes.subarray(end);
    if (this.#rest.length > MAX_EVENT_BYTES) return 'endless';
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastId: end === 0 ? undefined : lastIdOf(complete) };
  }
}

/** The offset after the last complete event, which ends with an empty line. */
function lastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
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
