/** Collects bytes that arrive in pieces of any size. */

/** Size of the first block where the final size is not known, in bytes. */
const FIRST_BLOCK_BYTES = 4 * 1024;
/** Blocks double in size up to this one, so that little of the last block is unused. */
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Copies pieces into few large blocks, so that memory follows the bytes and not the number of pieces: a
 * `Buffer` of its own for each piece takes some hundred bytes even for a single byte.
 * @example
 * const collector = new ByteCollector(5);
 * collector.append(Buffer.from('he'));
 * collector.append(Buffer.from('llo'));
 * collector.take().toString(); // 'hello'
 */
export class ByteCollector {
  #blocks: Buffer[] = [];
  #lengthBytes = 0;
  #capacityBytes = 0;
  /** Bytes used of the last block. */
  #usedBytes = 0;
  readonly #expectedBytes: number | undefined;

  /** @param expectedBytes - the final length, if the sender announced it; memory is never taken ahead of it */
  constructor(expectedBytes?: number) {
    this.#expectedBytes = expectedBytes;
  }

  /** Number of bytes collected. */
  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  /** How many bytes of memory a further piece of this length takes beyond what is held already. */
  growthFor(pieceBytes: number): number {
    const missingBytes = this.#lengthBytes + pieceBytes - this.#capacityBytes;
    let growthBytes = 0;
    while (growthBytes < missingBytes) growthBytes += this.#nextBlockBytes(growthBytes);
    return growthBytes;
  }

  append(piece: Buffer): void {
    for (let from = 0; from < piece.length;) {
      const block = this.#blockWithRoom();
      const copiedBytes = piece.copy(block, this.#usedBytes, from);
      this.#usedBytes += copiedBytes;
      this.#lengthBytes += copiedBytes;
      from += copiedBytes;
    }
  }

  /** All bytes in one piece; the collector is empty afterwards. */
  take(): Buffer {
    const [first] = this.#blocks;
    const isSingleFull = this.#blocks.length === 1 && this.#usedBytes === this.#capacityBytes;
    const bytes =
      isSingleFull && first !== undefined ? first : Buffer.concat(this.#blocks, this.#lengthBytes);
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#lengthBytes = 0;
    this.#capacityBytes = 0;
    this.#usedBytes = 0;
  }

  #blockWithRoom(): Buffer {
    const last = this.#blocks.at(-1);
    if (last !== undefined && this.#usedBytes < last.length) return last;
    const block = Buffer.allocUnsafeSlow(this.#nextBlockBytes(0));
    this.#blocks.push(block);
    this.#capacityBytes += block.length;
    this.#usedBytes = 0;
    return block;
  }

  /** Size of the next block once the capacity has grown by `growthBytes`. */
  #nextBlockBytes(growthBytes: number): number {
    const capacityBytes = this.#capacityBytes + growthBytes;
    const remainingBytes = (this.#expectedBytes ?? Infinity) - capacityBytes;
    // A sender may send more than it announced; what follows is collected like a body of unknown length.
    if (remainingBytes > 0 && remainingBytes <= MAX_BLOCK_BYTES) return remainingBytes;
    return Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, capacityBytes));
  }
}
