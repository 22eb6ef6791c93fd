#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { readSpec, specFaultText } from '@rainrun/configuration';
import { parseDay } from '@rainrun/workloads';
import * as v from 'valibot';
import { isSound, survey, type Survey } from './survey.js';

const cli = meow(
  `
  Whether what a day asks for fits a site, and what is lost with each zone.

  Usage
    $ planner --spec FILE --workers FILE --day FILE [--cores ZONE,ZONE,ZONE] [--json]

  Options
    --spec      the spec
    --workers   the platform's list of workers
    --day       a recorded day, or one made by hand
    --cores     the zones in which the cores stand

  Exit codes
    0 all fits, also without any one zone   1 something does not   2 wrong usage, or a file cannot be read
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      spec: { type: 'string', isRequired: true },
      workers: { type: 'string', isRequired: true },
      day: { type: 'string', isRequired: true },
      cores: { type: 'string', default: '' },
      json: { type: 'boolean', default: false },
    },
  },
);

const WorkerListSchema = v.object({
  workers: v.array(v.object({ name: v.string(), zone: v.string(), kind: v.picklist(['model', 'lookup']) })),
});

function fail(message: string): never {
  console.error(`planner: ${message}`);
  process.exit(2);
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (thrown) {
    return fail(String(thrown));
  }
}

function readJson(path: string): unknown {
  try {
    return JSON.parse(readText(path)) as unknown;
  } catch (thrown) {
    return fail(`${path}: not JSON: ${String(thrown)}`);
  }
}

function printSurvey({ catalogueMb, unknown, findings }: Survey): void {
  console.log(`catalogue ${catalogueMb} MB`);
  if (unknown.length > 0) console.log(`asked for and not in the catalogue: ${unknown.join(', ')}`);
  for (const { without, slots, roomMb, unplaced, interrupted, pulls, pullS, agrees } of findings) {
    const state = without === 'all' ? 'whole site' : `without ${without}`;
    console.log(
      `${state}: ${slots} slots, room ${roomMb} MB, ${pulls} pulls in ${pullS} s${agrees === undefined ? '' : agrees ? '' : ', NO majority of cores'}`,
    );
    if (interrupted.length > 0) console.log(`  loaded elsewhere first: ${interrupted.join(', ')}`);
    if (unplaced.length > 0) console.log(`  does not fit: ${unplaced.join(', ')}`);
  }
}

const spec = readSpec(readText(cli.flags.spec));
if (spec.isErr) fail(`${cli.flags.spec}: ${specFaultText(spec.error)}`);
const workerList = v.safeParse(WorkerListSchema, readJson(cli.flags.workers));
if (!workerList.success)
  fail(
    `${cli.flags.workers}: ${workerList.issues.map((issue) => `${v.getDotPath(issue) ?? 'list'}: ${issue.message}`).join('; ')}`,
  );
const day = parseDay(readText(cli.flags.day));
if (day.isErr) fail(`${cli.flags.day}: ${day.error.detail}`);
const cores = cli.flags.cores.split(',').filter((zone) => zone !== '');
const unknownZones = [
  ...new Set([...cores, ...workerList.output.workers.map((worker) => worker.zone)]),
].filter((zone) => !spec.value.zones.includes(zone));
if (unknownZones.length > 0)
  fail(`zones ${unknownZones.join(', ')}: not in the spec, expected ${spec.value.zones.join(', ')}`);
const found = survey(spec.value, workerList.output.workers, day.value.calls, cores);
if (cli.flags.json) console.log(JSON.stringify(found, undefined, 2));
else printSurvey(found);
process.exitCode = isSound(found) ? 0 : 1;
