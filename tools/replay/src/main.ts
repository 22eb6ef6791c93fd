#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { request } from 'undici';
import { Crowd, type Seen } from '@rainrun/crowd';
import { readDay } from '@rainrun/playbill';
import { differences, type Replayed } from './compare.js';

const cli = meow(
  `
  Plays a recorded day against a running fleet and reports what differs.

  Usage
    $ replay --day FILE --edges IP:PORT[,IP:PORT] [--speed 2] [--stand-ins]

  Options
    --speed       how fast to play it (default 1)
    --stand-ins   the workers are stand-ins: check every answer too

  Exit codes
    0 the same outcomes   1 some differ   2 wrong usage, or the day cannot be read
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      day: { type: 'string', isRequired: true },
      edges: { type: 'string', isRequired: true },
      speed: { type: 'number', default: 1 },
      standIns: { type: 'boolean', default: false },
    },
  },
);

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (thrown) {
    console.error(`replay: ${String(thrown)}`);
    return process.exit(2);
  }
}

async function workerOf(seen: Seen): Promise<string | undefined> {
  if (seen.id === '') return undefined;
  try {
    const reply = await request(`http://${seen.edge}/rainrun/v1/explain/requests/${seen.id}`, { headersTimeout: 5000 });
    const body = (await reply.body.json()) as { worker?: string };
    return reply.statusCode === 200 ? body.worker : undefined;
  } catch {
    return undefined;
  }
}

const day = readDay(readText(cli.flags.day));
if (day.isErr) {
  console.error(`replay: ${cli.flags.day}: ${day.error.detail}`);
  process.exit(2);
}
if (!(cli.flags.speed > 0)) {
  console.error('replay: --speed must be above 0');
  process.exit(2);
}
const report = await new Crowd(cli.flags.edges.split(','), cli.flags.standIns).play(day.value.calls, cli.flags.speed);
const replayed: Replayed[] = [];
for (const seen of report.seen) replayed.push({ seen, worker: await workerOf(seen) });
const found = differences(replayed);
console.log(JSON.stringify({ outcomesNow: report.outcomes, ...found, breaches: report.breaches }, undefined, 2));
process.exitCode = Object.keys(found.outcomes).length + report.breaches.length === 0 ? 0 : 1;
