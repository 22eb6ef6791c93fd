import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runQuotaTrial } from './testing/quota-trial.js';
import { RefusalTotals } from './testing/refusal-totals.js';

const SEEDS = 60;

/** Of 100 requests below the limit, so many may be refused. */
const STEADY_REFUSED_MOST = 2;
const MOVED_REFUSED_MOST = 5;

/** Requests that waited long for a permit though nothing was the matter, of 100. */
const STEADY_SLOW_MOST = 1;

function seeds(): number[] {
  return Array.from({ length: SEEDS }, (_, index) => index + 1);
}

describe('quota trials', () => {
  const light = new RefusalTotals();
  const near = new RefusalTotals();

  it('no window of any tenant exceeds its bound', () => {
    for (const seed of seeds()) {
      const result = runQuotaTrial(seed);
      light.add(result.light);
      near.add(result.near);
      expect([seed, ...result.breaches.slice(0, 2)]).toEqual([seed]);
    }
  });

  it('next to nothing below the limit is refused or waits long while nothing is the matter', () => {
    for (const totals of [light, near]) {
      expect(totals.steady.owed).toSatisfy((count: number) => count > 100 * SEEDS);
      expect(totals.refusedPercent('steady')).toSatisfy((percent: number) => percent <= STEADY_REFUSED_MOST);
      const { owed, slow } = totals.steady;
      expect((100 * slow) / owed).toSatisfy((percent: number) => percent <= STEADY_SLOW_MOST);
    }
  });

  it('little is refused around a move of the allocator, up to a half of the limit', () => {
    expect(light.moved.owed).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(light.refusedPercent('moved')).toSatisfy((percent: number) => percent <= MOVED_REFUSED_MOST);
  });

  it('little is refused around a move of the allocator, near the limit', () => {
    expect(near.moved.owed).toSatisfy((count: number) => count > 10 * SEEDS);
    expect(near.refusedPercent('moved')).toSatisfy((percent: number) => percent <= MOVED_REFUSED_MOST);
  });

  it('play the same for the same seed', () => {
    expect(runQuotaTrial(7)).toEqual(runQuotaTrial(7));
  });
});
