/** Opens the disk of a core node, and waits for its last writes; shared by both systems. */
import { setTimeout as pause } from 'node:timers/promises';
import { Acceptor, readRecords, type OpenedDisk } from '@rainrun/process-group';
import { RecordStore } from '@rainrun/storage';
import { randomId, type Fault, type RandomSource } from '@rainrun/common';
import { Result } from 'true-myth';

/** How long a stopping node waits for its disk; well within a grace period of 8 s. */
const LAST_WRITES_TIMEOUT_MS = 5000;
const LAST_WRITES_POLL_MS = 10;

/** The disk to open, and the callback for its failures. */
export interface AcceptorDiskOptions {
  /** The data folder. */
  readonly folder: string;
  /** Name of the deployment, written to a new disk. */
  readonly deployment: string;
  /**
   * Names or addresses of the founding cores, at the first start of one of them; kept on disk until the group
   * is founded.
   */
  readonly founders?: readonly string[];
  /** Source of the random identity of a new disk. */
  readonly random: RandomSource;
  /** Returns a fault if a readable disk belongs to another node or deployment, otherwise undefined. */
  check?(opening: OpenedDisk): Fault | undefined;
  /** Called when the disk fails after it was opened; the process must exit then. */
  onFatal(why: Fault): void;
}

/**
 * Reads the records of a data folder and creates a voter's acceptor from them; writes the disk record of a
 * new disk. Faults: `damaged`, those of opening the folder, and those of `check`.
 * @example
 * const acceptor = await openAcceptor({ folder: '/var/lib/rainrun', deployment: 'system', random, onFatal });
 */
export async function openAcceptor(options: AcceptorDiskOptions): Promise<Result<Acceptor, Fault>> {
  const opened = await RecordStore.open(options.folder);
  if (opened.isErr) return Result.err(opened.error);
  const { recordStore, records } = opened.value;
  const opening = readRecords(records, randomId(options.random));
  if (opening.isErr) return Result.err(opening.error);
  const rejected = options.check?.(opening.value);
  if (rejected !== undefined) return Result.err(rejected);
  const founders = records.disk === undefined ? (options.founders ?? []) : opening.value.founders;
  const acceptor = new Acceptor({ ...opening.value, founders }, recordStore, options.deployment, (why) =>
    options.onFatal(why),
  );
  if (records.disk === undefined) acceptor.writeDiskRecord();
  return Result.ok(acceptor);
}

/**
 * Waits until no write of a stopping node is under way, but not longer than `LAST_WRITES_TIMEOUT_MS`: a node
 * whose disk hangs stops all the same. The node must have closed its listeners, so that no further write begins.
 */
export async function waitForLastWrites(acceptor: Acceptor): Promise<void> {
  const endMs = performance.now() + LAST_WRITES_TIMEOUT_MS;
  while (acceptor.hasPendingWrites && performance.now() < endMs) await pause(LAST_WRITES_POLL_MS);
}
