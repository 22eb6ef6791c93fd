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

/** Paths of the handles that are synced while something is done. */
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

describe('recordStore', () => {
  it('keeps one file a version, the last two of each kind', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    expect((await readdir(path)).sort()).toEqual(['disk.1', 'version.2', 'version.3']);
    const opened = await RecordStore.open(path);
    expect(opened.isOk && opened.value.records.version).toEqual(new Uint8Array([3]));
  });

  it('goes on writing though a caller fails on what it is told, and the error is not lost', async () => {
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

  it('refuses a torn newest version instead of going back to an older one', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    const complete = await readFile(join(path, 'version.3'));
    await writeFile(join(path, 'version.3'), complete.subarray(0, complete.length - 1));
    const opened = await RecordStore.open(path);
    expect(opened.isErr && opened.error.kind).toEqual('damaged');
  });

  it('leaves aside what was never renamed', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    await writeFile(join(path, 'version.4.aside'), 'half');
    const opened = await RecordStore.open(path);
    expect(opened.isOk && opened.value.records.version).toEqual(new Uint8Array([3]));
  });

  it('syncs the folder as it opens it: what a killed process had renamed only is not built upon', async () => {
    const path = await createTempFolder();
    await fillFolder(path);
    const synced = await syncedWhile(() => RecordStore.open(path));
    expect(synced).toEqual([path]);
  });

  it('syncs the folders above a data folder that it makes', async () => {
    const path = await createTempFolder();
    const synced = await syncedWhile(() => RecordStore.open(join(path, 'made', 'data')));
    expect(synced).toEqual([join(path, 'made'), path, join(path, 'made', 'data')]);
  });

  it('refuses a folder with something else in it, or without its own disk record', async () => {
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

  it('knows a stale or foreign file by its seal', () => {
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
