import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runSystemDay, SPANS, SYSTEMS } from './system-trial.js';
import { sampleDocument } from './system/configuration.js';
import type { Machine } from './system/machine.js';
import type { OrderEnd } from './system/operator-client.js';
import { SMALL_SYSTEM, type SystemSize } from './system/size.js';
import { System } from './system.js';

const SMALL: SystemSize = { ...SMALL_SYSTEM, edges: 2, workers: 2, models: 4, heartbeatMs: 40 };
const MODELS = SMALL.models;

/** Starts a system with its first configuration and runs it undisturbed for 5 s. */
function startSystem(seed: number, size: SystemSize = SMALL): System {
  const system = new System(seed, size);
  system.start();
  system.put(0, sampleDocument(5, size.models, 'first'));
  system.time.runUntil(5000);
  return system;
}

function restore(system: System): void {
  for (const machine of system.machines) system.boot(machine);
}

function finalBreaches(system: System): string[] {
  system.checkEnd();
  return system.breaches.map(({ rule, detail }) => `${rule}: ${detail}`);
}

function leaderOf(system: System): Machine {
  return system.leader() ?? (system.cores[0] as Machine);
}

/**
 * Disks that stall while a change is sent, other than the coordinator's: one of them, so that a bare majority
 * stores the change; or the other one as well, for a shorter time.
 */
type StalledDisks = 'one' | 'both';

function stall(system: System, leader: Machine, stalled: StalledDisks): void {
  const [other, third] = system.cores.filter((core) => core !== leader);
  const nowMs = system.time.nowMs();
  if (third?.disk !== undefined) third.disk.stallUntilMs = nowMs + 2000;
  if (stalled === 'both' && other?.disk !== undefined) other.disk.stallUntilMs = nowMs + 500;
}

/**
 * Injects a fault right after a change is acknowledged, restarts all machines, and returns the breaches at
 * the end.
 */
function breachesAfterFault(
  seed: number,
  size: SystemSize,
  injectFault: (system: System, leader: Machine) => void,
  stalled?: StalledDisks,
): string[] {
  const system = startSystem(seed, size);
  const leader = leaderOf(system);
  const acknowledged: string[] = [];
  system.operators.onAnswer = (kind) => {
    if (acknowledged.length > 0 || kind !== 'agreed') return;
    acknowledged.push(kind);
    injectFault(system, leader);
    system.time.after(700, () => restore(system));
  };
  if (stalled !== undefined) stall(system, leader, stalled);
  system.put(5, sampleDocument(8, size.models, 'last'));
  system.zone('east', true);
  system.time.runUntil(20_000);
  const wrong = finalBreaches(system);
  if (acknowledged.length === 0) wrong.push('nothing was acknowledged');
  if (system.acked.revision !== 8) wrong.push(`revision ${system.acked.revision} was the last acknowledged`);
  return wrong;
}

function powerOff(system: System): void {
  for (const machine of system.machines) system.losePower(machine);
}

