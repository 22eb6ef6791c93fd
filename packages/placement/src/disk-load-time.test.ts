import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DiskLoadTime } from './disk-load-time.js';

const STORE_MS = 4000;

/** A load from disk that really takes `tookMs`, asked about first when it is expected and then every 50 ms. */
function load(time: DiskLoadTime, tookMs: number): { asked: number; lateMs: number } {
  const startedMs = 1000;
  let busyMs = -Infinity;
  let asked = 1;
  let nowMs = startedMs + time.partOfStore * STORE_MS;
  while (nowMs < startedMs + tookMs) {
    busyMs = nowMs;
    nowMs += 50;
    asked += 1;
  }
  time.observe({ startedMs, busyMs }, STORE_MS, nowMs);
  return { asked, lateMs: nowMs - startedMs - tookMs };
}

describe("the time of loads from a worker's own disk", () => {
  for (const tookMs of [100, 760, 2700])
    it(`is learned where it is ${tookMs} ms of ${STORE_MS}`, () => {
      const time = new DiskLoadTime();
      for (let nth = 0; nth < 20; nth += 1) load(time, tookMs);
      const { asked, lateMs } = load(time, tookMs);
      expect([asked <= 6, lateMs <= Math.max(60, 0.2 * tookMs)]).toEqual([true, true]);
    });

  it('is not learned from a load that is known to no begin', () => {
    const time = new DiskLoadTime();
    const before = time.partOfStore;
    time.observe({ startedMs: Infinity, busyMs: -Infinity }, STORE_MS, 5000);
    expect(time.partOfStore).toEqual(before);
  });
});
