/** Process-wide facilities: clock, random numbers and resource usage. */
import { randomInt } from 'node:crypto';
import type { Clock, RandomSource } from '@rainrun/common';
import type { LinkTimer } from '@rainrun/gateway';

/** Monotonic clock: milliseconds since the process started. */
export const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/**
 * Calls `run` once after a delay in milliseconds, on the event loop; the returned function cancels that.
 * @example
 * const cancel = startTimer(1000, () => send.abort());
 */
export function startTimer(...[delayMs, run]: Parameters<LinkTimer>): () => void {
  const timeout = setTimeout(run, delayMs);
  return () => clearTimeout(timeout);
}

/** Fast random numbers, not suitable for secrets. */
export const SYSTEM_RANDOM: RandomSource = { next: () => Math.random() };

/** Number of distinct values of `SECURE_RANDOM`: the largest range that `randomInt` accepts. */
const SECURE_RANDOM_RANGE = 2 ** 48 - 1;

/** Cryptographically secure random numbers, slower than `SYSTEM_RANDOM`. */
export const SECURE_RANDOM: RandomSource = {
  next: () => randomInt(SECURE_RANDOM_RANGE) / SECURE_RANDOM_RANGE,
};

const BYTES_PER_MB = 2 ** 20;

/** Processor time since the process started, in milliseconds, and memory, in MiB. */
export interface ProcessUsage {
  readonly cpuMs: number;
  /** Resident memory. */
  readonly heldMb: number;
  /** Objects on the JavaScript heap. */
  readonly heapMb: number;
  /** Buffers outside of the JavaScript heap. */
  readonly buffersMb: number;
}

/**
 * The resource usage of this process, under the names of its counters.
 * @example
 * processUsage().cpuMs; // 412
 */
export function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  return {
    cpuMs: Math.round((user + system) / 1000),
    heldMb: Math.round(rss / BYTES_PER_MB),
    heapMb: Math.round(heapUsed / BYTES_PER_MB),
    buffersMb: Math.round(arrayBuffers / BYTES_PER_MB),
  };
}
