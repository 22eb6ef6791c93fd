import { createHash, timingSafeEqual } from 'node:crypto';
import { mkdir, open, readdir, readFile, rename, unlink } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { fault, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

/** The kinds of record that a node keeps. */
export type RecordKind = 'disk' | 'promise' | 'version';

/** Where agreed state is kept; the simulator has one of its own. */
export interface RecordWriter {
  /** Stores one version of a record; `done` comes only after it is synced, in the order of the calls. */
  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void;
}

/** The newest sound record of each kind. */
export type Records = Partial<Record<RecordKind, Uint8Array>>;

const MAGIC = Buffer.from('RAINRUN1');
const HEADER_BYTES = MAGIC.length + 32;
const KEPT = 2;
const NAME = /^(disk|promise|version)\.(\d{1,15})$/;

/**
 * Bytes with magic and checksum before them, as they stand in a file.
 * @example
 * open(seal(bytes)).isOk; // true
 */
export function seal(bytes: Uint8Array): Buffer {
  return Buffer.concat([MAGIC, createHash('sha256').update(bytes).digest(), bytes]);
}

/**
 * The bytes of a sealed file, or that it is damaged or not ours.
 * @example
 * unseal(Buffer.from('torn')).isErr; // true
 */
export function unseal(file: Buffer): Result<Uint8Array, Fault> {
  if (file.length < HEADER_BYTES) return Result.err(fault('damaged', `only ${file.length} bytes`));
  if (!file.subarray(0, MAGIC.length).equals(MAGIC))
    return Result.err(fault('foreign', 'not a record of rainrun'));
  const bytes = file.subarray(HEADER_BYTES);
  const sum = createHash('sha256').update(bytes).digest();
  if (!timingSafeEqual(sum, file.subarray(MAGIC.length, HEADER_BYTES))) {
    return Result.err(fault('damaged', 'the checksum does not match'));
  }
  return Result.ok(new Uint8Array(bytes));
}

function diskFault(thrown: unknown): Fault {
  return fault('disk', thrown instanceof Error ? thrown.message : String(thrown));
}

async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/** Makes a folder that outlives a loss of power: each folder above that gained an entry is synced. */
async function makeFolder(path: string): Promise<void> {
  const firstMade = await mkdir(path, { recursive: true });
  if (firstMade === undefined) return;
  const top = dirname(resolve(firstMade));
  let above = dirname(resolve(path));
  while (above !== top) {
    await syncFolder(above);
    above = dirname(above);
  }
  await syncFolder(top);
}

/**
 * One data folder. Each version of a record is a file of its own, written
 * aside, synced, renamed, and the folder synced; the last two are kept.
 * @example
 * const opened = await RecordStore.open('/var/lib/rainrun');
 * if (opened.isOk) opened.value.recordStore.store('promise', bytes, (result) => reply(result));
 */
export class RecordStore implements RecordWriter {
  #folder: string;
  #numbers: Map<RecordKind, number[]>;
  #tail: Promise<void> = Promise.resolve();

  private constructor(folder: string, numbers: Map<RecordKind, number[]>) {
    this.#folder = folder;
    this.#numbers = numbers;
  }

  /**
   * Opens or makes the folder and reads the newest record of each kind. A
   * damaged newest record is a fault, never guessed around. The folder is synced
   * before anything is built upon what was read: a process that was killed may
   * have renamed a record and not synced the folder, and a later loss of power
   * would take that record away again.
   */
  static async open(folder: string): Promise<Result<{ recordStore: RecordStore; records: Records }, Fault>> {
    const numbers = new Map<RecordKind, number[]>();
    const records: Records = {};
    try {
      await makeFolder(folder);
      for (const name of await readdir(folder)) {
        const match = NAME.exec(name);
        if (match === null) {
          if (!name.endsWith('.aside'))
            return Result.err(fault('foreign', `${join(folder, name)} is not a record of rainrun`));
          continue;
        }
        const kind = match[1] as RecordKind;
        numbers.set(
          kind,
          [...(numbers.get(kind) ?? []), Number(match[2])].sort((one, other) => one - other),
        );
      }
      for (const [kind, known] of numbers) {
        const path = join(folder, `${kind}.${known.at(-1)}`);
        const bytes = unseal(await readFile(path));
        if (bytes.isErr) return Result.err(fault(bytes.error.kind, `${path}: ${bytes.error.detail}`));
        records[kind] = bytes.value;
      }
      await syncFolder(folder);
    } catch (thrown) {
      return Result.err(diskFault(thrown));
    }
    if (records.disk === undefined && numbers.size > 0) {
      return Result.err(fault('damaged', `${folder} holds records but not the disk's own`));
    }
    return Result.ok({ recordStore: new RecordStore(folder, numbers), records });
  }

  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.#tail = this.#tail.then(() => this.#write(kind, bytes)).then(done);
  }

  async #write(kind: RecordKind, bytes: Uint8Array): Promise<Result<Unit, Fault>> {
    const known = this.#numbers.get(kind) ?? [];
    const number = (known.at(-1) ?? 0) + 1;
    const path = join(this.#folder, `${kind}.${number}`);
    try {
      const aside = await open(`${path}.aside`, 'w');
      try {
        await aside.writeFile(seal(bytes));
        await aside.sync();
      } finally {
        await aside.close();
      }
      await rename(`${path}.aside`, path);
      await syncFolder(this.#folder);
      this.#numbers.set(kind, [...known, number]);
      await this.#prune(kind);
      return Result.ok();
    } catch (thrown) {
      return Result.err(diskFault(thrown));
    }
  }

  async #prune(kind: RecordKind): Promise<void> {
    const known = this.#numbers.get(kind) ?? [];
    for (const number of known.splice(0, Math.max(0, known.length - KEPT))) {
      await unlink(join(this.#folder, `${kind}.${number}`));
    }
  }
}
