/** The data folders that are fixtures: what wrote them, and what is read from them. */
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { newSiteGroup, settledSite, stateOfSite } from './cluster-node-script.js';
import { coresReplacingVoter, newCoreGroup, settledCores, stateOfCores } from './core-replica-script.js';
import {
  contentOf,
  inNewFolder,
  openCopy,
  openingOf,
  writeDataFolder,
  type FolderContent,
} from './data-folders.js';
import { asJson, fixturePath } from './golden-files.js';
import { SEEDS, type ScriptedGroup, type ScriptedNode } from './scripted-group.js';

/** One fixture: the data folders of all cores of a group, at one moment. */
export interface DataFolderFixture {
  readonly name: string;
  /** How the cores came to it. */
  readonly story: string;
  /** The files that today's code writes when the same happens, by core. */
  write(): Promise<Readonly<Record<string, FolderContent>>>;
  /** What today's code reads from the fixture. */
  read(): Promise<unknown>;
}

/** Every fixture of data folders. */
export const DATA_FOLDER_FIXTURES: readonly DataFolderFixture[] = [
  fixtureOf('core-replica', 'cores of a deployment that took operations', {
    first: settledCores,
    again: () => newCoreGroup(SEEDS.again),
    stateOf: stateOfCores,
  }),
  fixtureOf('core-replica-replacing-voter', 'cores that are replacing a lost voter', {
    first: coresReplacingVoter,
    again: () => newCoreGroup(SEEDS.again),
    stateOf: stateOfCores,
  }),
  fixtureOf('cluster-node', 'cores of a site that took operations and placed models', {
    first: settledSite,
    again: () => newSiteGroup(SEEDS.again),
    stateOf: stateOfSite,
  }),
];

/** The folder of the data folders of a fixture. */
export function folderOf(name: string): string {
  return fixturePath(join('data-folders', name));
}

interface Runs<N extends ScriptedNode> {
  first(): ScriptedGroup<N>;
  /** A group without members, to be started on the data folders. */
  again(): ScriptedGroup<N>;
  stateOf(group: ScriptedGroup<N>): unknown;
}

function fixtureOf<N extends ScriptedNode>(name: string, story: string, runs: Runs<N>): DataFolderFixture {
  return {
    name,
    story,
    write: () => filesWritten(runs.first()),
    read: () => readFixture(folderOf(name), runs),
  };
}

async function filesWritten(group: ScriptedGroup<ScriptedNode>) {
  const folders = await Promise.all(
    group.cores.map(async (core) => [core.name, await filesOf(core.written)] as const),
  );
  return Object.fromEntries(folders);
}

function filesOf(written: Parameters<typeof writeDataFolder>[1]): Promise<FolderContent> {
  return inNewFolder(async (folder) => {
    await writeDataFolder(folder, written);
    return contentOf(folder);
  });
}

async function readFixture<N extends ScriptedNode>(folder: string, runs: Runs<N>): Promise<unknown> {
  const names = (await readdir(folder)).sort();
  const group = runs.again();
  const openings: Record<string, unknown> = {};
  for (const name of names) {
    const records = await openCopy(join(folder, name));
    openings[name] = openingOf(records);
    group.add(name, records);
  }
  return asJson({ openings, state: runs.stateOf(group) });
}
