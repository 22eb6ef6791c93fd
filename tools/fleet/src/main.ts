#!/usr/bin/env node
import { setTimeout as pause } from 'node:timers/promises';
import { existsSync, readFileSync, writeFileSync, mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import meow from 'meow';
import { compare, LoadGenerator, type LoadReport } from '@rainrun/load-generator';
import type { Report } from '@rainrun/stand-in-workers';
import { checkEveryNode } from './everywhere.js';
import { Fleet } from './fleet.js';
import { checkBadRequests } from './bad-requests.js';
import { Trial, type TrialReport } from './trial.js';
import { Relay } from './relay.js';
import { exampleSpec, generateDay, generateOverload, parseDay, SHAPES, type Shape } from '@rainrun/workloads';

const cli = meow(
  `
  A whole fleet on one machine, each node a process of its own.

  Usage
    $ fleet start --shape vejsargs     start it and leave it running until Ctrl-C
    $ fleet run --shape malabon        start, serve the example day after 12 s, report, stop
    $ fleet trial --shape small        failures, one after the other, while visitors call
    $ fleet cuts --shape small         cuts between the nodes, cores replaced, a zone lost
    $ fleet flood --shape vejsargs     the day alone, then beside a flood from its last group
    $ fleet rollout --other FOLDER     from the build in another checkout to this one and back, under load
    $ fleet routes --shape vejsargs    specs that grow to thousands of routes
    $ fleet smoke                      a short run of a small fleet, for tests
    $ fleet examples                   write the example specs and days anew

  Options
    --shape     vejsargs, malabon or small   (default small)
    --folder    where settings, data and logs go   (default: a new one)
    --port      the ports after this one are used  (default 21000)
    --day       another recorded day to serve
    --other     another checkout, built, to roll out from
    --speed     how fast to serve it (default 1)

  Exit codes
    0 well   1 a breach, a failure, or too few served   2 wrong usage
`,
  {
    importMeta: import.meta,
    flags: {
      shape: { type: 'string', default: 'small', choices: Object.keys(SHAPES) },
      folder: { type: 'string' },
      port: { type: 'number', default: 21_000 },
      day: { type: 'string' },
      other: { type: 'string' },
      speed: { type: 'number', default: 1 },
    },
  },
);

const TRAFFIC_START_MS = 12_000;

/** Polls a condition every 100 ms; returns false if it does not hold within `waitMs`. */
async function waitUntil(waitMs: number, condition: () => Promise<boolean>): Promise<boolean> {
  const endMs = performance.now() + waitMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await pause(100);
  }
  return false;
}

function printReport(report: LoadReport, workers: Report, breaches: readonly string[]): void {
  console.log('outcomes', JSON.stringify(report.outcomes));
  console.table(report.byKind);
  console.log('workers', JSON.stringify(workers.counts));
  console.log(`retries per first send are bounded by the nodes; breaches: ${breaches.length}`);
  for (const breach of breaches.slice(0, 20)) console.log(`  ${breach}`);
}

/** Starts a fleet and applies the example spec; returns the reason if it is not ready for traffic in time. */
async function bringUp(fleet: Fleet, shape: Shape): Promise<string | undefined> {
  const first = fleet.nodes[0];
  if (first === undefined) return 'no nodes';
  await fleet.start();
  const complete = await waitUntil(TRAFFIC_START_MS, async () => {
    const { body } = await fleet.ask(first.http, 'GET', '/rainrun/v1/view');
    return ((body as { members?: unknown[] }).members ?? []).length === fleet.nodes.length;
  });
  if (!complete) return 'the view is not whole after 12 s';
  const put = await fleet.ask(first.http, 'PUT', '/rainrun/v1/spec', {
    base: 0,
    text: JSON.stringify(exampleSpec(shape), undefined, 2),
  });
  if (put.status !== 200) return `the spec was not agreed: ${JSON.stringify(put.body)}`;
  const ready = await waitUntil(2000, async () => {
    const replies = await Promise.all(
      fleet.edges.map((edge) => fleet.ask(edge.http, 'GET', '/rainrun/v1/ready')),
    );
    return replies.every((reply) => reply.status === 200);
  });
  return ready ? undefined : 'the spec is not in force everywhere after 2 s';
}

