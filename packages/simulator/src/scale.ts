import meow from 'meow';
import { Site } from './site.js';

const cli = meow(
  `
  What the group costs by its size, in the simulator, quiet but for heartbeats and the
  observations that each edge casts twice a second.

  Usage
    $ node packages/simulator/dist/scale.js --sizes 12,24,48
`,
  { importMeta: import.meta, flags: { sizes: { type: 'string', default: '12,24,48' } } },
);

const QUIET_MS = 5000;

function untilWhole(site: Site, nodes: number, endMs: number): number {
  const beganMs = site.time.nowMs();
  while (site.time.nowMs() < endMs) {
    site.time.runUntil(site.time.nowMs() + 10);
    const views = site.machines.flatMap((machine) => machine.running?.clusterNode.group.view ?? []);
    if (views.length === nodes && views.every((view) => view.members.length === nodes)) break;
  }
  return site.time.nowMs() - beganMs;
}

console.log(
  'nodes  whole after ms  frames/s  kB/s  frames/s a node  view change after kill ms  agreement ms',
);
for (const size of cli.flags.sizes.split(',').map(Number)) {
  const site = new Site(1, { cores: 3, edges: size - 3, workers: 0, zones: ['a', 'b', 'c'] }, 0);
  site.notesEnabled = false;
  for (const machine of site.machines) site.boot(machine);
  const wholeMs = untilWhole(site, size, 20_000);
  site.time.runUntil(site.time.nowMs() + 2000);
  const [frames, bytes] = [site.net.frames, site.net.bytes];
  site.time.runUntil(site.time.nowMs() + QUIET_MS);
  const framesPerS = (site.net.frames - frames) / (QUIET_MS / 1000);
  const kbPerS = (site.net.bytes - bytes) / QUIET_MS;
  const beganMs = site.time.nowMs();
  const last = site.machines.at(-1);
  if (last !== undefined) site.submit(last, 'zone.empty', { zone: 'a' });
  while (site.oracle.answeredCount === 0 && site.time.nowMs() < beganMs + 5000)
    site.time.runUntil(site.time.nowMs() + 1);
  const agreedMs = site.time.nowMs() - beganMs;
  if (last !== undefined) site.kill(last);
  const changeMs = untilWhole(site, size - 1, site.time.nowMs() + 20_000);
  const row = [size, wholeMs, framesPerS, kbPerS, framesPerS / size, changeMs, agreedMs].map((value) =>
    value.toFixed(0),
  );
  console.log(row.join('  '));
}
