#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { parseDay } from '@rainrun/workloads';
import { LoadGenerator } from './load-generator.js';

const cli = meow(
  `
  Stand-in visitors that check their answers.

  Usage
    $ load-generator --day FILE --edges IP:PORT[,IP:PORT] [--speed 2]
`,
  {
    importMeta: import.meta,
    flags: {
      day: { type: 'string', isRequired: true },
      edges: { type: 'string', isRequired: true },
      speed: { type: 'number', default: 1 },
    },
  },
);

const day = parseDay(readFileSync(cli.flags.day, 'utf8'));
if (day.isErr) {
  console.error(`load-generator: ${cli.flags.day}: ${day.error.detail}`);
  process.exit(2);
}
const report = await new LoadGenerator(cli.flags.edges.split(',')).play(day.value.calls, cli.flags.speed);
console.log(
  JSON.stringify(
    { outcomes: report.outcomes, byKind: report.byKind, breaches: report.breaches },
    undefined,
    2,
  ),
);
process.exitCode = report.breaches.length === 0 ? 0 : 1;
