import { readlinkSync } from 'node:fs';
import { mkdtemp, open, readdir, readFile, rm, writeFile, type FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, it, mock } from 'node:test';
import { expect } from 'earl';
import { RecordStore, type RecordKind } from './record-store.js';
import { seal, unseal } from './sealed-file.js';

let folders: string[] = [];

async function createTempFolder(): Promise<string> {
  const path = await mkdtemp(join(tmpdir(), 'recordStore-'));
  folders.push(path);
  return path;
}

afterEach(async () => {
  for (const path of folders) await rm(path, { recursive: true });
  folders = [];
});

async function fillFolder(path: string): Promise<void> {
  const opened = await RecordStore.open(path);
  if (opened.isErr) return;
  const writes: [RecordKind, number][] = [
    ['disk', 1],
    ['version', 1],
    ['version', 2],
    ['version', 3],
  ];
  for (const [kind, byte] of writes) {
    await new Promise<void>((resolve) => {
      opened.value.recordStore.store(kind, new Uint8Array([byte]), () => resolve());
    });
  }
}

/** Paths of the file handles that are synced during an action. */
async function syncedWhile(action: () => Promise<unknown>): Promise<string[]> {
  const handle = await open(tmpdir());
  const prototype = Object.getPrototypeOf(handle) as FileHandle;
  await handle.close();
  const synced: string[] = [];
  function recordSync(this: FileHandle): Promise<void> {
    synced.push(readlinkSync(`/proc/self/fd/${this.fd}`));
    return Promise.resolve();
  }
  const spy = mock.method(prototype, 'sync', recordSync);
  await action();
  spy.mock.restore();
  return synced;
}

describe('the record store', () => {
  it('stores each version in a file of its own and keeps the last two of each kind', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    expect((await readdir(path)).sort()).toEqual(['disk.1', 'version.2', 'version.3']);
    const opened = await RecordStore.open(path);
    expect(opened.isOk && opened.value.records.version).toEqual(new Uint8Array([3]));
  });

  it('continues to write after a callback throws, and the error becomes an uncaught exception', async () => {
    const opened = await RecordStore.open(await createTempFolder());
    if (opened.isErr) throw new Error(opened.error.detail);
    const { recordStore } = opened.value;
    const uncaught = new Promise<unknown>((resolve) => {
      process.setUncaughtExceptionCaptureCallback(resolve);
    });
    recordStore.store('promise', new Uint8Array([1]), () => {
      throw new Error('a defect');
    });
    const later = await new Promise<boolean>((resolve) => {
      recordStore.store('promise', new Uint8Array([2]), (result) => resolve(result.isOk));
    });
    expect([String(await uncaught), later]).toEqual(['Error: a defect', true]);
    process.setUncaughtExceptionCaptureCallback(null);
  });

  it('fails on a truncated newest version instead of falling back to an older one', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    const complete = await readFile(join(path, 'version.3'));
    await writeFile(join(path, 'version.3'), complete.subarray(0, complete.length - 1));
    const opened = await RecordStore.open(path);
    expect(opened.isErr && opened.error.kind).toEqual('damaged');
  });

  it('ignores a temporary file that was never renamed', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    await writeFile(join(path, 'version.4.aside'), 'half');
    const opened = await RecordStore.open(path);
    expect(opened.isOk && opened.value.records.version).toEqual(new Uint8Array([3]));
  });

  it('syncs the folder when it opens it, in case a killed process renamed a record without syncing', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    const synced = await syncedWhile(() => RecordStore.open(path));
    expect(synced).toEqual([path]);
  });

  it('syncs the parents of a data folder that it creates', async () => {
    const path = await createTempFolder();
    const synced = await syncedWhile(() => RecordStore.open(join(path, 'made', 'data')));
    expect(synced).toEqual([join(path, 'made'), path, join(path, 'made', 'data')]);
  });

  it('fails on a folder with a foreign file, and on one without a disk record', async () => {
    const path = await createTempFolder();
    await writeFile(join(path, 'notes.txt'), 'mine');
    const foreign = await RecordStore.open(path);
    expect(foreign.isErr && foreign.error.kind).toEqual('foreign');
    const other = await createTempFolder();
    await fillFolder(other);
    await rm(join(other, 'disk.1'));
    const damaged = await RecordStore.open(other);
    expect(damaged.isErr && damaged.error.kind).toEqual('damaged');
  });

  it('detects a damaged or foreign file by its checksum and magic number', () => {
    const sealed = seal(new Uint8Array([1, 2]));
    const wrongMagic = Buffer.from(sealed);
    wrongMagic[0] = 0;
    const flipped = Buffer.from(sealed);
    flipped[flipped.length - 1] = 9;
    const kinds = [unseal(wrongMagic), unseal(flipped), unseal(Buffer.alloc(3))].map((read) =>
      read.isErr ? read.error.kind : 'accepted',
    );
    expect(kinds).toEqual(['foreign', 'damaged', 'damaged']);
  });
});
