/** How a node divides the memory and descriptors of its machine; docs/CAPACITY.md has the sum. */
import { MemoryBudget, type Clock } from '@rainrun/common';
import { FRAME_MAX_BYTES } from '@rainrun/messages';
import { ATTEMPT_POLICY } from '@rainrun/router';

/** What the machine has for one process. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly openFiles: number;
}

/** Shares of the descriptors; the rest is for connections to workers and other nodes, and for files. */
const DESCRIPTOR_SHARES = {
  edge: { clients: 1 / 2, readiness: 1 / 16, peers: 1 / 8 },
  core: { operators: 1 / 8, peers: 1 / 2 },
} as const;
/**
 * Memory of a connection whose request is not whole: what its kernel buffer holds, and a head of 16 KiB that has
 * been parsed.
 */
const CONNECTION_BYTES = 80 * 1024;
const CONNECTION_MEMORY_SHARE = 1 / 4;

const BYTES_PER_MB = 2 ** 20;
/** Share of the memory for the bodies of requests, from the first byte until the answer is sent. */
const BODY_MEMORY_SHARE = 1 / 16;
/** Share of the memory for frames between nodes that are being received. */
const FRAME_MEMORY_SHARE = 1 / 16;
/** Frames of the largest size for which there is room on any machine. */
const LARGEST_FRAMES = 2;
/** Bodies up to this size are small: crowds of larger ones do not use up their room. */
const SMALL_BYTES = 64 * 1024;
/** Bodies of the largest size for which there is room on any machine: a single one is always served. */
const LARGEST_BODIES = 2;

/** Share of the memory for the responses of workers, from their first byte until the client has the last one. */
const RESPONSE_MEMORY_SHARE = 1 / 8;
/** Responses of the largest size for which there is room on any machine. */
const LARGEST_RESPONSES = 2;

/** The budget for the responses of all workers to the requests of a process. */
export function responseBudget({ memoryMb }: MachineLimits, clock: Clock): MemoryBudget {
  const limitBytes = Math.max(
    memoryMb * BYTES_PER_MB * RESPONSE_MEMORY_SHARE,
    LARGEST_RESPONSES * ATTEMPT_POLICY.maxBufferedBytes,
  );
  return new MemoryBudget({ limitBytes, smallBytes: SMALL_BYTES, clock, eviction: 'largest-owner' });
}

/** Share of the memory of a core for the replies of workers and of the platform to its calls. */
const REPLY_MEMORY_SHARE = 1 / 16;

/** The budget for the replies to all calls of a core. */
export function replyBudget({ memoryMb }: MachineLimits, clock: Clock): MemoryBudget {
  const limitBytes = memoryMb * BYTES_PER_MB * REPLY_MEMORY_SHARE;
  return new MemoryBudget({ limitBytes, smallBytes: SMALL_BYTES, clock, eviction: 'largest-owner' });
}

/** Bytes for the bodies of all requests of a process. */
export function bodyMemoryBytes({ memoryMb }: MachineLimits, maxBodyBytes: number): number {
  return Math.max(memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE, LARGEST_BODIES * maxBodyBytes);
}

/** The budget for the bodies of all requests of a process. */
export function bodyBudget(machine: MachineLimits, maxBodyBytes: number, clock: Clock): MemoryBudget {
  const limitBytes = bodyMemoryBytes(machine, maxBodyBytes);
  return new MemoryBudget({ limitBytes, smallBytes: SMALL_BYTES, clock });
}

/** Bytes for the frames that a process is receiving from its peers. */
export function frameMemoryBytes({ memoryMb }: MachineLimits): number {
  return Math.max(memoryMb * BYTES_PER_MB * FRAME_MEMORY_SHARE, LARGEST_FRAMES * FRAME_MAX_BYTES);
}

/** The most connections that each listener of an edge keeps open. */
export function edgeConnectionLimits(
  machine: MachineLimits,
): Record<'clients' | 'readiness' | 'peers', number> {
  const { clients, readiness, peers } = DESCRIPTOR_SHARES.edge;
  return {
    clients: connectionLimit(machine, clients),
    readiness: connectionLimit(machine, readiness),
    peers: connectionLimit(machine, peers),
  };
}

/** The most connections that each listener of a core keeps open. */
export function coreConnectionLimits(machine: MachineLimits): Record<'operators' | 'peers', number> {
  const { operators, peers } = DESCRIPTOR_SHARES.core;
  return {
    operators: connectionLimit(machine, operators),
    peers: connectionLimit(machine, peers),
  };
}

function connectionLimit({ memoryMb, openFiles }: MachineLimits, descriptorShare: number): number {
  const byMemory = (memoryMb * BYTES_PER_MB * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES;
  return Math.max(1, Math.floor(Math.min(openFiles * descriptorShare, byMemory)));
}
