/** What a process takes from its surroundings: clock, chance and its own use of the machine. */
import { randomInt } from 'node:crypto';
import type { Clock, RandomSource } from '@rainrun/common';

/** Milliseconds since the process began; never goes back. */
export const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/** Not for secrets. */
export const SYSTEM_RANDOM: RandomSource = { next: () => Math.random() };

/** How many different numbers the source for secrets gives: the most that one call of the system allows. */
const SECURE_RANDOM_RANGE = 2 ** 48 - 1;

/** For secrets: unpredictable, and slower. */
export const SECURE_RANDOM: RandomSource = {
  next: () => randomInt(SECURE_RANDOM_RANGE) / SECURE_RANDOM_RANGE,
};

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
