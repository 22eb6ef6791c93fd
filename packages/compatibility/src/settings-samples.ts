/** The settings of all programs: each key set, each key left out, each key wrong. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Fault } from '@rainrun/common';
import { readSettings as readPlatformSettings } from '@rainrun/platform/settings';
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

/** Keys of settings are keys of the settings file: they are compared by their names. */
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

/** What the settings of the programs `core` and `edge` come to. */
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

const PLATFORM_REQUIRED = `NodeName = "core-1"
IpAddress = "10.0.0.1"
Zone = "coast"
InternalPortRange = [7600, 7607]
SeedNodes = ["10.0.0.2:8146"]
`;

const PLATFORM_ALL = `NodeName = "core-1"
IpAddress = "10.0.0.1"
Zone = "coast"
Serves = ["edge", "control_plane"]
InternalPortRange = [7600, 7607]
SeedNodes = ["10.0.0.2:8146", "10.0.0.3:8147"]
Bootstrap = true
DataPath = "/data/core-1"
NotKnown = 1
[Zones]
coast = "west"
inland = "east"
[BindAddresses]
PublicHttp = "10.0.0.1:8144"
Readiness = "10.0.0.1:8140"
ControlPlane = "10.0.0.1:8146"
[Limits]
MemoryMb = 350
[FaultTolerance]
Machines = 2
[Bounds]
GraceS = 9
RetryBudgetRatio = 0.25
RetryMinExtra = 58
[Provider]
Address = "10.0.0.9:8142"
RatePerS = 47.5
MaxLagMs = 800
`;

/** A key of the platform's settings as it stands in the text, and a wrong value. */
const PLATFORM_WRONG: readonly (readonly [line: RegExp, wrong: string])[] = [
  [/^NodeName = .*$/m, 'NodeName = ""'],
  [/^IpAddress = .*$/m, 'IpAddress = 10'],
  [/^Zone = .*$/m, ''],
  [/^Serves = .*$/m, 'Serves = "edge"'],
  [/^InternalPortRange = .*$/m, 'InternalPortRange = [7600, 70000]'],
  [/^SeedNodes = .*$/m, 'SeedNodes = ["10.0.0.2"]'],
  [/^Bootstrap = .*$/m, 'Bootstrap = "yes"'],
  [/^DataPath = .*$/m, 'DataPath = 1'],
  [/^coast = .*$/m, 'coast = 1'],
  [/^PublicHttp = .*$/m, 'PublicHttp = "here"'],
  [/^Readiness = .*$/m, 'Readiness = "here"'],
  [/^ControlPlane = .*$/m, 'ControlPlane = "here"'],
  [/^MemoryMb = .*$/m, 'MemoryMb = -1'],
  [/^Machines = .*$/m, 'Machines = -1'],
  [/^GraceS = .*$/m, 'GraceS = "long"'],
  [/^RetryBudgetRatio = .*$/m, 'RetryBudgetRatio = -0.1'],
  [/^RetryMinExtra = .*$/m, 'RetryMinExtra = "x"'],
  [/^Address = .*$/m, 'Address = 1'],
  [/^RatePerS = .*$/m, 'RatePerS = true'],
  [/^MaxLagMs = .*$/m, 'MaxLagMs = "x"'],
];

/** The keys of the file with what became of them; the fields of the result have names of their own. */
function platformOutcome(text: string): unknown {
  return outcome(readPlatformSettings(text), (settings) => ({
    NodeName: settings.name,
    Zone: settings.zone,
    Zones: settings.regions,
    IpAddress: settings.host,
    InternalPortRange: settings.ports,
    SeedNodes: settings.seeds,
    Bootstrap: settings.founding,
    DataPath: settings.folder,
    Machines: settings.lossesBorne,
    PublicHttp: settings.listen.clients,
    Readiness: settings.listen.readiness,
    ControlPlane: settings.listen.operators,
    Address: settings.provider.address,
    RatePerS: settings.provider.callsPerS,
    MaxLagMs: settings.provider.lagMs,
    RetryBudgetRatio: settings.retries.ratio,
    RetryMinExtra: settings.retries.extra,
    GraceInMs: settings.graceMs,
    MemoryMb: settings.memoryMb,
  }));
}

/** What the settings of the programs on a platform come to. */
export function platformSettings(): unknown {
  return {
    all: platformOutcome(PLATFORM_ALL),
    onlyRequired: platformOutcome(PLATFORM_REQUIRED),
    none: platformOutcome(''),
    notToml: platformOutcome('NodeName = '),
    wrong: PLATFORM_WRONG.map(([line, wrong]) => {
      const text = PLATFORM_ALL.replace(line, wrong);
      if (text === PLATFORM_ALL) throw new Error(`${line.source} is no line of the settings`);
      return [line.source, wrong, platformOutcome(text)];
    }),
  };
}