describe('acknowledged state', () => {
  it('survives a simultaneous power loss of all machines', () => {
    expect([1, 2, 3].flatMap((seed) => breachesAfterFault(seed, SMALL, powerOff))).toEqual([]);
  });

  it('survives a power loss of all machines with the disk of any one core wiped', () => {
    const wrong = [1, 2].flatMap((seed) =>
      [0, 1, 2].flatMap((place) =>
        breachesAfterFault(seed, SMALL, (system) => {
          powerOff(system);
          system.cores[place]?.disk?.wipe();
        }),
      ),
    );
    expect(wrong).toEqual([]);
  });

  it('survives a power loss with one disk wiped when only a bare majority of disks has stored it', () => {
    const wrong = [1, 2].flatMap((seed) =>
      (['one', 'both'] as const).flatMap((stalled) =>
        [true, false].flatMap((leads) =>
          breachesAfterFault(
            seed,
            SMALL,
            (system, leader) => {
              powerOff(system);
              const victim = leads ? leader : system.cores.find((core) => core !== leader);
              victim?.disk?.wipe();
            },
            stalled,
          ).map((text) => `${stalled} stalled, ${leads ? 'coordinator' : 'other core'} wiped: ${text}`),
        ),
      ),
    );
    expect(wrong).toEqual([]);
  });

  it('survives a kill of the coordinator', () => {
    expect(
      [1, 2].flatMap((seed) => breachesAfterFault(seed, SMALL, (system, leader) => system.kill(leader))),
    ).toEqual([]);
  });

  it('survives the replacement of all cores by empty ones in turn, and a power loss afterwards', () => {
    const wrong = [1, 2].flatMap((seed) => {
      const system = startSystem(seed);
      system.put(5, sampleDocument(8, MODELS, 'last'));
      system.time.runUntil(6000);
      for (const place of [0, 1]) {
        system.remove(system.cores[place] as Machine);
        system.boot(system.addCore());
        system.time.runUntil(system.time.nowMs() + 4000);
      }
      system.remove(system.cores[2] as Machine);
      system.boot(system.addCore());
      system.time.runUntil(system.time.nowMs() + 8000);
      powerOff(system);
      system.time.after(500, () => restore(system));
      system.time.runUntil(system.time.nowMs() + 10_000);
      return [...finalBreaches(system), ...(system.acked.revision === 8 ? [] : ['never acknowledged'])];
    });
    expect(wrong).toEqual([]);
  });

  it('is not undone by an abandoned call that a cut-off core still forwards after its return', () => {
    const wrong = [1, 2, 3, 4, 5, 6].flatMap((seed) =>
      [1500, 6000].flatMap((cutMs) => {
        const system = startSystem(seed);
        const [far] = system.cores.filter((core) => core !== leaderOf(system)) as [Machine];
        const heal = system.cut('off', (from, to) => (from === far.name) !== (to === far.name));
        const replica = far.running?.replica;
        const sent = replica?.submit('zone.evacuate', { zone: 'north' }, () => undefined);
        system.time.after(900, () => replica?.abandon(sent?.isOk === true ? sent.value : ''));
        system.time.runUntil(5950);
        system.zone('north', true, () => system.zone('north', false));
        system.time.runUntil(5000 + cutMs);
        heal();
        system.time.runUntil(18_000);
        return finalBreaches(system).map((text) => `seed ${seed}, cut for ${cutMs}: ${text}`);
      }),
    );
    expect(wrong).toEqual([]);
  });
});

describe('changes of the configuration', () => {
  it('agree on one of two changes of the same version, also when the coordinator is killed, and on its repeat', () => {
    const wrong = [1, 2, 3, 4].flatMap((seed) => {
      const system = startSystem(seed);
      const ends: OrderEnd[] = [];
      const one = sampleDocument(7, MODELS, 'one');
      const other = sampleDocument(9, MODELS, 'other');
      system.put(5, one, (end) => ends.push(end));
      system.put(5, other, (end) => ends.push(end));
      const leader = leaderOf(system);
      system.time.after(seed * 5, () => system.kill(leader));
      system.time.after(1500, () => restore(system));
      system.time.runUntil(14_000);
      const repeated: OrderEnd[] = [];
      system.put(5, system.acked.revision === 7 ? one : other, (end) => repeated.push(end));
      system.time.runUntil(16_000);
      const kinds = ends
        .map((end) => end.kind)
        .sort()
        .join(' ');
      return [
        ...finalBreaches(system),
        ...(kinds === 'agreed conflict' ? [] : [`ended ${kinds}`]),
        ...(repeated[0]?.kind === 'agreed' ? [] : ['the repeated call was not agreed']),
      ];
    });
    expect(wrong).toEqual([]);
  });

  it('reach every edge that reaches a core with a majority, even if it cannot reach the coordinator', () => {
    const system = startSystem(1);
    const leader = leaderOf(system);
    const { name } = system.edges[0] as Machine;
    system.cut(
      'edge from coordinator',
      (from, to) => (from === name && to === leader.name) || (from === leader.name && to === name),
    );
    system.time.runUntil(9000);
    system.put(5, sampleDocument(8, MODELS, 'later'));
    system.time.runUntil(11_500);
    expect(system.edges.map((edge) => edge.running?.follower?.state.revision)).toEqual([8, 8]);
  });

  it('are agreed by five cores, all of them voters, after the loss of two', () => {
    const five: SystemSize = { ...SMALL, cores: 5, lossesBorne: 2 };
    const system = startSystem(3, five);
    const voters = system.voters();
    for (const core of [leaderOf(system), system.cores[4] as Machine]) system.kill(core);
    system.time.runUntil(9000);
    const ends: OrderEnd[] = [];
    system.put(5, sampleDocument(8, MODELS, 'with three'), (end) => ends.push(end));
    system.time.runUntil(12_000);
    restore(system);
    system.time.runUntil(20_000);
    expect([voters, ends.map((end) => end.kind), finalBreaches(system)]).toEqual([5, ['agreed'], []]);
  });
});

