/** Restarts of all cores at once: the group must find a coordinator again, whichever links and disks fail meanwhile. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TestCluster } from '../testing/test-cluster.js';

const CORES = ['a', 'b', 'c', 'd', 'e', 'f'];

/** From the last start to an acknowledged change; twice the bound of a single failure, since two fail here. */
const RECOVERY_MAX_MS = 5000;

/** Six cores with five voters that have all been killed and started again, with the links given as `FROM TO` cut. */
function restartedWith(cutLinks: readonly string[]): TestCluster {
  const cluster = new TestCluster(CORES, 2);
  cluster.found();
  for (const link of cutLinks) cluster.severedLinks.add(link);
  for (const name of CORES) cluster.restart(name);
  return cluster;
}

describe('a restart of all cores', () => {
  it('ends in a coordinator though the first voter reaches a quorum of voters, but no majority of the view', () => {
    const took = CORES.map((first) => {
      const others = CORES.filter((name) => name !== first);
      const unreached = others.slice(2).map((name) => `${first} ${name}`);
      return restartedWith(unreached).recover(20_000);
    });
    for (const ms of took) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('ends in a coordinator though the first voter hears everybody and nobody hears it', () => {
    const took = CORES.map((first) => restartedWith(CORES.map((name) => `${first} ${name}`)).recover(20_000));
    for (const ms of took) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('ends in a coordinator though the disk of any one core hangs from its start on', () => {
    const took = CORES.map((name) => {
      const cluster = restartedWith([]);
      cluster.node(name).stalled = true;
      return cluster.recover(20_000);
    });
    for (const ms of took) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('ends in a coordinator though all but one are killed again just after its election', () => {
    const took = CORES.map((_, delay) => {
      const cluster = restartedWith([]);
      cluster.runUntil(() => cluster.running.some(({ group }) => group.isCoordinator), 10_000);
      cluster.run(delay * 25);
      const elected = cluster.running.find(({ group }) => group.isCoordinator)?.name;
      for (const name of CORES) if (name !== elected) cluster.restart(name);
      return cluster.recover(30_000);
    });
    for (const ms of took) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });
});