type CounterRow = Record<string, number | string>;

/** Sums the nodes' resource counters by role, so that two readings can be subtracted. */
async function readCosts(fleet: Fleet): Promise<Record<'edge' | 'core', CounterRow>> {
  const { body } = await fleet.ask(fleet.nodes[0]?.http ?? '', 'GET', '/rainrun/v1/counters');
  const sums: Record<'edge' | 'core', CounterRow> = { edge: {}, core: {} };
  for (const row of (body as { counters?: CounterRow[] }).counters ?? []) {
    const role = fleet.nodes.find((node) => node.name === row['node'])?.core === true ? 'core' : 'edge';
    for (const key of ['cpuMs', 'bytesOut', 'framesOut', 'heldMb'])
      sums[role][key] = Number(sums[role][key] ?? 0) + Number(row[key] ?? 0);
  }
  return sums;
}

function printCosts(
  fleet: Fleet,
  before: Record<'edge' | 'core', CounterRow>,
  after: Record<'edge' | 'core', CounterRow>,
  served: number,
  seconds: number,
): void {
  for (const role of ['edge', 'core'] as const) {
    const nodes = fleet.nodes.filter((node) => node.core === (role === 'core')).length;
    function spent(key: string): number {
      return Number(after[role][key] ?? 0) - Number(before[role][key] ?? 0);
    }
    const cpu = `CPU ${(spent('cpuMs') / served).toFixed(2)} ms a request, ${(spent('cpuMs') / 10 / seconds / nodes).toFixed(1)} % of one processor each`;
    const wire = `${(spent('bytesOut') / 1000 / seconds / nodes).toFixed(1)} kB and ${(spent('framesOut') / seconds / nodes).toFixed(0)} frames a second each between nodes`;
    console.log(
      `${role}s: ${cpu}; ${wire}; ${(Number(after[role]['heldMb'] ?? 0) / nodes).toFixed(0)} MB each`,
    );
  }
}

async function serveDay(
  fleet: Fleet,
  shape: Shape,
  dayText: string,
  speed: number,
  after: (report: LoadReport) => Promise<string[]> = () => Promise.resolve([]),
): Promise<number> {
  const beganMs = performance.now();
  const failure = await bringUp(fleet, shape);
  if (failure !== undefined) {
    console.error(`fleet: ${failure}`);
    return 1;
  }
  console.log(`ready after ${((performance.now() - beganMs) / 1000).toFixed(1)} s`);
  const day = parseDay(dayText);
  if (day.isErr) {
    console.error(`fleet: the day cannot be read: ${day.error.detail}`);
    return 1;
  }
  await pause(Math.max(0, TRAFFIC_START_MS - (performance.now() - beganMs)));
  const [costsBefore, playedMs] = [await readCosts(fleet), performance.now()];
  const report = await new LoadGenerator(fleet.edges.map((edge) => edge.http)).play(day.value.calls, speed);
  const seconds = (performance.now() - playedMs) / 1000;
  const costsAfter = await readCosts(fleet);
  const workers = (await fleet.ask(fleet.platform, 'GET', '/report')).body as Report;
  const breaches = [...report.breaches, ...workers.breaches, ...compare(report.seen, workers.runs)];
  printReport(report, workers, breaches);
  const served = report.outcomes['served'] ?? 0;
  const ratio = served / Math.max(1, report.seen.length);
  printCosts(fleet, costsBefore, costsAfter, Math.max(1, served), seconds);
  console.log(`served ${served} of ${report.seen.length} (${(100 * ratio).toFixed(2)} %)`);
  const faults = await after(report);
  for (const fault of faults) console.error(`fleet: ${fault}`);
  return breaches.length === 0 && ratio > 0.95 && faults.length === 0 ? 0 : 1;
}

