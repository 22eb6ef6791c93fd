import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TestCluster } from '../testing/test-cluster.js';
import { WaitPhase } from './coordinator-wait.js';

function foundedCluster(): TestCluster {
  const cluster = new TestCluster(['a', 'b', 'c'], 1);
  cluster.found();
  return cluster;
}

describe('the wait report of a core without a coordinator', () => {
  it('is undefined while a coordinator commits', () => {
    const waits = foundedCluster().running.map(({ group }) => group.coordinatorWait());
    expect(waits).toEqual([undefined, undefined, undefined]);
  });

  it('names the founder that is missing before the group is founded', () => {
    const cluster = new TestCluster(['a', 'b', 'c'], 1);
    cluster.startFirst();
    cluster.stop('c');
    cluster.run(2000);
    const wait = cluster.node('a').group.coordinatorWait();
    expect([wait?.phase, wait?.missing, wait !== undefined && wait.waitedMs > 1900]).toEqual([
      WaitPhase.Founding,
      ['c'],
      true,
    ]);
  });

  it('names the voters whose support a lone voter lacks in its pre-vote', () => {
    const cluster = foundedCluster();
    for (const name of ['a', 'b', 'c']) cluster.stop(name);
    cluster.restart('b');
    cluster.run(1500);
    const wait = cluster.node('b').group.coordinatorWait();
    expect([wait?.phase, wait?.missing, wait?.voters.map(({ contactMsAgo }) => contactMsAgo)]).toEqual([
      WaitPhase.PreVote,
      ['a', 'c'],
      [null, null, null],
    ]);
  });

  it('shows how long the sync of its own disk has been outstanding', () => {
    const cluster = foundedCluster();
    for (const name of ['a', 'b', 'c']) cluster.stop(name);
    for (const name of ['a', 'b']) cluster.restart(name);
    for (const name of ['a', 'b']) cluster.node(name).stalled = true;
    cluster.run(4000);
    const waits = cluster.running.map(({ group }) => group.coordinatorWait());
    const longest = Math.max(...waits.map((wait) => wait?.diskMs ?? 0));
    expect(longest).toSatisfy((ms: number) => ms > 1500);
    expect(waits.some((wait) => wait?.phase === WaitPhase.Disk || wait?.phase === WaitPhase.Prepare)).toEqual(
      true,
    );
  });

  it('names the members that do not renew the lease of an isolated coordinator', () => {
    const cluster = foundedCluster();
    const leader = cluster.leader()?.name ?? '';
    cluster.setIsolated(leader, true);
    cluster.run(1800);
    const wait = cluster.node(leader).group.coordinatorWait();
    const others = ['a', 'b', 'c'].filter((name) => name !== leader);
    expect([wait?.phase, wait?.missing]).toEqual([WaitPhase.Lease, others]);
  });
});
