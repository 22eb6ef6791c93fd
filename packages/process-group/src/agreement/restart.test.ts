/** Restarts of all cores at once: the group must elect a coordinator again while links and disks fail. */
import { describe, it } from 'node:test';
import { create, toBinary } from '@bufbuild/protobuf';
import { PromiseRecordSchema } from '@rainrun/messages';
import type { Records } from '@rainrun/storage';
import { expect } from 'earl';
import { RECOVERY_BOUND_MS, runRestartTrial } from '../testing/restart-trial.js';
import { TestCluster } from '../testing/test-cluster.js';

const CORES = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Bound from the last start to an acknowledged operation: twice that of one failure, as two occur here. */
const RECOVERY_MAX_MS = 5000;

/** Number of random trials in this test; the restart-seeds command runs more. */
const TRIAL_SEEDS = 200;

/** Six cores, five of them voters, all killed and started again, with the links given as `FROM TO` cut. */
function restartedCluster(cutLinks: readonly string[]): TestCluster {
  const cluster = new TestCluster(CORES, 2);
  cluster.found();
  for (const link of cutLinks) cluster.severedLinks.add(link);
  for (const name of CORES) cluster.restart(name);
  return cluster;
}

describe('a group whose cores have all restarted', () => {
  it('elects a coordinator although the first voter reaches a quorum but no majority of the view', () => {
    const recoveryTimesMs = CORES.map((first) => {
      const others = CORES.filter((name) => name !== first);
      const unreached = others.slice(2).map((name) => `${first} ${name}`);
      return restartedCluster(unreached).recover(20_000);
    });
    for (const ms of recoveryTimesMs) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('elects a coordinator although the first voter hears all others and none of them hears it', () => {
    const recoveryTimesMs = CORES.map((first) =>
      restartedCluster(CORES.map((name) => `${first} ${name}`)).recover(20_000),
    );
    for (const ms of recoveryTimesMs) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('elects a coordinator although the disk of any one core stalls from its start on', () => {
    const recoveryTimesMs = CORES.map((name) => {
      const cluster = restartedCluster([]);
      cluster.node(name).stalled = true;
      return cluster.recover(20_000);
    });
    for (const ms of recoveryTimesMs) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('elects a coordinator although all other cores are killed again just after the election', () => {
    const recoveryTimesMs = CORES.map((_, delay) => {
      const cluster = restartedCluster([]);
      cluster.runUntil(() => cluster.running.some(({ group }) => group.isCoordinator), 10_000);
      cluster.run(delay * 25);
      const elected = cluster.running.find(({ group }) => group.isCoordinator)?.name;
      for (const name of CORES) if (name !== elected) cluster.restart(name);
      return cluster.recover(30_000);
    });
    for (const ms of recoveryTimesMs) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('completes a founding that the restart interrupted, at any moment of it', () => {
    const recoveryTimesMs = [0, 5, 25, 50, 100, 150, 200, 300, 500, 1000].map((afterMs) => {
      const cluster = new TestCluster(CORES, 2);
      cluster.startFirst();
      cluster.run(10 + afterMs);
      for (const name of CORES) cluster.restart(name);
      return cluster.recover(20_000);
    });
    for (const ms of recoveryTimesMs) expect(ms).toSatisfy((value: number) => value < RECOVERY_MAX_MS);
  });

  it('recovers within the bound in random trials, without loss of an acknowledged operation', () => {
    for (let seed = 1; seed <= TRIAL_SEEDS; seed += 1) {
      const { events, lost, recoveredMs } = runRestartTrial(seed);
      const outcome = `seed ${seed}: ${recoveredMs} ms, lost ${lost.length}; ${events.join('; ')}`;
      expect(outcome).toSatisfy(() => recoveredMs <= RECOVERY_BOUND_MS && lost.length === 0);
    }
  });
});

describe('a coordinator that lacks the vote of one voter', () => {
  it('resigns for a newer epoch if that voter has promised the epoch to another candidate', () => {
    const cluster = new TestCluster(['a', 'b', 'c'], 1);
    cluster.found();
    const epoch = (cluster.leader()?.group.epoch ?? 0) + 1;
    const stopped = cluster.stop('c');
    cluster.start('c', withPromiseToSelf(stopped.records, stopped.group.self.disk, epoch));
    cluster.setIsolated('c', true);
    for (const name of ['a', 'b']) cluster.restart(name);
    cluster.runUntil(() => cluster.leader() !== undefined, 10_000);
    expect(cluster.leader()?.group.epoch).toEqual(epoch);
    cluster.setIsolated('c', false);
    cluster.runUntil(() => cluster.node('c').group.view !== undefined, 10_000);
    cluster.stop(cluster.leader()?.name === 'a' ? 'b' : 'a');
    expect(cluster.recover(20_000)).toSatisfy((ms: number) => ms < RECOVERY_MAX_MS);
  });
});

function withPromiseToSelf(records: Records, disk: string, epoch: number): Records {
  const promise = create(PromiseRecordSchema, { epoch, candidate: disk });
  return { ...records, promise: toBinary(PromiseRecordSchema, promise) };
}
