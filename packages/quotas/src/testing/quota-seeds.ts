/**
 * Command that runs quota trials over a range of seeds, optionally with a mutant, and prints the oracles'
 * results.
 */
import { parseArgs } from 'node:util';
import { MUTANTS } from './mutants.js';
import { runQuotaTrial } from './quota-trial.js';
import { RefusalTotals } from './refusal-totals.js';

const { values } = parseArgs({
  options: {
    from: { type: 'string', default: '1' },
    count: { type: 'string', default: '100' },
    mutant: { type: 'string' },
  },
});
const first = Number(values.from);
const count = Number(values.count);
const mutant = MUTANTS.find((known) => known === values.mutant);
const totals = { light: new RefusalTotals(), nearLimit: new RefusalTotals() };
let failed = 0;
let sent = 0;
let peakUsage = 0;
for (let seed = first; seed < first + count; seed += 1) {
  const result = runQuotaTrial(seed, mutant);
  sent += result.sent;
  peakUsage = Math.max(peakUsage, result.peakUsage);
  totals.light.add(result.light);
  totals.nearLimit.add(result.nearLimit);
  const [breach] = result.breaches;
  if (breach === undefined) continue;
  failed += 1;
  console.log(`seed ${seed} FAILED after: ${result.faults.join('; ')}`);
  console.log(`  ${breach.atMs.toFixed(0)} ms  ${breach.tenant}: ${breach.sent} sent, bound ${breach.bound}`);
}
console.log(`requests sent ${sent}, fullest window ${(100 * peakUsage).toFixed(1)} % of its bound`);
console.log('below the limit, up to a half of it:', totals.light.report());
console.log('below the limit, 85 to 90 % of it:  ', totals.nearLimit.report());
console.log(`quota trials: ${count - failed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
