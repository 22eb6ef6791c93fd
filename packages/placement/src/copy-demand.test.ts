import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CopyDemand, type CopyTarget } from './copy-demand.js';
import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';

const STEP_MS = 50;
const LOAD_MS = 4000;

function engine(loadMs: number): Engine {
  return {
    service: 'assist',
    slots: 48,
    roomMb: 100,
    adapterPlaces: 3,
    loadsPerS: 10,
    models: new Map([['m', { name: 'm', sizeMb: 33, loadMs, adapterMb: 1 }]]),
  };
}

function running(inFlight: number): Demand {
  return {
    waiting: 0,
    inFlight,
    perS: 0,
    weightedWaitRatio: 0,
    weightedTargetMs: 0,
    adapters: new Map(),
    reportCount: 1,
  };
}

/** Feeds concurrent requests as a function of time, and returns each target. */
function follow(loadMs: number, seconds: number, inFlightAt: (atS: number) => number): CopyTarget[] {
  const copies = new CopyDemand();
  const targets: CopyTarget[] = [];
  for (let atMs = 0; atMs <= seconds * 1000; atMs += STEP_MS)
    targets.push(copies.targetOf(engine(loadMs), 'm', running(inFlightAt(atMs / 1000)), atMs));
  return targets;
}

describe('the number of copies that a model needs', () => {
  it('includes the requests expected at the end of a load while the concurrency rises', () => {
    // The concurrency rises by 5 each second from 2 s on: 20 at 6 s, 40 at the end of a load that starts then.
    const [last] = follow(LOAD_MS, 6, (atS) => Math.max(0, 5 * (atS - 2))).slice(-1);
    expect([(last?.expected ?? 0) > 24, (last?.expected ?? 0) <= 40]).toEqual([true, true]);
  });

  it('stays within one copy while the concurrency oscillates around a steady mean', () => {
    const targets = follow(LOAD_MS, 30, (atS) => 21 + 3 * Math.sin(atS * 2 * Math.PI * 0.9));
    const wanted = targets.slice(200).map((target) => target.desired);
    expect(Math.max(...wanted) - Math.min(...wanted) <= 1).toEqual(true);
  });

  it('does not extrapolate a falling trend', () => {
    const [last] = follow(LOAD_MS, 6, (atS) => (atS < 5 ? 30 : 28)).slice(-1);
    expect((last?.expected ?? 0) >= 28).toEqual(true);
  });
});
