import { describe, it } from 'node:test';
import { SeededRandom } from '@rainrun/common';
import { expect } from 'earl';
import { TestCluster } from '../testing/test-cluster.js';

const NAMES = ['a', 'b', 'c'];
const RUNS = 40;
const STEP_MS = 25;
const STEPS = 1200;
/** Steps between two injected faults. */
const FAULT_INTERVAL_STEPS = 60;

/** Records which node held the coordinator's lease in each epoch, and every violation of its exclusivity. */
class LeaseLog {
  readonly violations: string[] = [];
  readonly holders = new Map<number, string>();
  #newestEpoch = 0;

  record(cluster: TestCluster): void {
    const holders = cluster.running.filter(({ group }) => group.singletonEpoch() !== undefined);
    if (holders.length > 1) this.violations.push(`${holders.length} holders at ${cluster.nowMs}`);
    for (const { group } of holders) this.#recordHolder(group.singletonEpoch() ?? 0, group.self.incarnation);
  }

  #recordHolder(epoch: number, incarnation: string): void {
    const known = this.holders.get(epoch) ?? incarnation;
    if (known !== incarnation) this.violations.push(`epoch ${epoch} has two holders`);
    if (epoch < this.#newestEpoch) this.violations.push(`epoch ${epoch} after ${this.#newestEpoch}`);
    this.holders.set(epoch, incarnation);
    this.#newestEpoch = Math.max(this.#newestEpoch, epoch);
  }
}

/**
 * Ends the previous fault and injects one into one machine, in at least 60 % of the cases the coordinator: an
 * isolation, a link severed in one direction, a freeze, a restart or the loss of its disk. At most one disk
 * is lost at a time.
 */
function injectFault(cluster: TestCluster, random: SeededRandom): void {
  for (const name of NAMES) cluster.setIsolated(name, false);
  for (const node of cluster.nodes.values()) node.running = true;
  const leader = cluster.leader()?.name;
  const victim = leader !== undefined && random.next() < 0.6 ? leader : NAMES[Math.floor(random.next() * 3)];
  const name = victim ?? 'a';
  const other = NAMES.find((known) => known !== name) ?? 'b';
  const kind = random.next();
  if (kind < 0.25) cluster.setIsolated(name, true);
  else if (kind < 0.45) cluster.severedLinks.add(`${name} ${other}`);
  else if (kind < 0.65) cluster.node(name).running = false;
  else if (kind < 0.85) cluster.start(name, cluster.stop(name).records);
  else cluster.start(name);
}

describe("control safety, fencing: the coordinator's lease", () => {
  it('has one holder at a time and per epoch, and epochs rise, across partitions, freezes and lost disks', () => {
    let changes = 0;
    for (let seed = 1; seed <= RUNS; seed += 1) {
      const random = new SeededRandom(seed);
      const cluster = new TestCluster(NAMES, 1, seed);
      const log = new LeaseLog();
      cluster.found();
      for (let step = 0; step < STEPS; step += 1) {
        if (step % FAULT_INTERVAL_STEPS === 0) injectFault(cluster, random);
        cluster.run(STEP_MS);
        log.record(cluster);
      }
      expect([seed, ...log.violations.slice(0, 3)]).toEqual([seed]);
      changes += log.holders.size;
    }
    expect(changes).toSatisfy((count: number) => count > 3 * RUNS);
  });
});
