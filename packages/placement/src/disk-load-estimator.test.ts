import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DiskLoadEstimator } from './disk-load-estimator.js';

const STORE_MS = 4000;

/** Simulates a load from disk that takes `tookMs`, polled first at its expected end and then every 50 ms. */
function load(estimator: DiskLoadEstimator, tookMs: number): { polls: number; lateMs: number } {
  const startedMs = 1000;
  let busyMs = -Infinity;
  let polls = 1;
  let nowMs = startedMs + estimator.ratioToStore * STORE_MS;
  while (nowMs < startedMs + tookMs) {
    busyMs = nowMs;
    nowMs += 50;
    polls += 1;
  }
  estimator.observe({ startedMs, busyMs }, STORE_MS, nowMs);
  return { polls, lateMs: nowMs - startedMs - tookMs };
}

describe("the estimated time of a load from a worker's own disk", () => {
  for (const tookMs of [100, 760, 2700])
    it(`converges if the load takes ${tookMs} ms and one from the store ${STORE_MS} ms`, () => {
      const estimator = new DiskLoadEstimator();
      for (let nth = 0; nth < 20; nth += 1) load(estimator, tookMs);
      const { polls, lateMs } = load(estimator, tookMs);
      expect([polls <= 6, lateMs <= Math.max(60, 0.2 * tookMs)]).toEqual([true, true]);
    });

  it('does not change with a load whose start is unknown', () => {
    const estimator = new DiskLoadEstimator();
    const before = estimator.ratioToStore;
    estimator.observe({ startedMs: Infinity, busyMs: -Infinity }, STORE_MS, 5000);
    expect(estimator.ratioToStore).toEqual(before);
  });
});
