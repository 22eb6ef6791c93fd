import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MUTANTS } from './testing/mutants.js';
import { runQuotaTrial } from './testing/quota-trial.js';

const SEEDS = 60;

describe('bound oracle', () => {
  for (const mutant of MUTANTS) {
    it(`detects the mutant ${mutant}`, () => {
      const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
      const found = seeds.find((seed) => runQuotaTrial(seed, mutant).breaches.length > 0);
      expect(found).not.toEqual(undefined);
    });
  }
});
