#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { StandInWorkers, type StandInWorkersSetup } from './stand-in-workers.js';

const cli = meow(
  `
  Stand-in workers, lookups and platform list for trying a fleet.

  Usage
    $ stand-in-workers --setup FILE

  Serves  GET /workers   the platform's list
          GET /report    what the stand-ins saw
          POST /act/WORKER/leave|crash|return|remove|emptied|restored|well|dark|nonsense|early|more|slow
`,
  { importMeta: import.meta, flags: { setup: { type: 'string', isRequired: true } } },
);

interface SetupFile extends Omit<StandInWorkersSetup, 'workers'> {
  readonly sizesMb: Record<string, number>;
  readonly workers: readonly Omit<StandInWorkersSetup['workers'][number], 'sizesMb'>[];
}

const file = JSON.parse(readFileSync(cli.flags.setup, 'utf8')) as SetupFile;
const sizesMb = new Map(Object.entries(file.sizesMb));
const standIns = new StandInWorkers({
  ...file,
  workers: file.workers.map((worker) => ({ ...worker, sizesMb })),
});
await standIns.start();
console.log('standIns is open');
process.on('SIGTERM', () => process.exit(0));
