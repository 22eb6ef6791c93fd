/** What a process takes from its surroundings: clock, chance and its own use of the machine. */
import type { Clock, RandomSource } from '@rainrun/common';

/** Milliseconds since the process began; never goes back. */
export const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/** Not for secrets. */
export const SYSTEM_RANDOM: RandomSource = { next: () => Math.random() };

/** Processor time since the process began, in milliseconds, and resident memory, in MiB. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly heldMb: number;
}

/**
 * What this process has used, under the names of its counters.
 * @example
 * processUsage().cpuMs; // 412
 */
export function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: Math.round((user + system) / 1000),
    heldMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
  };
}
