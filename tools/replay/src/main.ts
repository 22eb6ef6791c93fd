#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { request } from 'undici';
import { LoadGenerator, type Seen } from '@rainrun/load-generator';
import { readSpec, specFaultText } from '@rainrun/configuration';
import { replayDay } from '@rainrun/simulator';
import { parseDay, SHAPES, type RecordedCall, type Shape } from '@rainrun/workloads';
import { compareReplay, type ReplayedCall } from './compare.js';

const cli = meow(
  `
  Plays a recorded day against a running fleet, or in the simulator, and
  reports what differs.

  Usage
    $ replay --day FILE --edges IP:PORT[,IP:PORT] [--speed 2] [--stand-ins]
    $ replay --day FILE --simulate SHAPE [--spec FILE] [--seed 1]

  Options
    --speed       how fast to play it (default 1)
    --simulate    vejsargs, malabon or small: the size of the simulated deployment
    --spec        the spec to simulate, instead of the example of that deployment
    --seed        chance in the simulator (default 1)
    --stand-ins   the workers are stand-ins: check every answer too

  Exit codes
    0 the same outcomes   1 some differ   2 wrong usage, or the day cannot be read
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      day: { type: 'string', isRequired: true },
      edges: { type: 'string' },
      simulate: { type: 'string', choices: Object.keys(SHAPES) },
      spec: { type: 'string' },
      seed: { type: 'number', default: 1 },
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

async function fetchWorkerOf(seen: Seen): Promise<string | undefined> {
  if (seen.id === '') return undefined;
  try {
    const reply = await request(`http://${seen.edge}/rainrun/v1/explain/requests/${seen.id}`, {
      headersTimeout: 5000,
    });
    const body = (await reply.body.json()) as { worker?: string };
    return reply.statusCode === 200 ? body.worker : undefined;
  } catch {
    return undefined;
  }
}

function failUsage(message: string): never {
  console.error(`replay: ${message}`);
  process.exit(2);
}

/** Replays the day against a running fleet. */
async function replayOnFleet(calls: readonly RecordedCall[], edges: string): Promise<ReplayResult> {
  const report = await new LoadGenerator(edges.split(','), cli.flags.standIns).play(calls, cli.flags.speed);
  const replayed: ReplayedCall[] = [];
  for (const seen of report.seen) replayed.push({ seen, worker: await fetchWorkerOf(seen) });
  return { replayed, breaches: report.breaches };
}

/** Replays the day in the simulator, which runs the same code in virtual time. */
function replayInSimulator(calls: readonly RecordedCall[], shape: Shape): ReplayResult {
  let options: { seed: number; spec?: object } = { seed: cli.flags.seed };
  if (cli.flags.spec !== undefined) {
    const spec = readSpec(readText(cli.flags.spec));
    if (spec.isErr) failUsage(`${cli.flags.spec}: ${specFaultText(spec.error)}`);
    options = { ...options, spec: spec.value };
  }
  const { seen, breaches } = replayDay(shape, calls, options);
  const replayed = seen.map(({ call, outcome, firstPieceMs, worker }): ReplayedCall => ({
    seen: { call, outcome, firstPieceMs, id: '', ran: 'maybe', wholeMs: 0, beganMs: call.atMs, edge: '' },
    worker: worker === '' ? undefined : worker,
  }));
  return { replayed, breaches };
}

interface ReplayResult {
  readonly replayed: readonly ReplayedCall[];
  readonly breaches: readonly string[];
}

function countOutcomes(replayed: readonly ReplayedCall[]): Record<string, number> {
  const outcomes: Record<string, number> = {};
  for (const { seen } of replayed) outcomes[seen.outcome] = (outcomes[seen.outcome] ?? 0) + 1;
  return outcomes;
}

const { day: path, edges, simulate, speed } = cli.flags;
const day = parseDay(readText(path));
if (day.isErr) failUsage(`${path}: ${day.error.detail}`);
if (!(speed > 0)) failUsage('--speed must be above 0');
const shape = SHAPES[simulate ?? ''];
if ((edges === undefined) === (shape === undefined)) failUsage('either --edges or --simulate is needed');
const { replayed, breaches } =
  shape === undefined
    ? await replayOnFleet(day.value.calls, edges ?? '')
    : replayInSimulator(day.value.calls, shape);
const found = compareReplay(replayed);
console.log(JSON.stringify({ outcomesNow: countOutcomes(replayed), ...found, breaches }, undefined, 2));
process.exitCode = Object.keys(found.outcomes).length + breaches.length === 0 ? 0 : 1;
