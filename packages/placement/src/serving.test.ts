import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { SeededRandom } from '@rainrun/common';
import { Fleet, type FleetShape, type RequestKind } from './testing/fleet.js';

/** Many more models than can be loaded at once, slow loads, and a store that allows few loads a second. */
const SHAPE: FleetShape = {
  workers: 42,
  slots: 24,
  modelsEach: 3,
  adapterPlaces: 8,
  models: 221,
  loadMs: 2700,
  loadsPerS: 9.8,
  placed: 126,
};
const BUSY_MODELS = 50;
const BUSY_AT_ONCE = 20;
const SHIFT_MS = 12_000;
const RUN_MS = 34_000;

/** Picks a number by a power law: the lower, the more often. */
function pickSkewed(random: SeededRandom, count: number, skew: number): number {
  let sum = 0;
  for (let place = 1; place <= count; place += 1) sum += place ** -skew;
  let left = random.next() * sum;
  for (let place = 1; place <= count; place += 1) {
    left -= place ** -skew;
    if (left < 0) return place - 1;
  }
  return count - 1;
}

/** Picks one of the busy models; the set of busy models shifts by ten every `SHIFT_MS`. */
function pickBusyModel(random: SeededRandom, nowMs: number): string {
  const first = Math.floor(nowMs / SHIFT_MS) * 10;
  return `m${(first + pickSkewed(random, BUSY_AT_ONCE, 0.9)) % BUSY_MODELS}`;
}

const KINDS: readonly RequestKind[] = [
  {
    perS: 466,
    patienceMs: 5000,
    runMs: 400,
    pick: (random, nowMs) => {
      const model = pickBusyModel(random, nowMs);
      return [model, random.next() < 0.1 ? `a${Math.floor(random.next() * 7)}` : ''];
    },
  },
  {
    perS: 14,
    patienceMs: 4000,
    runMs: 1200,
    pick: (random, nowMs) => {
      const model = pickBusyModel(random, nowMs);
      return [model, random.next() < 0.5 ? `a${Math.floor(random.next() * 7)}` : ''];
    },
  },
  {
    perS: 35,
    patienceMs: 12_000,
    runMs: 500,
    pick: (random) => [`m${BUSY_MODELS + pickSkewed(random, SHAPE.models - BUSY_MODELS, 0.4)}`, ''],
  },
];

function isRareModel(name: string): boolean {
  return Number(name.slice(1)) >= BUSY_MODELS;
}

function isBusyModel(name: string): boolean {
  return !isRareModel(name);
}

/** The bound of the deployments: a tenth of the frequently requested names, plus one, may go unserved. */
function maxNeverServed(fleet: Fleet): number {
  return 1 + fleet.frequentNames().length / 10;
}

describe('the placement of many more models than fit in the fleet', () => {
  const seeds = [1, 2, 3];

  it('serves every frequently requested model in time', () => {
    for (const seed of seeds) {
      const fleet = new Fleet(seed, SHAPE);
      fleet.run(RUN_MS, KINDS);
      expect(fleet.violations).toEqual([]);
      expect(fleet.neverServed()).toEqual([]);
      expect([fleet.servedShare(isRareModel) > 0.85, fleet.servedShare(isBusyModel) > 0.93]).toEqual([
        true,
        true,
      ]);
      expect(fleet.promptShare(isBusyModel) > 0.45).toEqual(true);
    }
  });

  it('serves nearly every frequently requested model while new coordinators do not know what is on which disk', () => {
    for (const seed of seeds) {
      const fleet = new Fleet(seed, SHAPE);
      for (let change = 0; change < 4; change += 1) {
        fleet.run(RUN_MS / 4, KINDS);
        fleet.replaceCoordinator();
      }
      expect(fleet.violations).toEqual([]);
      expect(fleet.neverServed().length <= maxNeverServed(fleet)).toEqual(true);
    }
  });

  it('serves nearly every frequently requested model with half the load rate of the store', () => {
    for (const seed of seeds) {
      const fleet = new Fleet(seed, { ...SHAPE, loadsPerS: SHAPE.loadsPerS / 2 });
      fleet.run(RUN_MS, KINDS);
      expect(fleet.violations).toEqual([]);
      expect(fleet.neverServed().length <= maxNeverServed(fleet)).toEqual(true);
    }
  });
});
