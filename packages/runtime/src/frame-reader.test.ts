import { describe, it } from 'node:test';
import { MemoryBudget } from '@rainrun/common';
import { expect } from 'earl';
import fc from 'fast-check';
import { FrameReader } from './frame-reader.js';

function newBudget(limitBytes: number): MemoryBudget {
  return new MemoryBudget({ limitBytes, smallBytes: 1024, clock: { nowMs: () => 0 } });
}

function encode(frame: Uint8Array): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(frame.length);
  return Buffer.concat([prefix, frame]);
}

/** Cuts bytes into chunks of these lengths; what is left is the last chunk. */
function cut(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let rest = bytes;
  for (const length of lengths) {
    chunks.push(rest.subarray(0, length));
    rest = rest.subarray(length);
  }
  return [...chunks, rest];
}

describe('the frame reader', () => {
  it('gives the frames in order, however they are cut into chunks, and keeps no memory', () => {
    const frames = fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 8 });
    fc.assert(
      fc.property(frames, fc.array(fc.integer({ min: 1, max: 6000 }), { maxLength: 20 }), (sent, lengths) => {
        const budget = newBudget(2 ** 20);
        const received: Buffer[] = [];
        let completed = 0;
        const reader = new FrameReader(budget, {
          frame: (bytes) => received.push(Buffer.from(bytes)),
          failed: () => received.push(Buffer.from('failed')),
        });
        for (const chunk of cut(Buffer.concat(sent.map(encode)), lengths))
          completed += reader.take(chunk) ? 1 : 0;
        expect(received).toEqual(sent.map((frame) => Buffer.from(frame)));
        expect(completed > 0).toEqual(sent.length > 0);
        expect(reader.isInFrame).toEqual(false);
        expect(budget.counts.heldBytes).toEqual(0);
      }),
    );
  });

  it('reads nothing behind a length that no frame has, or without memory', () => {
    const reasons: string[] = [];
    const handler = {
      frame: () => reasons.push('frame'),
      failed: (reason: string) => reasons.push(reason),
    };
    const malformed = new FrameReader(newBudget(2 ** 20), handler);
    malformed.take(Buffer.from([0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]));
    malformed.take(encode(Buffer.from('later')));
    const large = new FrameReader(newBudget(8192), handler);
    large.take(encode(Buffer.alloc(20_000)).subarray(0, 15_000));
    large.take(Buffer.alloc(5004));
    expect(reasons).toEqual(['malformed', 'no-memory']);
  });
});