describe('the group of cores', () => {
  it('keeps working while its machines are stopped and started one after another', () => {
    const wrong = [1, 2].flatMap((seed) => {
      const system = startSystem(seed);
      const ends: string[] = [];
      let revision = 5;
      for (const machine of system.machines) {
        system.stop(machine);
        system.time.after(700, () => system.boot(machine));
        system.time.runUntil(system.time.nowMs() + 2500);
        revision += 2;
        system.put(system.acked.revision, sampleDocument(revision, MODELS, 'in turn'), (end) =>
          ends.push(end.kind),
        );
        system.time.runUntil(system.time.nowMs() + 3000);
      }
      system.time.runUntil(system.time.nowMs() + 5000);
      const kinds = ends.join(' ');
      return [
        ...finalBreaches(system),
        ...(kinds === 'agreed agreed agreed agreed agreed' ? [] : [`answered ${kinds}`]),
      ];
    });
    expect(wrong).toEqual([]);
  });

  it('agrees on nothing while no majority is connected, and answers within 4 s after', () => {
    const wrong = [1, 2, 3].flatMap((seed) => {
      const system = startSystem(seed);
      const apart = system.cut(
        'cores from each other',
        (from, to) => from.startsWith('core') && to.startsWith('core'),
      );
      system.time.runUntil(8000);
      const ends: OrderEnd[] = [];
      system.put(5, sampleDocument(8, MODELS, 'apart'), (end) => ends.push(end));
      system.time.runUntil(14_000);
      const early = ends.length;
      const holders = system.cores.filter(
        (core) => core.running?.replica?.group.singletonEpoch() !== undefined,
      ).length;
      const informed = system.edges.filter(
        (edge) => edge.running?.follower?.hasMajorityContact === true,
      ).length;
      apart();
      system.time.runUntil(18_000);
      const late = ends.map((end) => end.kind).join(' ');
      system.time.runUntil(24_000);
      return [
        ...finalBreaches(system),
        ...(early === 0 && holders === 0 && informed === 0
          ? []
          : [`${early} answers, ${holders} holders, ${informed} informed while apart`]),
        ...(late === 'agreed' ? [] : [`answered "${late}" 4 s after`]),
      ];
    });
    expect(wrong).toEqual([]);
  });

  it('keeps working without a coordinator that is cut off, which catches up after its return', () => {
    const wrong = [1, 2, 3].flatMap((seed) => {
      const system = startSystem(seed);
      const leader = leaderOf(system);
      const heal = system.cut('coordinator', (from, to) => (from === leader.name) !== (to === leader.name));
      const ends: OrderEnd[] = [];
      system.time.runUntil(5300);
      system.put(5, sampleDocument(8, MODELS, 'without'), (end) => ends.push(end));
      system.time.runUntil(12_000);
      const stale = leader.running?.replica;
      const alone = stale?.group.holdsLease() === true || stale?.group.singletonEpoch() !== undefined;
      heal();
      system.time.runUntil(20_000);
      return [
        ...finalBreaches(system),
        ...(ends[0]?.kind === 'agreed' ? [] : ['not agreed']),
        ...(alone ? ['the one cut off still acts'] : []),
      ];
    });
    expect(wrong).toEqual([]);
  });

  it('never has two coordinators at once, also when the coordinator freezes', () => {
    const wrong = [1, 2, 3, 4].flatMap((seed) => {
      const system = startSystem(seed, { ...SMALL, workers: 4, models: 8 });
      system.needs = ['m0', 'm5', 'm6', 'm7'].map((model) => ({ model, adapter: '', count: 2 }));
      for (let turn = 0; turn < 4; turn += 1) {
        system.freeze(leaderOf(system), 700 + 900 * turn);
        system.needs = [0, 1, 2, 3].map((place) => ({
          model: `m${(turn * 3 + place) % 8}`,
          adapter: '',
          count: 2,
        }));
        system.time.runUntil(system.time.nowMs() + 6000);
      }
      system.time.runUntil(system.time.nowMs() + 6000);
      return finalBreaches(system);
    });
    expect(wrong).toEqual([]);
  });

  it('keeps serving through the other zones when a whole zone is lost with its edges and workers', () => {
    const system = startSystem(4, { ...SMALL, edges: 3, workers: 3, models: 4 });
    system.needs = ['m0', 'm1'].map((model) => ({ model, adapter: '', count: 2 }));
    const zone = leaderOf(system).zone;
    for (const machine of system.machines) if (machine.zone === zone) system.losePower(machine);
    for (const worker of system.workers.members) if (worker.zone === zone) worker.isAway = true;
    system.time.runUntil(9000);
    const ends: OrderEnd[] = [];
    system.put(5, sampleDocument(8, 4, 'without a zone'), (end) => ends.push(end));
    system.time.runUntil(12_000);
    const revisions = system.edges
      .map((edge) => edge.running?.follower?.state.revision ?? 0)
      .filter((revision) => revision > 0);
    for (const worker of system.workers.members) {
      if (worker.isAway) worker.restart();
      worker.isAway = false;
    }
    restore(system);
    system.time.runUntil(22_000);
    expect([ends.map((end) => end.kind), revisions, finalBreaches(system)]).toEqual([['agreed'], [8, 8], []]);
  });
});

