import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readBoundedBody } from './bounded-body.js';

const MAX_BYTES = 64 * 1024;

/** Sends pieces without end, or `count` of them; counts how many were read, and whether the reader said stop. */
class Sender {
  read = 0;
  isStopped = false;
  readonly #piece: Buffer;
  readonly #count: number;

  constructor(pieceBytes: number, count = Infinity) {
    this.#piece = Buffer.alloc(pieceBytes, 'x');
    this.#count = count;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    try {
      while (this.read < this.#count) {
        this.read += 1;
        yield await Promise.resolve(this.#piece);
      }
    } finally {
      this.isStopped = true;
    }
  }
}

describe('a body that is read within bounds', () => {
  it('is whole where it is small enough', async () => {
    const bytes = await readBoundedBody(new Sender(100, 600), MAX_BYTES);
    expect(bytes?.length).toEqual(60_000);
  });

  for (const pieceBytes of [1, 4096])
    it(`is given up where it does not end, in pieces of ${pieceBytes} bytes`, async () => {
      const sender = new Sender(pieceBytes);
      expect(await readBoundedBody(sender, MAX_BYTES)).toEqual(undefined);
      expect(sender.read).toEqual(MAX_BYTES / Math.max(pieceBytes, 64) + 1);
      expect(sender.isStopped).toEqual(true);
    });
});
