import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runQuotaTrial } from './testing/quota-trial.js';
import { RefusalTotals } from './testing/refusal-totals.js';

const SEEDS = 60;

/** Of 100 requests below the limit, so many may be refused. */
const MAX_STEADY_REFUSED_PERCENT = 2;
const MAX_MOVED_REFUSED_PERCENT = 5;

/** Requests that waited long for a permit though nothing was the matter, of 100. */
const MAX_STEADY_SLOW_PERCENT = 1;

function seeds(): number[] {
  return Array.from({ length: SEEDS }, (_, index) => index + 1);
}

describe('quota trials', () => {
  const light = new RefusalTotals();
  const nearLimit = new RefusalTotals();

  it('no window of any tenant exceeds its bound', () => {
    for (const seed of seeds()) {
      const result = runQuotaTrial(seed);
      light.add(result.light);
      nearLimit.add(result.nearLimit);
      expect([seed, ...result.breaches.slice(0, 2)]).toEqual([seed]);
    }
  });

  it('next to nothing below the limit is refused or waits long while nothing is the matter', () => {
    for (const totals of [light, nearLimit]) {
      expect(totals.steady.withinLimit).toSatisfy((count: number) => count > 100 * SEEDS);
      expect(totals.refusedPercent('steady')).toSatisfy(
        (percent: number) => percent <= MAX_STEADY_REFUSED_PERCENT,
      );
      const { withinLimit, slow } = totals.steady;
      expect((100 * slow) / withinLimit).toSatisfy((percent: number) => percent <= MAX_STEADY_SLOW_PERCENT);
    }
  });

  it('little is refused around a move of the allocator, up to a half of the limit', () => {
    expect(light.moved.withinLimit).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(light.refusedPercent('moved')).toSatisfy(
      (percent: number) => percent <= MAX_MOVED_REFUSED_PERCENT,
    );
  });

  it('little is refused around a move of the allocator, near the limit', () => {
    expect(nearLimit.moved.withinLimit).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(nearLimit.refusedPercent('moved')).toSatisfy(
      (percent: number) => percent <= MAX_MOVED_REFUSED_PERCENT,
    );
  });

  it('play the same for the same seed', () => {
    expect(runQuotaTrial(7)).toEqual(runQuotaTrial(7));
  });
});
