/** Waits inside a view for members or disks that do not answer, and the events that end these waits. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RECOVERY_BOUND_MS, runRestartTrial } from '../testing/restart-trial.js';
import { TestCluster, type TestNode } from '../testing/test-cluster.js';

/** Five members, four voters: members without a vote renew the lease while the coordinator lacks a quorum. */
const LEASE_WITHOUT_QUORUM_SEED = 11_107;

const CORES = ['a', 'b', 'c', 'd', 'e'];

function foundCluster(): { cluster: TestCluster; leader: TestNode; followers: TestNode[] } {
  const cluster = new TestCluster(CORES, 2);
  cluster.found();
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader after the founding');
  return { cluster, leader, followers: cluster.running.filter((node) => node !== leader) };
}

function memberNamesOf(node: TestNode): string[] {
  return (node.group.view?.members ?? []).map((member) => member.name);
}

describe('a wait inside a view', () => {
  it('for a member whose disk hangs ends when it leaves the view, and changes continue meanwhile', () => {
    const { cluster, leader, followers } = foundCluster();
    const [hung] = followers;
    if (hung === undefined) return;
    hung.stalled = true;
    expect(cluster.recover(10_000)).toSatisfy((ms: number) => ms < 1000);
    const tookMs = cluster.runUntil(() => !memberNamesOf(leader).includes(hung.name), 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 7000);
  });

  it('for the disks of a majority ends when they sync again, and nothing acknowledged is lost', () => {
    const { cluster, leader, followers } = foundCluster();
    for (const node of followers.slice(0, 3)) node.stalled = true;
    cluster.submit(leader.name);
    cluster.run(6000);
    for (const node of followers) node.stalled = false;
    expect(cluster.recover(10_000)).toSatisfy((ms: number) => ms < 3000);
    cluster.run(2000);
    expect(cluster.missingOperations(cluster.leader()?.name ?? '')).toEqual([]);
  });

  it('for voters that a coordinator with a lease cannot reach ends with an election', () => {
    const { lost, recoveredMs } = runRestartTrial(LEASE_WITHOUT_QUORUM_SEED);
    expect([recoveredMs < RECOVERY_BOUND_MS, lost]).toEqual([true, []]);
  });

  it('for a member whose goodbye was lost ends when it no longer answers', () => {
    const { cluster, leader, followers } = foundCluster();
    const [left] = followers;
    if (left === undefined) return;
    cluster.setIsolated(left.name, true);
    left.group.leave();
    cluster.stop(left.name);
    const tookMs = cluster.runUntil(() => !memberNamesOf(leader).includes(left.name), 10_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 3000);
  });

  it('for a coordinator whose goodbye was lost ends with an election', () => {
    const { cluster, leader } = foundCluster();
    cluster.setIsolated(leader.name, true);
    leader.group.leave();
    cluster.stop(leader.name);
    expect(cluster.recover(10_000)).toSatisfy((ms: number) => ms < 4000);
  });

  it('for flushes of members that cannot answer ends with a view without them', () => {
    const { cluster, leader, followers } = foundCluster();
    const [lost, muted] = followers;
    if (lost === undefined || muted === undefined) return;
    cluster.stop(lost.name);
    cluster.severedLinks.add(`${muted.name} ${leader.name}`);
    const tookMs = cluster.runUntil(() => memberNamesOf(leader).length === CORES.length - 2, 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 6000);
    expect(cluster.recover(10_000)).toSatisfy((ms: number) => ms < 1000);
  });
});
