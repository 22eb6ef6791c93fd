/** The data folder fixtures: the scenarios that write them, and the state that is read from them. */
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { newSiteGroup, siteAfterPlacement, stateOfSite } from './cluster-node-script.js';
import {
  coresReplacingVoter,
  newCoreGroup,
  coresAfterOperations,
  stateOfCores,
} from './core-replica-script.js';
import {
  contentOf,
  inNewFolder,
  openCopy,
  recoveredState,
  writeDataFolder,
  type FolderContent,
} from './data-folders.js';
import { asJson, fixturePath } from './golden-files.js';
import { SEEDS, type ScriptedGroup, type ScriptedNode } from './scripted-group.js';

/** One fixture: the data folders of all cores of a group at one point of a scenario. */
export interface DataFolderFixture {
  readonly name: string;
  /** What the cores did before, as part of a test title. */
  readonly scenario: string;
  /** Runs the scenario with the current code and returns the files that it writes, by core. */
  write(): Promise<Readonly<Record<string, FolderContent>>>;
  /** The state that the current code reads from the fixture. */
  read(): Promise<unknown>;
}

/** All data folder fixtures. */
export const DATA_FOLDER_FIXTURES: readonly DataFolderFixture[] = [
  defineFixture('core-replica', 'cores of a deployment that executed operations', {
    runScenario: coresAfterOperations,
    createEmptyGroup: () => newCoreGroup(SEEDS.afterRestart),
    stateOf: stateOfCores,
  }),
  defineFixture('core-replica-replacing-voter', 'cores that are replacing a lost voter', {
    runScenario: coresReplacingVoter,
    createEmptyGroup: () => newCoreGroup(SEEDS.afterRestart),
    stateOf: stateOfCores,
  }),
  defineFixture('cluster-node', 'cores of a site that executed operations and placed models', {
    runScenario: siteAfterPlacement,
    createEmptyGroup: () => newSiteGroup(SEEDS.afterRestart),
    stateOf: stateOfSite,
  }),
];

/** The path under which a fixture has one data folder per core. */
export function folderOf(name: string): string {
  return fixturePath(join('data-folders', name));
}

interface ScenarioGroups<N extends ScriptedNode> {
  runScenario(): ScriptedGroup<N>;
  /** A group without members, whose cores are then started on the data folders. */
  createEmptyGroup(): ScriptedGroup<N>;
  stateOf(group: ScriptedGroup<N>): unknown;
}

function defineFixture<N extends ScriptedNode>(
  name: string,
  scenario: string,
  groups: ScenarioGroups<N>,
): DataFolderFixture {
  return {
    name,
    scenario,
    write: () => filesWritten(groups.runScenario()),
    read: () => readFixture(folderOf(name), groups),
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

async function readFixture<N extends ScriptedNode>(
  folder: string,
  groups: ScenarioGroups<N>,
): Promise<unknown> {
  const names = (await readdir(folder)).sort();
  const group = groups.createEmptyGroup();
  const openings: Record<string, unknown> = {};
  for (const name of names) {
    const records = await openCopy(join(folder, name));
    openings[name] = recoveredState(records);
    group.add(name, records);
  }
  return asJson({ openings, state: groups.stateOf(group) });
}