const FLOOD_S = 25;
const FLOOD_PER_S = 150;

/** Plays the same traffic twice: alone, and together with a flood of requests from one group. */
async function runFlood(fleet: Fleet, shape: Shape): Promise<number> {
  const failure = await bringUp(fleet, shape);
  if (failure !== undefined) {
    console.error(`fleet: ${failure}`);
    return 1;
  }
  const group = shape.kinds.at(-1)?.group ?? '';
  const edges = fleet.edges.map((edge) => edge.http);
  const day = parseDay(generateDay(shape, FLOOD_S, 1));
  const floodDay = parseDay(generateOverload(shape, group, FLOOD_PER_S, FLOOD_S, 2));
  if (day.isErr || floodDay.isErr) return 1;
  await pause(25_000);
  const alone = await new LoadGenerator(edges).play(day.value.calls, 1);
  await pause(3000);
  const [beside, flooded] = await Promise.all([
    new LoadGenerator(edges).play(day.value.calls, 1),
    new LoadGenerator(edges).play(floodDay.value.calls, 1),
  ]);
  const workers = (await fleet.ask(fleet.platform, 'GET', '/report')).body as Report;
  const breaches = [alone, beside, flooded].flatMap((report) => [
    ...report.breaches,
    ...compare(report.seen, workers.runs),
  ]);
  console.log('alone');
  printReport(alone, workers, breaches);
  console.log(`beside a flood of ${FLOOD_PER_S} a second from ${group}`);
  printReport(beside, workers, breaches);
  console.log('the flood', JSON.stringify(flooded.outcomes), JSON.stringify(flooded.byKind));
  return breaches.length + workers.breaches.length === 0 ? 0 : 1;
}

/** Serves valid traffic, then tries every command at every node, then invalid requests. */
function runSmoke(fleet: Fleet, shape: Shape): Promise<number> {
  return serveDay(fleet, shape, generateDay(shape, 10, 1), 1, async (report) => {
    const nodeFaults = await checkEveryNode(
      fleet,
      report.seen.find((seen) => seen.outcome === 'served')?.id ?? '',
    );
    console.log(
      `every command at every node: ${nodeFaults.length === 0 ? 'the same answers' : `${nodeFaults.length} faults`}`,
    );
    const inputFaults = await checkBadRequests(fleet);
    console.log(
      `bad input: ${inputFaults.length === 0 ? 'answered as it should be' : `${inputFaults.length} faults`}`,
    );
    return [...nodeFaults, ...inputFaults];
  });
}

const ROUTE_COUNTS = [100, 1000, 5000, 10_000];

/**
 * Applies specs with more and more routes, and measures for each the time until it is agreed, the time until
 * it is in force at every node, and the latency of its last route.
 */
