import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { permitLifetimeMs, quotaBudget, reserveIntervalMs, windowBound } from './quota-budget.js';

const BOUNDS = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const ROUNDING = 1e-6;

describe('quota budget', () => {
  it('stays within the bound with a full bucket, its refill during a window and two reserves', () => {
    const bounds = fc.record({
      windowMs: fc.integer({ min: 500, max: 60_000 }),
      overshoot: fc.double({ min: 0, max: 1, noNaN: true }),
      slack: fc.integer({ min: 0, max: 100 }),
    });
    const limit = fc.record({
      name: fc.constant('tenant-1'),
      ratePerS: fc.double({ min: 0.1, max: 1000, noNaN: true }),
      burst: fc.integer({ min: 0, max: 1000 }),
    });
    fc.assert(
      fc.property(bounds, limit, (someBounds, someLimit) => {
        const { bucket, reserve } = quotaBudget(someLimit, someBounds);
        // The edge's clock is slow by 1 %, and the core's clock is fast by 1 %.
        const spanMs = (someBounds.windowMs + permitLifetimeMs(someBounds) / 0.99) * 1.01;
        const maxRequests = bucket.depth + bucket.tokensPerMs * spanMs + 2 * reserve;
        expect(maxRequests <= windowBound(someLimit, someBounds) * (1 + ROUNDING)).toEqual(true);
        expect(bucket.depth >= someLimit.burst).toEqual(true);
      }),
    );
  });

  it('refills at the full rate under the bounds of a typical site', () => {
    for (const ratePerS of [1, 5, 95, 1000]) {
      const { bucket } = quotaBudget({ name: 'tenant-1', ratePerS, burst: ratePerS }, BOUNDS);
      expect(bucket.tokensPerMs).toEqual(ratePerS / 1000);
    }
  });

  it('allows a reserve only after a window, a permit lifetime and a lease, even with 1 % clock drift', () => {
    const leaseMs = 600;
    const earliestMs = reserveIntervalMs(BOUNDS, leaseMs) / 1.01;
    const latestMs = BOUNDS.windowMs + permitLifetimeMs(BOUNDS) / 0.99 + leaseMs / 0.99;
    expect(earliestMs > latestMs).toEqual(true);
  });
});