describe('the number of edges that divide a shared budget', () => {
  /** Returns the smallest number of edges that any edge knew while all were running. */
  function fewestKnownEdges(system: System, forMs: number): number {
    let least = Infinity;
    for (const endMs = system.time.nowMs() + forMs; system.time.nowMs() < endMs;) {
      system.time.runUntil(system.time.nowMs() + 20);
      for (const edge of system.edges) least = Math.min(least, edge.running?.follower?.edgeCount ?? 0);
    }
    return least;
  }
  const edges = 4;

  it('is the actual number of edges in an undisturbed system of five cores', () => {
    const system = startSystem(2, { ...SMALL, cores: 5, lossesBorne: 2, edges });
    expect(fewestKnownEdges(system, 4000)).toEqual(edges);
  });

  it('is the actual number of edges when a core is replaced or restarts', () => {
    const replaced = startSystem(2, { ...SMALL, edges });
    replaced.remove(replaced.cores.find((core) => core !== leaderOf(replaced)) as Machine);
    replaced.boot(replaced.addCore());
    const again = startSystem(3, { ...SMALL, edges });
    again.kill(leaderOf(again));
    again.time.after(500, () => restore(again));
    expect([fewestKnownEdges(replaced, 6000), fewestKnownEdges(again, 6000)]).toEqual([edges, edges]);
  });
});

it('simulated days with faults break no invariant', () => {
  const wrong: string[] = [];
  for (let seed = 1; seed <= 16; seed += 1) {
    for (const { rule, detail, atMs } of runSystemDay(seed, SYSTEMS.least, SPANS.short).breaches)
      wrong.push(`seed ${seed} at ${atMs.toFixed(0)}: ${rule}: ${detail}`);
  }
  expect(wrong).toEqual([]);
});