async function measureRoutes(fleet: Fleet, shape: Shape): Promise<number> {
  const failure = await bringUp(fleet, shape);
  if (failure !== undefined) {
    console.error(`fleet: ${failure}`);
    return 1;
  }
  const spec = exampleSpec(shape) as { routes: object[] };
  let slowestMs = 0;
  console.log('routes  bytes    agreed after ms  in force everywhere after ms  lookup p50 ms');
  for (const [index, count] of ROUTE_COUNTS.entries()) {
    const extraRoutes = Array.from({ length: count }, (_, at) => ({
      path: `/v1/many/${at}`,
      serve: 'lookup',
      pool: shape.pool,
    }));
    const text = JSON.stringify({ ...spec, routes: [...spec.routes, ...extraRoutes].slice(-count) });
    const node = fleet.nodes[index % fleet.nodes.length];
    const beganMs = performance.now();
    const put = await fleet.ask(node?.http ?? '', 'PUT', '/rainrun/v1/spec', { text });
    const agreedMs = performance.now() - beganMs;
    if (put.status !== 200)
      console.error(`fleet: ${count} routes: ${JSON.stringify(put.body).slice(0, 200)}`);
    const version = (put.body as { detail?: string }).detail;
    const inForce = await waitUntil(5000, async () => {
      const replies = await Promise.all(
        fleet.nodes.map((one) => fleet.ask(one.http, 'GET', '/rainrun/v1/spec/history')),
      );
      return replies.every(
        ({ body }) =>
          `version ${(body as { history: { version: number }[] }).history.at(-1)?.version ?? 0}` === version,
      );
    });
    const forceMs = inForce ? performance.now() - beganMs : Infinity;
    slowestMs = Math.max(slowestMs, forceMs);
    const times: number[] = [];
    for (let at = 0; at < 50; at += 1) {
      const askedMs = performance.now();
      await fetch(`http://${fleet.edges[0]?.http ?? ''}/v1/many/${count - 1}/x`, {
        headers: { 'rainrun-group': shape.lookupGroup },
      }).then((reply) => reply.text());
      times.push(performance.now() - askedMs);
    }
    times.sort((one, other) => one - other);
    console.log(
      `${count}  ${Buffer.byteLength(text)}  ${agreedMs.toFixed(0)}  ${forceMs.toFixed(0)}  ${(times[25] ?? 0).toFixed(1)}`,
    );
  }
  return slowestMs <= 2000 ? 0 : 1;
}

/** Serves traffic while a trial runs, and reports the breaches of both; the exit code is 0 without any. */
async function runTrial(
  fleet: Fleet,
  shape: Shape,
  task: (trial: Trial) => Promise<TrialReport>,
  relay?: Relay,
): Promise<number> {
  const failure = await bringUp(fleet, shape);
  if (failure !== undefined) {
    console.error(`fleet: ${failure}`);
    return 1;
  }
  await pause(10_000);
  const loadGenerator = new LoadGenerator(fleet.edges.map((edge) => edge.http));
  const trial = new Trial(fleet, loadGenerator, relay);
  const day = parseDay(generateDay(shape, 600, 1));
  if (day.isErr) return 1;
  const playing = loadGenerator.play(day.value.calls, 1);
  await pause(2000);
  const result = await task(trial);
  loadGenerator.stop();
  const report = await playing;
  const workers = (await fleet.ask(fleet.platform, 'GET', '/report')).body as Report;
  const breaches = [
    ...report.breaches,
    ...workers.breaches,
    ...compare(report.seen, workers.runs),
    ...result.faults,
    ...trial.lostInPlannedStops(report),
  ];
  printReport(report, workers, breaches);
  for (const line of result.lines) console.log(line);
  return breaches.length === 0 ? 0 : 1;
}

/** Starts the nodes from another build and rolls them to this build and back, one by one, under load. */
function rollOut(shape: Shape, other: string | undefined): Promise<number> {
  if (other === undefined) {
    console.error('fleet: rollout needs --other, a checkout that is built');
    return Promise.resolve(2);
  }
  return withFleet(shape, (fleet) => {
    const thisBuild = fleet.build;
    fleet.build = resolve(other);
    return runTrial(fleet, shape, (trial) => trial.runRollOut(thisBuild));
  });
}

/** Runs the trial of network cuts on a fleet whose nodes are connected through a relay. */
async function runCuts(shape: Shape): Promise<number> {
  const relay = new Relay();
  const code = await withFleet(
    shape,
    (fleet) => runTrial(fleet, shape, (trial) => trial.runCuts(), relay),
    relay,
  );
  relay.close();
  return code;
}

