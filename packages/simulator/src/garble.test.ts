import { it } from 'node:test';
import { encodeFrame, decodeFrame } from '@rainrun/messages';
import { SeededRandom } from '@rainrun/common';
import { expect } from 'earl';
import { SITE_SIZES, trialSpec } from './trial.js';
import { Site } from './site.js';

it('corrupted frames that still decode never crash a node', () => {
  const site = new Site(5, SITE_SIZES.small, 0);
  const rng = new SeededRandom(99);
  const seen: Uint8Array[] = [];
  site.net.tap = (_, frame) => {
    if (rng.next() < 0.2) seen.push(encodeFrame(frame));
  };
  for (const machine of site.machines) site.boot(machine);
  site.time.runUntil(4000);
  const [core, , , edge] = site.machines;
  if (core !== undefined) site.submit(core, 'spec.put', { base: 0, text: JSON.stringify(trialSpec(0)) });
  site.time.runUntil(8000);
  let taken = 0;
  for (const bytes of seen) {
    const garbled = Uint8Array.from(bytes);
    for (let flips = 0; flips < 1; flips += 1)
      garbled[Math.floor(rng.next() * garbled.length)] = Math.floor(rng.next() * 256);
    const frame = decodeFrame(garbled, 'park');
    if (frame.isErr) continue;
    taken += 1;
    for (const machine of [core, edge]) {
      machine?.running?.clusterNode.receive({
        ...frame.value,
        to: machine.running.clusterNode.group.self.incarnation,
      });
      machine?.running?.clusterNode.tick();
    }
  }
  expect(taken).toBeGreaterThan(300);
});
