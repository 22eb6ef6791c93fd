#!/usr/bin/env node
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import meow from 'meow';
import { faultsOf } from './check.js';
import { Run } from './run.js';
import type { Point, Unsettled } from './point.js';
import { readSizes } from './sizes.js';
import { plots } from './plot.js';
import { tableOf } from './table.js';

const cli = meow(
  `
  What each role costs by the size of the fleet: three cores and one edge as real
  programs, the other edges hollow, the workers behind one stand-in; loopback only.

  Usage
    $ scale --sizes 16,64,256

  Options
    --sizes      edges of each run, or EDGESxWORKERS; workers in the letter's ratio otherwise
    --models     models of the site (400)
    --adapters   adapters of the site (4500)
    --routes     routes of the site (200)
    --asked      models that each edge asks for all the time (20)
    --seconds    length of each phase (10)
    --changes    by so much changes come faster than 10,000 a day (10)
    --restarts   by so much restarts come faster than 845 a day (100)
    --most-mb    a run ends when its processes hold more (10000)
    --kept-by    one in so many hollow edges keeps the table's rows, the others only are told them (1)
    --port       first of six ports on 127.77.0.0/16 (23100)
    --out        file for the points, as JSON
    --from       instead of a run: files of points, with commas between
    --plots      folder for one plot a slope, as SVG
    --profile    instead: where the coordinator's time goes while edges join, rest and ask
    --check      fail when a count is off
    --keep       keep the folder with logs and disks, and say where it is

  Exit codes
    0 every size was played   1 one was not, or a count is off   2 wrong usage
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      sizes: { type: 'string', default: '8,16' },
      models: { type: 'number', default: 400 },
      adapters: { type: 'number', default: 4500 },
      routes: { type: 'number', default: 200 },
      asked: { type: 'number', default: 20 },
      seconds: { type: 'number', default: 10 },
      changes: { type: 'number', default: 10 },
      restarts: { type: 'number', default: 100 },
      mostMb: { type: 'number', default: 10_000 },
      keptBy: { type: 'number', default: 1 },
      port: { type: 'number', default: 23_100 },
      out: { type: 'string', default: '' },
      from: { type: 'string', default: '' },
      plots: { type: 'string', default: '' },
      profile: { type: 'boolean', default: false },
      check: { type: 'boolean', default: false },
      keep: { type: 'boolean', default: false },
    },
  },
);

const { models, adapters, routes, asked, seconds, changes, restarts, mostMb, keptBy, port, out, keep } =
  cli.flags;
const sizes = readSizes(cli.flags.sizes, { models, adapters, routes, asked });
if (typeof sizes === 'string') {
  console.error(`scale: ${sizes}`);
  process.exit(2);
}
const folder = mkdtempSync(join(tmpdir(), 'scale-'));
const points: Point[] = [];
const unsettled: Unsettled[] = [];
/** Functions with a smaller share of the total time are not listed. */
const MIN_LISTED_SHARE = 0.02;
for (const path of cli.flags.from === '' ? [] : cli.flags.from.split(',')) {
  const found = JSON.parse(readFileSync(path, 'utf8')) as { points: Point[]; unsettled: Unsettled[] };
  points.push(...found.points);
  unsettled.push(...found.unsettled);
}
for (const [nth, size] of cli.flags.from === '' ? sizes.entries() : []) {
  console.error(`${size.nodes} edges, ${size.rows} workers`);
  const run = new Run(size, {
    port,
    folder: join(folder, String(nth)),
    seconds,
    changesFactor: changes,
    restartsFactor: restarts,
    mostMb,
    keptBy,
    print: (text) => console.error(text),
  });
  try {
    if (cli.flags.profile) {
      for (const { name, selfShare, totalShare } of await run.profile())
        if (totalShare >= MIN_LISTED_SHARE)
          console.log(
            `${(100 * totalShare).toFixed(1).padStart(6)} % whole ${(100 * selfShare).toFixed(1).padStart(6)} % alone  ${name}`,
          );
      continue;
    }
    const result = await run.measure();
    if ('quiet' in result) points.push(result);
    else unsettled.push(result);
  } catch (thrown) {
    console.error(`scale: ${size.nodes}x${size.rows} was not played to its end: ${String(thrown)}`);
    process.exitCode = 1;
  }
  if (out !== '')
    writeFileSync(
      out,
      `{"points":[\n${points.map((point) => JSON.stringify(point)).join(',\n')}\n],"unsettled":${JSON.stringify(unsettled)}}\n`,
    );
}
if (cli.flags.plots !== '') mkdirSync(cli.flags.plots, { recursive: true });
if (cli.flags.plots !== '')
  for (const [name, svg] of plots(points)) writeFileSync(join(cli.flags.plots, `${name}.svg`), svg);
if (points.length > 0) console.log(tableOf(points));
for (const {
  size,
  join: { times, phase },
} of unsettled) {
  console.log(
    `${size.nodes}x${size.rows}: not settled; ${times.count} of ${size.nodes - 1} followers ready, coordinator ${phase.coordinator.cpuMsPerS.toFixed(0)} ms/s`,
  );
}
if (cli.flags.check) {
  for (const fault of [
    ...faultsOf(points),
    ...unsettled.map(({ size }) => `${size.nodes}x${size.rows}: not settled`),
  ]) {
    console.error(`scale: ${fault}`);
    process.exitCode = 1;
  }
}
if (keep) console.error(`logs and disks: ${folder}`);
else rmSync(folder, { recursive: true });
