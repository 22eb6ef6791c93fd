/** Settings of the programs `core` and `edge`: each key set, omitted and invalid. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Fault } from '@rainrun/common';
import { readSettings } from '@rainrun/runtime';
import type { Result } from 'true-myth';
import { inNewFolder } from './data-folders.js';

type Keys = Readonly<Record<string, unknown>>;
type Role = 'core' | 'edge';

const REQUIRED: Keys = {
  name: 'core-1',
  deployment: 'site',
  zone: 'coast',
  bind: '10.0.0.1:7001',
  http: '10.0.0.1:8001',
  seeds: ['10.0.0.2:7002'],
};

const ALL: Keys = {
  ...REQUIRED,
  reach: '10.0.1.1:7011',
  seeds: ['10.0.0.2:7002', '10.0.0.3:7003'],
  founders: ['core-1', 'core-2'],
  folder: '/data/core-1',
  platform: 'http://10.0.0.9:9000/workers',
  drainMs: 1234,
  bodyMaxBytes: 2345,
  recordFile: '/data/day',
  recordMaxBytes: 3456,
  recordContents: true,
  logLevel: 'warn',
};

const WRONG: Keys = {
  name: 'A Name',
  deployment: 7,
  zone: '-',
  bind: 'localhost:7001',
  reach: '10.0.0.1',
  http: '10.0.0.1:0',
  seeds: [],
  founders: 'core-1',
  folder: null,
  platform: 1,
  drainMs: -1,
  bodyMaxBytes: 1023,
  recordFile: false,
  recordMaxBytes: 1.5,
  recordContents: 'yes',
  logLevel: 'loud',
  notASetting: 1,
};

function outcome<T>(read: Result<T, Fault[]>, values: (settings: T) => unknown): unknown {
  return read.isOk
    ? values(read.value)
    : { faults: read.error.map(({ kind, detail }) => `${kind} ${detail}`) };
}

/** Reads flags as a program does. Settings are compared by name: each is also a key of the settings file. */
function fromFlags(flags: Keys, role: Role): unknown {
  return outcome(readSettings(flags, role), (settings) => settings);
}

function fromFile(file: Keys, role: Role): Promise<unknown> {
  return inNewFolder(async (folder) => {
    const path = join(folder, 'settings.json');
    await writeFile(path, JSON.stringify(file));
    return fromFlags({ settings: path }, role);
  });
}

function asFlag(value: unknown): unknown {
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'number' ? String(value) : value;
}

/** The settings that the programs `core` and `edge` read, or the faults that they report. */
export async function programSettings(): Promise<unknown> {
  const flags = Object.fromEntries(Object.entries(ALL).map(([key, value]) => [key, asFlag(value)]));
  const { folder, ...withoutFolder } = ALL;
  const wrong: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(WRONG))
    wrong[key] = await fromFile({ ...ALL, [key]: value }, 'core');
  return {
    allFromFile: await fromFile(ALL, 'core'),
    allFromFlags: fromFlags(flags, 'core'),
    allOfAnEdge: await fromFile(withoutFolder, 'edge'),
    onlyRequired: await fromFile(REQUIRED, 'edge'),
    none: fromFlags({}, 'edge'),
    wrong,
    edgeWithFolder: await fromFile({ ...REQUIRED, folder }, 'edge'),
    coreWithoutFolder: await fromFile(REQUIRED, 'core'),
    flagGivenTwice: fromFlags({ ...flags, zone: ['coast', 'inland'] }, 'core'),
  };
}
