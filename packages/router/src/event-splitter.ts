const LINE_END = 10;
const RETURN = 13;
const EVENT_MOST = 1024 * 1024;

/** Whole events taken from a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last of them that has one. */
  readonly lastId: string | undefined;
}

/**
 * Cuts a stream of events into whole ones, so that nothing is passed on in half.
 * @example
 * new EventSplitter().take(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get incompleteBytes(): number {
    return this.#rest.length;
  }

  take(chunk: Buffer): CompleteEvents | 'endless' {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = lastEventEnd(bytes);
    this.#rest = bytes.subarray(end);
    if (this.#rest.length > EVENT_MOST) return 'endless';
    const whole = bytes.subarray(0, end);
    return { bytes: whole, lastId: end === 0 ? undefined : lastIdOf(whole) };
  }
}

/** Where the last whole event ends: behind an empty line. */
function lastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_END) continue;
    const before = bytes[at - 1] === RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_END) return at + 1;
  }
  return 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  const at = Math.max(bytes.lastIndexOf('\nid:'), bytes.subarray(0, 3).toString('latin1') === 'id:' ? 0 : -1);
  if (at < 0) return undefined;
  const start = bytes[at] === LINE_END ? at + 4 : at + 3;
  const end = bytes.indexOf(LINE_END, start);
  return bytes
    .subarray(start, end < 0 ? bytes.length : end)
    .toString('utf8')
    .trim();
}
