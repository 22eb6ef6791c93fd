import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runQuotaTrial } from './testing/quota-trial.js';
import { RefusalTotals } from './testing/refusal-totals.js';

const SEEDS = 60;

/** Maximum percentage of requests within the limit that may be refused in steady periods and around moves. */
const MAX_STEADY_REFUSED_PERCENT = 2;
const MAX_MOVED_REFUSED_PERCENT = 5;

/** Maximum percentage of requests within the limit that may wait longer than `SLOW_MS` in steady periods. */
const MAX_STEADY_SLOW_PERCENT = 1;

function seeds(): number[] {
  return Array.from({ length: SEEDS }, (_, index) => index + 1);
}

describe('quota trials', () => {
  const light = new RefusalTotals();
  const nearLimit = new RefusalTotals();

  it('never exceed the bound of a tenant in any window', () => {
    for (const seed of seeds()) {
      const result = runQuotaTrial(seed);
      light.add(result.light);
      nearLimit.add(result.nearLimit);
      expect([seed, ...result.breaches.slice(0, 2)]).toEqual([seed]);
    }
  });

  it('refuse or delay very few requests within the limit in steady periods', () => {
    for (const totals of [light, nearLimit]) {
      expect(totals.steady.withinLimit).toSatisfy((count: number) => count > 100 * SEEDS);
      expect(totals.refusedPercent('steady')).toSatisfy(
        (percent: number) => percent <= MAX_STEADY_REFUSED_PERCENT,
      );
      const { withinLimit, slow } = totals.steady;
      expect((100 * slow) / withinLimit).toSatisfy((percent: number) => percent <= MAX_STEADY_SLOW_PERCENT);
    }
  });

  it('refuse few requests around a move of the allocator for tenants at up to half of their limit', () => {
    expect(light.moved.withinLimit).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(light.refusedPercent('moved')).toSatisfy(
      (percent: number) => percent <= MAX_MOVED_REFUSED_PERCENT,
    );
  });

  it('refuse few requests around a move of the allocator for tenants near their limit', () => {
    expect(nearLimit.moved.withinLimit).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(nearLimit.refusedPercent('moved')).toSatisfy(
      (percent: number) => percent <= MAX_MOVED_REFUSED_PERCENT,
    );
  });

  it('give the same result for the same seed', () => {
    expect(runQuotaTrial(7)).toEqual(runQuotaTrial(7));
  });
});
