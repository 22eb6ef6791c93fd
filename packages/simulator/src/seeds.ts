import meow from 'meow';
import { runTrial, SITE_SIZES } from './trial.js';

const cli = meow(
  `
  Runs the simulator over a row of seeds.

  Usage
    $ node packages/simulator/dist/seeds.js --from 1 --count 100

  Options
    --from    first seed (default 1)
    --count   how many seeds (default 20)
    --site    small, vejsargs or malabon (default small)
    --show    print the timeline of every seed, not only of failing ones
`,
  {
    importMeta: import.meta,
    flags: {
      from: { type: 'number', default: 1 },
      site: { type: 'string', default: 'small', choices: Object.keys(SITE_SIZES) },
      count: { type: 'number', default: 20 },
      show: { type: 'boolean', default: false },
    },
  },
);

let failed = 0;
let slowestMs = 0;
let agreed = 0;
let versions = 0;
let casts = 0;
let served = 0;
let refused = 0;
let unknown = 0;
let cuts = 0;
const refusals: Record<string, number> = {};
for (let seed = cli.flags.from; seed < cli.flags.from + cli.flags.count; seed += 1) {
  const result = runTrial(seed, SITE_SIZES[cli.flags.site as keyof typeof SITE_SIZES]);
  slowestMs = Math.max(slowestMs, result.recoveredMs);
  agreed += result.agreed;
  versions += result.versions;
  casts += result.casts;
  served += result.served;
  refused += result.refused;
  unknown += result.unknown;
  cuts += result.cuts;
  for (const [kind, count] of Object.entries(result.refusals)) refusals[kind] = (refusals[kind] ?? 0) + count;
  if (result.breaches.length > 0) {
    failed += 1;
    console.log(`seed ${seed} FAILED after: ${result.faults.join('; ')}`);
    for (const { rule, detail, atMs } of result.breaches)
      console.log(`  ${atMs.toFixed(0)} ms  ${rule}: ${detail}`);
  }
  if (result.breaches.length > 0 || cli.flags.show) console.log(result.timeline);
}
console.log(
  `operations answered ${agreed}, versions delivered ${versions}, casts delivered ${casts}, slowest recovery ${slowestMs.toFixed(0)} ms`,
);
console.log(
  `requests served ${served}, refused ${refused} ${JSON.stringify(refusals)}, of unknown outcome ${unknown}, streams cut ${cuts}`,
);
console.log(`seeds: ${cli.flags.count - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
