/** Writes data folders from the records of scripted cores, and opens them as the programs do. */
import { cp, mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Fault } from '@rainrun/common';
import { VersionSchema } from '@rainrun/messages';
import { readRecords } from '@rainrun/process-group';
import { RecordStore, type Records } from '@rainrun/storage';
import type { Result, Unit } from 'true-myth';
import { fieldValues } from './message-samples.js';
import { fail, type WrittenRecord } from './scripted-group.js';

/** The files of a folder, from name to content in base64. */
export type FolderContent = Readonly<Record<string, string>>;

/** Runs an action in a new temporary folder, which is removed afterwards. */
export async function inNewFolder<T>(action: (folder: string) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'compatibility-'));
  try {
    return await action(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

/** Writes records into a data folder, in the given order. */
export async function writeDataFolder(folder: string, written: readonly WrittenRecord[]): Promise<void> {
  const { recordStore } = (await RecordStore.open(folder)).unwrapOrElse(fail);
  for (const { kind, bytes } of written) {
    const stored = await new Promise<Result<Unit, Fault>>((resolve) =>
      recordStore.store(kind, bytes, resolve),
    );
    stored.unwrapOrElse(fail);
  }
}

/** Opens a copy of a data folder and returns its records. */
export function openCopy(folder: string): Promise<Records> {
  return inNewFolder(async (copy) => {
    await cp(folder, copy, { recursive: true });
    return (await RecordStore.open(copy)).unwrapOrElse(fail).records;
  });
}

/** Every file of a folder, byte for byte. */
export async function contentOf(folder: string): Promise<FolderContent> {
  const names = (await readdir(folder)).sort();
  const files = await Promise.all(
    names.map(async (name) => [name, await readFile(join(folder, name), 'base64')] as const),
  );
  return Object.fromEntries(files);
}

/** The state that a core recovers from its disk before it starts; messages are keyed by field number. */
export function recoveredState(records: Records): unknown {
  const { disk, deployment, promisedEpoch, promisedTo, accepted } = readRecords(
    records,
    'a disk that has no id yet',
  ).unwrapOrElse(fail);
  return [
    disk,
    deployment,
    promisedEpoch,
    promisedTo,
    accepted === undefined ? null : fieldValues(VersionSchema, accepted),
  ];
}
