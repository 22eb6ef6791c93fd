/** Bounds what a worker sends outside of response bodies: heads, interim responses, chunk framing, trailers. */
import type { Readable } from 'node:stream';
import { recordShortLivedBuffer } from '@rainrun/common';

/**
 * Bytes outside of bodies after which a connection is closed; several times the largest head that is accepted,
 * since tiny chunks have more framing than body.
 */
const MAX_FRAMING_BYTES = 128 * 1024;
/** Lines of one head, or of trailers: each takes two objects, however short it is. */
const MAX_HEAD_LINES = 512;
/**
 * Bytes that are read at once. The parser puts back what it has not parsed when it is paused; read as a whole, that
 * would be copied each time, and as much again be fetched from the kernel.
 */
const MAX_READ_BYTES = 16 * 1024;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Which bound of a connection a worker has reached. */
export type FramingBound = 'framing' | 'head-lines';

/** A worker has sent more outside of response bodies than any proper response has. */
export class FramingError extends Error {
  readonly bound: FramingBound;

  constructor(bound: FramingBound) {
    super(
      `the worker sends ${bound === 'framing' ? 'bytes that are no response' : 'a head of too many lines'}`,
    );
    this.bound = bound;
  }
}

/**
 * Looks at the bytes of one connection before they are parsed, and closes it once too many of them came since
 * the last part of a body.
 * @example
 * meter.watch(socket);
 * meter.responseAwaited(); // before a request is sent
 * meter.bodyReceived(); // at each piece of its response's body
 */
export class ConnectionMeter {
  #framingBytes = 0;
  #isInHead = true;
  #headLines = 0;
  /** Bytes of the last line of the head so far. */
  #lineBytes = 0;
  #lastByte: number | undefined;
  /** Lines since the last piece of a body. */
  #trailerLines = 0;

  /** Looks at all that is read from this socket from now on. */
  watch(socket: Readable): void {
    const read = socket.read.bind(socket);
    socket.read = (): unknown => {
      const chunk = read(
        socket.readableLength > MAX_READ_BYTES ? MAX_READ_BYTES : undefined,
      ) as Buffer | null;
      const bound = chunk === null ? undefined : this.#take(chunk);
      if (bound === undefined) return chunk;
      socket.destroy(new FramingError(bound));
      return null;
    };
  }

  /** A request is about to be sent. */
  responseAwaited(): void {
    this.#framingBytes = 0;
    this.#isInHead = true;
    this.#headLines = 0;
    this.#lineBytes = 0;
  }

  /** The head of the final response is complete. */
  headReceived(): void {
    this.#isInHead = false;
    this.#framingBytes = 0;
    this.#trailerLines = 0;
  }

  /** A piece of the body was parsed. */
  bodyReceived(): void {
    this.#framingBytes = 0;
    this.#trailerLines = 0;
  }

  #take(chunk: Buffer): FramingBound | undefined {
    recordShortLivedBuffer(chunk.length);
    if (this.#framingBytes > MAX_FRAMING_BYTES) return 'framing';
    // The lines of an earlier read: had they been part of a body, they would have been forgotten since.
    if (this.#trailerLines > MAX_HEAD_LINES) return 'head-lines';
    this.#framingBytes += chunk.length;
    if (this.#isInHead) this.#countLines(chunk);
    else this.#countTrailerLines(chunk);
    return this.#isInHead && this.#headLines > MAX_HEAD_LINES ? 'head-lines' : undefined;
  }

  #countTrailerLines(chunk: Buffer): void {
    for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, end + 1)) {
      this.#trailerLines += 1;
      if (this.#trailerLines > MAX_HEAD_LINES) return;
    }
  }

  /** Counts the lines of heads up to the first empty line, behind which a body may follow. */
  #countLines(chunk: Buffer): void {
    let from = 0;
    for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, from)) {
      const hasReturn = (end > 0 ? chunk[end - 1] : this.#lastByte) === CARRIAGE_RETURN;
      const lineBytes = this.#lineBytes + end - from - (hasReturn ? 1 : 0);
      if (lineBytes === 0) return;
      this.#lineBytes = 0;
      this.#headLines += 1;
      if (this.#headLines > MAX_HEAD_LINES) return;
      from = end + 1;
    }
    this.#lineBytes += chunk.length - from;
    this.#lastByte = chunk.at(-1);
  }
}
