/** Durable storage of a node's records in its data folder, one file per version. */
import { mkdir, open, readdir, readFile, rename, unlink } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { errorMessage, fault, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';
import { seal, unseal } from './sealed-file.js';

/** The kinds of record that a node stores. */
export type RecordKind = 'disk' | 'promise' | 'version';

/** Durable storage of records; the simulator implements its own. */
export interface RecordWriter {
  /** Stores a new version of a record. Calls `done` once the version is synced, in the order of the calls. */
  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void;
}

/** The newest intact record of each kind. */
export type Records = Partial<Record<RecordKind, Uint8Array>>;

const RETAINED_VERSIONS = 2;
const FILE_NAME = /^(disk|promise|version)\.(\d{1,15})$/;

/** A fault for a failed system call, whose message already names the operation and the path. */
function diskFault(thrown: unknown): Fault {
  return fault('disk', errorMessage(thrown), { cause: thrown });
}

async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/** Creates a folder so that it survives a power loss: syncs every parent folder that gained an entry. */
async function createFolder(path: string): Promise<void> {
  const firstCreated = await mkdir(path, { recursive: true });
  if (firstCreated === undefined) return;
  const top = dirname(resolve(firstCreated));
  let parent = dirname(resolve(path));
  while (parent !== top) {
    await syncFolder(parent);
    parent = dirname(parent);
  }
  await syncFolder(top);
}

/** The version numbers of each kind of record in a folder, ascending. A file with another name is a fault. */
async function listVersions(folder: string): Promise<Result<Map<RecordKind, number[]>, Fault>> {
  const versions = new Map<RecordKind, number[]>();
  for (const name of await readdir(folder)) {
    const match = FILE_NAME.exec(name);
    if (match !== null) {
      const kind = match[1] as RecordKind;
      versions.set(kind, [...(versions.get(kind) ?? []), Number(match[2])]);
    } else if (!name.endsWith('.aside')) {
      return Result.err(fault('foreign', `${join(folder, name)} is not a rainrun record`));
    }
  }
  for (const numbers of versions.values()) numbers.sort((one, other) => one - other);
  return Result.ok(versions);
}

/** Reads the newest record of each kind. A damaged record is a fault. */
async function readNewest(
  folder: string,
  versions: ReadonlyMap<RecordKind, readonly number[]>,
): Promise<Result<Records, Fault>> {
  const records: Records = {};
  for (const [kind, numbers] of versions) {
    const path = join(folder, `${kind}.${numbers.at(-1)}`);
    const bytes = unseal(await readFile(path));
    if (bytes.isErr) return Result.err(fault(bytes.error.kind, `${path}: ${bytes.error.detail}`));
    records[kind] = bytes.value;
  }
  return Result.ok(records);
}

/**
 * Stores records in one data folder. Each version of a record is a separate file: it is written under a
 * temporary name, synced and renamed, and then the folder is synced. The last two versions of each kind are
 * kept.
 * @example
 * const opened = await RecordStore.open('/var/lib/rainrun');
 * if (opened.isOk) opened.value.recordStore.store('promise', bytes, (result) => reply(result));
 */
export class RecordStore implements RecordWriter {
  #folder: string;
  #versions: Map<RecordKind, number[]>;
  #lastWrite: Promise<void> = Promise.resolve();

  private constructor(folder: string, versions: Map<RecordKind, number[]>) {
    this.#folder = folder;
    this.#versions = versions;
  }

  /**
   * Opens or creates the folder and reads the newest record of each kind. A damaged newest record is a fault;
   * older versions never replace it. The folder is synced before the records are used: a process that was
   * killed may have renamed a record without syncing the folder, and a later power loss would undo that
   * rename.
   */
  static async open(folder: string): Promise<Result<{ recordStore: RecordStore; records: Records }, Fault>> {
    try {
      await createFolder(folder);
      const versions = await listVersions(folder);
      if (versions.isErr) return Result.err(versions.error);
      const records = await readNewest(folder, versions.value);
      if (records.isErr) return Result.err(records.error);
      await syncFolder(folder);
      if (records.value.disk === undefined && versions.value.size > 0)
        return Result.err(fault('damaged', `${folder} holds records but no disk record`));
      return Result.ok({ recordStore: new RecordStore(folder, versions.value), records: records.value });
    } catch (thrown) {
      return Result.err(diskFault(thrown));
    }
  }

  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.#lastWrite = this.#lastWrite
      .then(() => this.#write(kind, bytes))
      // An error thrown by `done` becomes an uncaught exception of its caller; later writes still continue.
      .then((result) => queueMicrotask(() => done(result)));
  }

  async #write(kind: RecordKind, bytes: Uint8Array): Promise<Result<Unit, Fault>> {
    const numbers = this.#versions.get(kind) ?? [];
    const number = (numbers.at(-1) ?? 0) + 1;
    const path = join(this.#folder, `${kind}.${number}`);
    try {
      const temporary = await open(`${path}.aside`, 'w');
      try {
        await temporary.writeFile(seal(bytes));
        await temporary.sync();
      } finally {
        await temporary.close();
      }
      await rename(`${path}.aside`, path);
      await syncFolder(this.#folder);
      this.#versions.set(kind, [...numbers, number]);
      await this.#prune(kind);
      return Result.ok();
    } catch (thrown) {
      return Result.err(diskFault(thrown));
    }
  }

  async #prune(kind: RecordKind): Promise<void> {
    const numbers = this.#versions.get(kind) ?? [];
    for (const number of numbers.splice(0, Math.max(0, numbers.length - RETAINED_VERSIONS))) {
      await unlink(join(this.#folder, `${kind}.${number}`));
    }
  }
}
