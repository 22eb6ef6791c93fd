import meow from 'meow';
import { profileOf, PROFILES, runSystemDay, SPANS, SYSTEMS, type Profile } from './system-trial.js';

const cli = meow(
  `
  Runs simulated days of a system of cores, edges and workers over a range of seeds.

  Usage
    $ node packages/simulator/dist/system-seeds.js --from 1 --count 100

  Options
    --from    first seed (default 1)
    --count   how many seeds (default 20)
    --size    small or five (default small)
    --profile emphasis of the days: mixed, changes, partitions, membership, power, placement
              (default by seed), quotas
    --span    whole, short, or long with hundreds of changes (default whole)
    --show    print the timeline of every seed, not only of failing ones
    --brief   print no timeline at all
`,
  {
    importMeta: import.meta,
    flags: {
      from: { type: 'number', default: 1 },
      count: { type: 'number', default: 20 },
      size: { type: 'string', default: 'small', choices: Object.keys(SYSTEMS) },
      profile: { type: 'string', choices: [...PROFILES, 'quotas'] },
      span: { type: 'string', default: 'whole', choices: Object.keys(SPANS) },
      show: { type: 'boolean', default: false },
      brief: { type: 'boolean', default: false },
    },
  },
);

let failed = 0;
let acked = 0;
let loads = 0;
for (let seed = cli.flags.from; seed < cli.flags.from + cli.flags.count; seed += 1) {
  const profile = (cli.flags.profile as Profile | undefined) ?? profileOf(seed);
  const size = SYSTEMS[cli.flags.size as keyof typeof SYSTEMS];
  const result = runSystemDay(seed, size, SPANS[cli.flags.span as keyof typeof SPANS], profile);
  acked += result.acked;
  loads += result.loads;
  if (result.breaches.length > 0) {
    failed += 1;
    console.log(`seed ${seed} (${profile}) FAILED after: ${result.injectedFaults.join('; ')}`);
    for (const { rule, detail, atMs } of result.breaches)
      console.log(`  ${atMs.toFixed(0)} ms  ${rule}: ${detail}`);
  }
  if (!cli.flags.brief && (result.breaches.length > 0 || cli.flags.show)) console.log(result.timeline);
}
console.log(`changes acknowledged ${acked}, loads from the store ${loads}`);
console.log(`seeds: ${cli.flags.count - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
