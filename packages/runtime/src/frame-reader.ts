/** Reads length-prefixed frames from one connection within the memory for all frames that are being received. */
import { FRAME_MAX_BYTES } from '@rainrun/messages';
import {
  ByteCollector,
  recordShortLivedBuffer,
  type MemoryBudget,
  type MemoryReservation,
} from '@rainrun/common';

/** Length of the prefix that gives the length of a frame, in bytes. */
const PREFIX_BYTES = 4;

/** What becomes of the bytes of a connection. */
export interface FrameHandler {
  /** A frame is complete; the bytes are without the prefix. */
  frame(bytes: Buffer): void;
  /** Nothing further is read: a frame is longer than any may be (`malformed`), or there is no memory for it. */
  failed(reason: 'malformed' | 'no-memory'): void;
}

/**
 * Collects the frames of one connection.
 * @example
 * const reader = new FrameReader(budget, handler);
 * socket.on('data', (chunk) => reader.take(chunk));
 * socket.on('close', () => reader.release());
 */
export class FrameReader {
  readonly #handler: FrameHandler;
  readonly #reservation: MemoryReservation;
  readonly #prefix = Buffer.alloc(PREFIX_BYTES);
  #prefixBytes = 0;
  #frameBytes = 0;
  #collector = new ByteCollector();
  #completeFrames = 0;
  #isOver = false;

  constructor(budget: MemoryBudget, handler: FrameHandler) {
    this.#handler = handler;
    this.#reservation = budget.open(() => this.#fail('no-memory'));
  }

  /** Whether the length of a frame has come, but not all of its bytes. */
  get isInFrame(): boolean {
    return this.#prefixBytes === PREFIX_BYTES;
  }

  /** Reads a chunk; returns whether it completed a frame. */
  take(chunk: Buffer): boolean {
    const completeBefore = this.#completeFrames;
    let rest = chunk;
    while (rest.length > 0 && !this.#isOver)
      rest = this.isInFrame ? this.#takeFrame(rest) : this.#takePrefix(rest);
    return this.#completeFrames > completeBefore;
  }

  /** Gives the memory back; nothing further is read. */
  release(): void {
    this.#isOver = true;
    this.#collector.clear();
    this.#reservation.release();
  }

  #takePrefix(chunk: Buffer): Buffer {
    const copiedBytes = chunk.copy(this.#prefix, this.#prefixBytes);
    this.#prefixBytes += copiedBytes;
    if (this.isInFrame) this.#startFrame();
    return chunk.subarray(copiedBytes);
  }

  #startFrame(): void {
    this.#frameBytes = this.#prefix.readUInt32BE();
    if (this.#frameBytes > FRAME_MAX_BYTES) return this.#fail('malformed');
    this.#collector = new ByteCollector(this.#frameBytes);
    if (this.#frameBytes === 0) this.#finishFrame(Buffer.alloc(0));
  }

  #takeFrame(chunk: Buffer): Buffer {
    const piece = chunk.subarray(0, this.#frameBytes - this.#collector.lengthBytes);
    if (piece.length === this.#frameBytes) this.#finishFrame(piece);
    else this.#collect(piece);
    return chunk.subarray(piece.length);
  }

  /** Keeps a part of a frame. */
  #collect(piece: Buffer): void {
    recordShortLivedBuffer(piece.length);
    this.#reservation.recordProgress();
    if (!this.#reservation.grow(this.#collector.growthFor(piece.length))) return this.#fail('no-memory');
    this.#collector.append(piece);
    if (this.#collector.lengthBytes === this.#frameBytes) this.#finishFrame(this.#collector.take());
  }

  #finishFrame(bytes: Buffer): void {
    this.#prefixBytes = 0;
    this.#completeFrames += 1;
    this.#reservation.shrinkTo(0);
    this.#handler.frame(bytes);
  }

  #fail(reason: 'malformed' | 'no-memory'): void {
    if (this.#isOver) return;
    this.release();
    this.#handler.failed(reason);
  }
}
