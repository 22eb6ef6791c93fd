/** What every role uses while a phase of a run is played. */
import type { HollowNotes } from './hollow-notes.js';
import type { Traffic } from './hollow.js';
import { sharedMs, type Child, type Used } from './ipc.js';
import type { FollowerTraffic, Phase, RoleUse } from './point.js';
import type { Testbed } from './testbed.js';

/** A phase as measured, what the hollow edges noted meanwhile, and what it came to. */
export interface MeasuredPhase<T> {
  readonly phase: Phase;
  readonly notes: HollowNotes;
  readonly value: T;
}

const NO_USE: RoleUse = { cpuMsPerS: 0, rssMb: 0 };

/**
 * Plays something, and measures every role meanwhile.
 * @example
 * const { phase } = await measurePhase(testbed, () => pause(1000));
 */
export async function measurePhase<T>(testbed: Testbed, during: () => Promise<T>): Promise<MeasuredPhase<T>> {
  await testbed.mark();
  const place = Math.max(0, testbed.leading());
  const before = new Map(testbed.children.map((child) => [child, child.used]));
  const beganMs = sharedMs();
  const value = await during();
  const windowMs = sharedMs() - beganMs;
  const uses = usesSince(before, windowMs);
  const notes = await testbed.notes();
  const others = testbed.cores.filter((child, nth) => nth !== place && child.alive);
  const phase: Phase = {
    windowMs,
    coordinator: useOf(uses, testbed.cores[place]),
    otherCore: averaged(uses, others, others.length),
    edge: useOf(uses, testbed.edge),
    hollow: averaged(uses, testbed.hollow, notes.followers),
    withCoordinator: perFollower(notes.leader, notes.followers, windowMs),
    withOthers: perFollower(notes.other, notes.followers, windowMs),
    processors: [...uses.values()].reduce((sum, use) => sum + use.cpuMsPerS, 0) / 1000,
  };
  return { phase, notes, value };
}

/**
 * A phase in one line.
 * @example
 * phaseLine('quiet', measured); // 'quiet: 2.1 s, coordinator 1.2 ms/s, ...'
 */
export function phaseLine(name: string, { phase, notes }: MeasuredPhase<unknown>): string {
  const { windowMs, coordinator, processors } = phase;
  const seconds = (windowMs / 1000).toFixed(1);
  const ready = `${notes.ready} of ${notes.followers} ready`;
  return `${name}: ${seconds} s, coordinator ${coordinator.cpuMsPerS.toFixed(1)} ms/s, all ${processors.toFixed(2)} processors, ${ready}`;
}

function usesSince(before: ReadonlyMap<Child, Used>, windowMs: number): Map<Child, RoleUse> {
  return new Map(
    [...before].map(([child, { cpuMs }]) => [
      child,
      { cpuMsPerS: ((child.used.cpuMs - cpuMs) / windowMs) * 1000, rssMb: child.used.rssMb },
    ]),
  );
}

function useOf(uses: ReadonlyMap<Child, RoleUse>, child: Child | undefined): RoleUse {
  return child === undefined ? NO_USE : (uses.get(child) ?? NO_USE);
}

function averaged(uses: ReadonlyMap<Child, RoleUse>, children: readonly Child[], count: number): RoleUse {
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
    framesOut: traffic.follows * each,
    framesIn: traffic.tells * each,
    bytesOut: traffic.followBytes * each,
    bytesIn: traffic.tellBytes * each,
  };
}
