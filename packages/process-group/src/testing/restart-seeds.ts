/** Command: runs restart trials for a range of seeds and prints the trials that fail. */
import { parseArgs } from 'node:util';
import { RECOVERY_BOUND_MS, runRestartTrial } from './restart-trial.js';

const { values } = parseArgs({
  options: {
    from: { type: 'string', default: '1' },
    count: { type: 'string', default: '100' },
  },
});
const first = Number(values.from);
const count = Number(values.count);
const recoveries: number[] = [];
let failed = 0;
for (let seed = first; seed < first + count; seed += 1) {
  const { events, lost, recoveredMs } = runRestartTrial(seed);
  recoveries.push(recoveredMs);
  if (recoveredMs <= RECOVERY_BOUND_MS && lost.length === 0) continue;
  failed += 1;
  console.log(
    `seed ${seed} FAILED: recovered after ${recoveredMs} ms, lost ${lost.length}: ${events.join('; ')}`,
  );
}
recoveries.sort((one, other) => one - other);
const median = recoveries[Math.floor(recoveries.length / 2)] ?? 0;
const p95 = recoveries[Math.floor(recoveries.length * 0.95)] ?? 0;
console.log(`recovered after ms: median ${median}, p95 ${p95}, worst ${recoveries.at(-1) ?? 0}`);
console.log(`restart trials: ${count - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
