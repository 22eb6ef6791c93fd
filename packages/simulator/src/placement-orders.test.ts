import { describe, it } from 'node:test';
import { expect } from 'earl';
import { sampleDocument } from './system/configuration.js';
import { Faults } from './system/faults.js';
import { SMALL_SYSTEM, type SystemSize } from './system/size.js';
import { NO_CALL_FAULTS, type CallFaults } from './system/worker-calls.js';
import { System } from './system.js';

const SIZE: SystemSize = { ...SMALL_SYSTEM, edges: 1, workers: 4, models: 10, heartbeatMs: 50 };
const SEEDS = [1, 2, 3, 4];
const OPEN_MS = 5000;
const UNSOUND_MS = 20_000;
const SHIFT_MS = 700;
const FAULT_MS = 4000;
const REST_MS = 8000;

/** Fault of the coordinator while calls to workers fail. */
type CoreTrouble = 'none' | 'freeze' | 'cut' | 'kill';

/** Moves the demand to five models from a random start, two of them with an adapter. */
function shiftDemand(system: System): void {
  const { random: seededRandom } = system;
  const first = Math.floor(seededRandom.next() * SIZE.models);
  system.needs = [0, 1, 2, 3, 4].flatMap((step) => {
    const model = `m${(first + step * 3) % SIZE.models}`;
    const adapter = `a${Math.floor(seededRandom.next() * 4)}`;
    const needed = { model, adapter: '', count: 2 };
    return step % 2 === 0 ? [needed] : [needed, { model, adapter, count: 1 }];
  });
}

/**
 * Runs a system with changing demand while calls to workers and the coordinator fail, and returns the
 * breaches.
 */
function runDay(seed: number, faults: CallFaults, trouble: CoreTrouble): string[] {
  const system = new System(seed, SIZE);
  const { time } = system;
  const injected = new Faults(system);
  system.start();
  system.put(0, sampleDocument(5, SIZE.models, 'first'));
  time.runUntil(OPEN_MS);
  system.workerCalls.faults = faults;
  let troubledMs = time.nowMs();
  while (time.nowMs() < OPEN_MS + UNSOUND_MS) {
    shiftDemand(system);
    const leader = system.leader();
    if (trouble !== 'none' && leader !== undefined && time.nowMs() - troubledMs >= FAULT_MS) {
      troubledMs = time.nowMs();
      injected.injectCoreFault(leader, trouble, FAULT_MS / 2);
    }
    time.runUntil(time.nowMs() + SHIFT_MS);
  }
  system.workerCalls.faults = NO_CALL_FAULTS;
  time.runUntil(time.nowMs() + REST_MS);
  injected.restoreAll();
  system.checkEnd();
  return system.breaches.map(({ rule, detail }) => `seed ${seed}: ${rule}: ${detail}`);
}

function runAllSeeds(faults: Partial<CallFaults>, trouble: CoreTrouble = 'none'): string[] {
  return SEEDS.flatMap((seed) => runDay(seed, { ...NO_CALL_FAULTS, ...faults }, trouble));
}

describe('orders to workers over an unreliable network', () => {
  it('stay within the limits of workers when there are no faults', () => {
    expect(runAllSeeds({})).toEqual([]);
  });

  it('stay within the limits of workers when some arrive long after their sender has timed out', () => {
    expect(runAllSeeds({ delayed: 0.3 })).toEqual([]);
  });

  it('stay within the limits of workers when orders are accepted and their answers are lost', () => {
    expect(runAllSeeds({ answerLost: 0.3 })).toEqual([]);
  });

  it('stay within the limits of workers when some are refused without a reason', () => {
    expect(runAllSeeds({ refused: 0.3 })).toEqual([]);
  });

  it('stay within the limits of workers when coordinators change while reports are unreadable', () => {
    expect(runAllSeeds({ unreadable: 0.7 }, 'freeze')).toEqual([]);
  });

  it('stay within the limits of workers when coordinators change while orders are late', () => {
    expect(
      (['freeze', 'cut', 'kill'] as const).flatMap((trouble) => runAllSeeds({ delayed: 0.3 }, trouble)),
    ).toEqual([]);
  });

  it('stay within the limits of workers when a surplus answer is read as the answer to the next call', () => {
    expect(runAllSeeds({ surplus: 0.2, answerLost: 0.2 })).toEqual([]);
  });

  it('stay within the limits of workers when the values of a report differ in age', () => {
    expect(runAllSeeds({ torn: 0.5, answerLost: 0.2 })).toEqual([]);
  });

  it('stay within the limits of workers when all kinds of faults occur at once', () => {
    const faults = { delayed: 0.2, answerLost: 0.2, refused: 0.2, unreadable: 0.5 };
    expect((['none', 'freeze', 'cut'] as const).flatMap((trouble) => runAllSeeds(faults, trouble))).toEqual(
      [],
    );
  });
});
