import { it } from 'node:test';
import { expect } from 'earl';
import { backoffMs } from './backoff.js';

it('doubles the wait with each failure, up to the maximum', () => {
  const policy = { firstMs: 500, maxMs: 4000 };

  const waits = [0, 1, 2, 3, 4, 5].map((failures) => backoffMs(policy, failures));

  expect(waits).toEqual([500, 1000, 2000, 4000, 4000, 4000]);
});

it('grows by the factor that the policy names', () => {
  expect(backoffMs({ firstMs: 100, maxMs: 1000, growth: 1.5 }, 2)).toEqual(225);
});

it('keeps to the maximum after so many failures that the power overflows', () => {
  expect(backoffMs({ firstMs: 100, maxMs: 1000 }, 5000)).toEqual(1000);
});