async function withFleet(
  shape: Shape,
  task: (fleet: Fleet) => Promise<number>,
  relay?: Relay,
): Promise<number> {
  const folder = cli.flags.folder ?? mkdtempSync(join(tmpdir(), 'rainrun-'));
  const fleet = new Fleet(shape, folder, cli.flags.port, relay);
  let code = 1;
  try {
    code = await task(fleet);
  } finally {
    const codes = await fleet.stop();
    const bad = Object.entries(codes).filter(([, exit]) => exit !== 0);
    for (const [name, exit] of bad) console.error(`fleet: ${name} ended with ${exit}`);
    if (bad.length > 0) code = 1;
    if (code === 0 && cli.flags.folder === undefined) rmSync(folder, { recursive: true });
    else console.log(`settings, data and logs are in ${folder}`);
  }
  return code;
}

function loadDay(shape: Shape): string {
  return cli.flags.day === undefined ? generateDay(shape, 40, 1) : readFileSync(cli.flags.day, 'utf8');
}

function untilSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function keepRunning(fleet: Fleet, shape: Shape): Promise<number> {
  const failure = await bringUp(fleet, shape);
  if (failure !== undefined) console.error(`fleet: ${failure}`);
  for (const node of fleet.nodes) console.log(`${node.name.padEnd(10)} ${node.zone.padEnd(10)} ${node.http}`);
  console.log(`platform   ${fleet.platform}`);
  await untilSignal();
  return failure === undefined ? 0 : 1;
}

function writeExamples(): number {
  for (const name of ['vejsargs', 'malabon']) {
    const shape = SHAPES[name];
    if (shape === undefined) continue;
    mkdirSync(join('examples', name), { recursive: true });
    writeFileSync(
      join('examples', name, 'spec.json'),
      `${JSON.stringify(exampleSpec(shape), undefined, 2)}\n`,
    );
    writeFileSync(join('examples', name, 'day.jsonl'), generateDay(shape, 40, 1));
  }
  return 0;
}

/** Describes the first flag whose value is invalid, or returns undefined. */
function badFlag(): string | undefined {
  const { port, speed, day, other } = cli.flags;
  if (!Number.isInteger(port) || port < 1024 || port > 65_000)
    return `--port: found ${port}, expected a whole number from 1024 to 65000`;
  if (!(speed > 0) || speed > 1000) return `--speed: found ${speed}, expected above 0 and at most 1000`;
  if (day !== undefined && !existsSync(day)) return `--day: found "${day}", expected a file`;
  if (other !== undefined && !existsSync(join(other, 'programs', 'edge', 'dist', 'main.js')))
    return `--other: found "${other}", expected a checkout that is built`;
  return undefined;
}

async function main(): Promise<number> {
  const bad = badFlag();
  if (bad !== undefined) {
    console.error(`fleet: ${bad}`);
    return 2;
  }
  const shape = SHAPES[cli.flags.shape];
  if (shape === undefined) return 2;
  switch (cli.input[0]) {
    case 'start':
      return withFleet(shape, (fleet) => keepRunning(fleet, shape));
    case 'run':
      return withFleet(shape, (fleet) => serveDay(fleet, shape, loadDay(shape), cli.flags.speed));
    case 'trial':
      return withFleet(shape, (fleet) => runTrial(fleet, shape, (trial) => trial.run()));
    case 'cuts':
      return runCuts(shape);
    case 'rollout':
      return rollOut(shape, cli.flags.other);
    case 'flood':
      return withFleet(shape, (fleet) => runFlood(fleet, shape));
    case 'routes':
      return withFleet(shape, (fleet) => measureRoutes(fleet, shape));
    case 'smoke':
      return withFleet(SHAPES['small'] ?? shape, (fleet) => runSmoke(fleet, SHAPES['small'] ?? shape));
    case 'examples':
      return writeExamples();
    default:
      console.error(
        'fleet: start, run, trial, cuts, flood, routes, rollout, smoke or examples; see fleet --help',
      );
      return 2;
  }
}

process.exitCode = await main();
