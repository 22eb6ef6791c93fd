/** Measures the resources that every role uses during a phase of a run. */
import type { EdgeStatsReport } from './hollow-notes.js';
import type { Traffic } from './hollow.js';
import { sharedMs, type Child, type ResourceUsage } from './ipc.js';
import type { FollowerTraffic, Phase, RoleUse } from './point.js';
import type { Testbed } from './testbed.js';

/** Measurements of a phase, the statistics of the simulated edges, and the result of the phase's action. */
export interface MeasuredPhase<T> {
  readonly phase: Phase;
  readonly stats: EdgeStatsReport;
  readonly value: T;
}

const NO_USE: RoleUse = { cpuMsPerS: 0, rssMb: 0 };

/**
 * Runs an action and measures the resource usage of every role meanwhile.
 * @example
 * const { phase } = await measurePhase(testbed, () => pause(1000));
 */
export async function measurePhase<T>(testbed: Testbed, action: () => Promise<T>): Promise<MeasuredPhase<T>> {
  await testbed.resetStats();
  const coordinatorIndex = Math.max(0, testbed.coordinatorIndex());
  const before = new Map(testbed.children.map((child) => [child, child.resourceUsage]));
  const beganMs = sharedMs();
  const value = await action();
  const windowMs = sharedMs() - beganMs;
  const uses = usesSince(before, windowMs);
  const stats = await testbed.stats();
  const others = testbed.cores.filter((child, nth) => nth !== coordinatorIndex && child.alive);
  const phase: Phase = {
    windowMs,
    coordinator: useOf(uses, testbed.cores[coordinatorIndex]),
    otherCore: averageUse(uses, others, others.length),
    edge: useOf(uses, testbed.edge),
    hollow: averageUse(uses, testbed.simulated, stats.followers),
    withCoordinator: perFollower(stats.leader, stats.followers, windowMs),
    withOthers: perFollower(stats.other, stats.followers, windowMs),
    processors: [...uses.values()].reduce((sum, use) => sum + use.cpuMsPerS, 0) / 1000,
  };
  return { phase, stats, value };
}

/**
 * Summary of a phase in one line.
 * @example
 * phaseLine('quiet', measured); // 'quiet: 2.1 s, coordinator 1.2 ms/s, ...'
 */
export function phaseLine(name: string, { phase, stats }: MeasuredPhase<unknown>): string {
  const { windowMs, coordinator, processors } = phase;
  const seconds = (windowMs / 1000).toFixed(1);
  const ready = `${stats.ready} of ${stats.followers} ready`;
  return `${name}: ${seconds} s, coordinator ${coordinator.cpuMsPerS.toFixed(1)} ms/s, all ${processors.toFixed(2)} processors, ${ready}`;
}

function usesSince(before: ReadonlyMap<Child, ResourceUsage>, windowMs: number): Map<Child, RoleUse> {
  return new Map(
    [...before].map(([child, { cpuMs }]) => [
      child,
      {
        cpuMsPerS: ((child.resourceUsage.cpuMs - cpuMs) / windowMs) * 1000,
        rssMb: child.resourceUsage.rssMb,
      },
    ]),
  );
}

function useOf(uses: ReadonlyMap<Child, RoleUse>, child: Child | undefined): RoleUse {
  return child === undefined ? NO_USE : (uses.get(child) ?? NO_USE);
}

function averageUse(uses: ReadonlyMap<Child, RoleUse>, children: readonly Child[], count: number): RoleUse {
  const among = Math.max(1, count);
  const used = children.map((child) => useOf(uses, child));
  return {
    cpuMsPerS: used.reduce((sum, use) => sum + use.cpuMsPerS, 0) / among,
    rssMb: used.reduce((sum, use) => sum + use.rssMb, 0) / among,
  };
}

function perFollower(traffic: Traffic, followers: number, windowMs: number): FollowerTraffic {
  const each = 1000 / windowMs / Math.max(1, followers);
  return {
    framesOut: traffic.sentFrames * each,
    framesIn: traffic.receivedFrames * each,
    bytesOut: traffic.sentBytes * each,
    bytesIn: traffic.receivedBytes * each,
  };
}
