import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ByteCollector } from './byte-collector.js';

const KILOBYTE = 1024;

describe('the byte collector', () => {
  it('gives back the bytes of all pieces in order, whatever was announced', () => {
    const pieces = fc.array(fc.uint8Array({ maxLength: 9 * KILOBYTE }), { maxLength: 20 });
    fc.assert(
      fc.property(pieces, fc.option(fc.nat(100 * KILOBYTE), { nil: undefined }), (arrays, expectedBytes) => {
        const collector = new ByteCollector(expectedBytes);
        for (const array of arrays) collector.append(Buffer.from(array));
        const all = Buffer.concat(arrays);
        expect(collector.lengthBytes).toEqual(all.length);
        expect(collector.take().equals(all)).toEqual(true);
        expect(collector.lengthBytes).toEqual(0);
      }),
    );
  });

  it('takes memory by blocks, not by pieces', () => {
    const collector = new ByteCollector();
    const growths = Array.from({ length: 10_000 }, () => {
      const growthBytes = collector.growthFor(1);
      collector.append(Buffer.from('x'));
      return growthBytes;
    });
    expect(growths.filter((bytes) => bytes > 0)).toEqual([4 * KILOBYTE, 4 * KILOBYTE, 8 * KILOBYTE]);
  });

  it('says what a large piece takes before it is appended', () => {
    const collector = new ByteCollector();
    expect(collector.growthFor(5 * KILOBYTE)).toEqual(8 * KILOBYTE);
    expect(collector.growthFor(100 * KILOBYTE)).toEqual((4 + 4 + 8 + 16 + 32 + 64) * KILOBYTE);
  });

  it('takes just the announced length of a short body, and nothing ahead of a long one', () => {
    expect(new ByteCollector(1300).growthFor(1)).toEqual(1300);
    expect(new ByteCollector(4096 * KILOBYTE).growthFor(1)).toEqual(4 * KILOBYTE);
  });
});
