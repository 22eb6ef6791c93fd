import { describe, it } from 'node:test';
import { expect } from 'earl';
import { sampleDocument } from './system/configuration.js';
import { Faults } from './system/faults.js';
import type { Machine } from './system/machine.js';
import { OperatorLoad } from './system/operator-load.js';
import { BOUNDS, SMALL_SYSTEM, type SystemSize } from './system/size.js';
import { System } from './system.js';

const THREE: SystemSize = { ...SMALL_SYSTEM, edges: 2, workers: 2, models: 4, heartbeatMs: 40 };
const FIVE: SystemSize = { ...THREE, cores: 5, lossesBorne: 2 };
const QUIET_MS = 5000;

interface Site {
  readonly system: System;
  readonly load: OperatorLoad;
  readonly faults: Faults;
}

/** Starts a system with its first configuration and runs it undisturbed for 5 s. */
function openSite(seed: number, size: SystemSize): Site {
  const system = new System(seed, size);
  const load = new OperatorLoad(system);
  system.start();
  load.putFirst();
  system.time.runUntil(QUIET_MS);
  return { system, load, faults: new Faults(system) };
}

function runFor({ system }: Site, forMs: number): void {
  system.time.runUntil(system.time.nowMs() + forMs);
}

/** Restarts all machines, runs 12 s without faults, and returns the breaches. */
function breachesOf(site: Site): string[] {
  site.faults.restoreAll();
  runFor(site, 12_000);
  site.system.checkEnd();
  return site.system.breaches.map(({ rule, detail }) => `${rule}: ${detail}`);
}

function leaderOf(system: System): Machine {
  return system.leader() ?? (system.cores[0] as Machine);
}

describe('point 1: a core that is cut off for 20 s', () => {
  for (const kind of ['cut', 'deaf', 'mute'] as const) {
    it(`(${kind}) serves no stale state, refuses no valid order, and acknowledges nothing that is lost`, () => {
      const wrong = [1, 2].flatMap((seed) => {
        const site = openSite(seed, THREE);
        site.faults.injectCoreFault(leaderOf(site.system), kind, 20_000);
        site.load.storm(150, 24_000);
        runFor(site, 26_000);
        return breachesOf(site);
      });
      expect(wrong).toEqual([]);
    });
  }
});

describe('point 2: lost answers, repeated orders and concurrent operators', () => {
  it('acknowledges one of two concurrent changes, and every repeat of an accepted one', () => {
    const wrong = [1, 2, 3].flatMap((seed) => {
      const site = openSite(seed, THREE);
      site.system.operators.answerLossRatio = 0.7;
      for (let race = 0; race < 8; race += 1) {
        site.load.race();
        if (race === 4) site.faults.injectCoreFault(leaderOf(site.system), 'kill', 1000);
        runFor(site, 3000);
      }
      site.system.operators.answerLossRatio = 0;
      runFor(site, 10_000);
      return breachesOf(site);
    });
    expect(wrong).toEqual([]);
  });
});

describe('point 3: a second loss right after a repair, and planned replacements', () => {
  it('keeps all acknowledged state with three and with five cores', () => {
    const wrong = [1, 2, 3].flatMap((seed) =>
      [THREE, FIVE].flatMap((size) => {
        const site = openSite(seed, size);
        site.load.storm(300, 8000);
        site.faults.loseAgainAfterCatchUp();
        runFor(site, 16_000);
        return breachesOf(site);
      }),
    );
    expect(wrong).toEqual([]);
  });

  it('keeps all acknowledged state while cores are replaced as planned, each after its successor has started', () => {
    const wrong = [1, 2].flatMap((seed) => {
      const site = openSite(seed, THREE);
      site.load.storm(300, 36_000);
      for (let turn = 0; turn < 3; turn += 1) {
        site.faults.replaceAsPlanned();
        runFor(site, 2 * BOUNDS.catchUpMs + 4000);
      }
      return breachesOf(site);
    });
    expect(wrong).toEqual([]);
  });
});

describe('point 4: a core that was down during hundreds of changes', () => {
  it('catches up in time while changes go on, and does not coordinate with stale state', () => {
    const wrong = [1, 2].flatMap((seed) => {
      const site = openSite(seed, THREE);
      const away = site.system.cores.find((core) => core !== leaderOf(site.system)) as Machine;
      site.system.kill(away);
      site.load.storm(60, 30_000);
      runFor(site, 20_000);
      site.system.boot(away);
      runFor(site, BOUNDS.catchUpMs);
      for (const core of site.system.cores) if (core !== away) site.system.kill(core);
      site.system.time.after(800, () => site.faults.restoreAll());
      runFor(site, 12_000);
      const few = site.load.acknowledged < 100 ? [`only ${site.load.acknowledged} changes`] : [];
      return [...breachesOf(site), ...few];
    });
    expect(wrong).toEqual([]);
  });
});

describe('a power loss of all cores while a change is in progress', () => {
  it('loses no acknowledged change, whenever it occurs', () => {
    const moments = [5, 10, 20, 30, 40, 50, 70, 100, 200, 400];
    const wrong = moments.flatMap((waitMs) => {
      const { system, load, faults } = openSite(waitMs, THREE);
      load.put();
      system.time.after(waitMs, () => faults.failAllCores('power'));
      system.time.runUntil(QUIET_MS + 8000);
      system.put(system.acked.revision, sampleDocument(system.acked.revision + 9, THREE.models, 'after'));
      return breachesOf({ system, load, faults }).map((text) => `${waitMs} ms: ${text}`);
    });
    expect(wrong).toEqual([]);
  });
});
