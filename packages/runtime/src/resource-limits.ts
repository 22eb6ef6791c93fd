/** How a node divides the memory of its machine; docs/CAPACITY.md has the sum. */
import { MemoryBudget, type Clock } from '@rainrun/common';

/** What the machine has for one process. */
export interface MachineLimits {
  readonly memoryMb: number;
}

const BYTES_PER_MB = 2 ** 20;
/** Share of the memory for the bodies of requests, from the first byte until the answer is sent. */
const BODY_MEMORY_SHARE = 1 / 16;
/** Bodies and answers up to this size are small: crowds of larger ones do not use up their room. */
const SMALL_BYTES = 64 * 1024;
/** Bodies of the largest size for which there is room on any machine: a single one is always served. */
const LARGEST_BODIES = 2;

/** Bytes for the bodies of all requests of a process. */
export function bodyMemoryBytes({ memoryMb }: MachineLimits, maxBodyBytes: number): number {
  return Math.max(memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE, LARGEST_BODIES * maxBodyBytes);
}

/** The budget for the bodies of all requests of a process. */
export function bodyBudget(machine: MachineLimits, maxBodyBytes: number, clock: Clock): MemoryBudget {
  const limitBytes = bodyMemoryBytes(machine, maxBodyBytes);
  return new MemoryBudget({ limitBytes, smallBytes: SMALL_BYTES, clock });
}
