import { it } from 'node:test';
import { expect } from 'earl';
import { Site, type Machine } from './site.js';
import { trialSpec } from './trial.js';

const SMALL = { cores: 3, edges: 2, workers: 0, zones: ['north', 'east', 'west'] };
const STEPS = ['written', 'renamed', 'synced', 'answered', 'told'] as const;

/**
 * Cuts the power of every node, and optionally wipes the disk of one core (the coordinator or another), at
 * a step of writing the version that an operator waits for, or as the operator is answered. The disk of the
 * third core stalls meanwhile, so that only a bare majority stores the version.
 */
function lose(seed: number, step: (typeof STEPS)[number], leading: boolean, wiped: boolean): string[] {
  const site = new Site(seed, SMALL, 0);
  const { time, net, oracle, machines } = site;
  for (const machine of machines) site.boot(machine);
  time.runUntil(3000);
  const [first, last] = [machines[0], machines[4]] as [Machine, Machine];
  site.submit(first, 'spec.put', { base: 0, text: JSON.stringify(trialSpec(0)) });
  time.runUntil(4000);
  const cores = machines.filter((machine) => machine.disk !== undefined);
  const leader = cores.find((machine) => machine.running?.clusterNode.group.isCoordinator === true) ?? first;
  const [other, third] = cores.filter((machine) => machine !== leader) as [Machine, Machine];
  const victim = leading ? leader : other;
  if (third.disk !== undefined) third.disk.stallUntilMs = time.nowMs() + 2000;
  if (other.disk !== undefined) other.disk.stallUntilMs = time.nowMs() + 600;
  let lostAtMs = 0;
  let outcome = '';
  function injectLoss(): void {
    if (lostAtMs > 0) return;
    lostAtMs = time.nowMs();
    for (const machine of machines) site.kill(machine);
    if (wiped) victim.disk?.wipe();
    if (wiped) victim.address = `${victim.name}:new`;
    time.after(300, () => machines.forEach((machine) => site.boot(machine)));
  }
  for (const machine of [leader, other]) {
    const { disk } = machine;
    if (disk === undefined) continue;
    disk.onStep = (reached, kind) => {
      if (reached === 'renamed') disk.stallUntilMs = time.nowMs() + 250;
      if (machine === victim && reached === step && kind === 'version') injectLoss();
    };
  }
  if (step === 'answered')
    net.tap = (from, frame) =>
      from === other.name && frame.body.case === 'accepted' ? time.after(0, injectLoss) : undefined;
  if (step === 'told') site.onOperationAnswered = injectLoss;
  site.submit(last, 'zone.empty', { zone: 'north' }, (answer) => {
    outcome = answer.kind;
  });
  time.runUntil(14_000);
  const wrong = oracle.breaches.map(({ rule, detail }) => `${rule}: ${detail}`);
  if (lostAtMs === 0) wrong.push('nothing was lost');
  if (site.notConvergedReason() !== undefined) wrong.push(`not back: ${site.notConvergedReason() ?? ''}`);
  const stands = last.running?.clusterNode.state.evacuatedZones.includes('north') === true;
  if (outcome === 'agreed' && !stands) wrong.push('agreed, and gone');
  if (outcome !== '' && outcome !== 'agreed' && stands) wrong.push(`${outcome}, and in force`);
  return wrong.map(
    (text) => `${step}, ${leading ? 'coordinator' : 'other core'}, ${wiped ? 'disk' : 'power'}: ${text}`,
  );
}

it('an agreed operation survives a loss of power or of one disk at each step of its write and answer', () => {
  const wrong = [1, 2].flatMap((seed) =>
    STEPS.flatMap((step) =>
      [true, false].flatMap((leading) => [true, false].flatMap((wiped) => lose(seed, step, leading, wiped))),
    ),
  );
  expect(wrong).toEqual([]);
});
