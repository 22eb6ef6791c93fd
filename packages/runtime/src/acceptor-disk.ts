/** Opens the disk of a core, for the cores of both systems. */
import { Acceptor, readRecords, type OpenedDisk } from '@rainrun/process-group';
import { RecordStore } from '@rainrun/storage';
import { randomId, type Fault, type RandomSource } from '@rainrun/common';
import { Result } from 'true-myth';

/** Which disk is opened, and who hears of its failures. */
export interface AcceptorDiskOptions {
  /** The data folder. */
  readonly folder: string;
  /** Name of the deployment that a new disk is marked with. */
  readonly deployment: string;
  /** The founding cores, where this is the first start of one of them; kept on the disk until the group is founded. */
  readonly founders?: readonly string[];
  /** For the identity of a new disk. */
  readonly random: RandomSource;
  /** Says why a disk that can be read is not this node's; undefined where it is. */
  check?(opening: OpenedDisk): Fault | undefined;
  /** The disk failed after it was opened: the process has to end. */
  onFatal(why: Fault): void;
}

/**
 * Reads the records of a data folder and makes a voter's acceptor of them; a
 * new disk is marked. Faults: `damaged`, whatever the folder itself cannot do, and those of `check`.
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
