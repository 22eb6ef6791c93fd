import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TestCluster, type TestNode } from '../testing/test-cluster.js';

const FIVE = ['a', 'b', 'c', 'd', 'e'];
const THREE = ['a', 'b', 'c'];
const RESTART_MS = 200;
/** CatchUpS: the shortest time that a deployment gives a machine to count as back. */
const CATCH_UP_MS = 4000;
const ACK_MS = 4000;

/** All pairs of the given names. */
function pairsOf(names: readonly string[]): [string, string][] {
  return names.flatMap((one, index) => names.slice(index + 1).map((other): [string, string] => [one, other]));
}

/** Stops machines and restarts them with empty disks after `RESTART_MS`. */
function restartWithEmptyDisks(cluster: TestCluster, names: readonly string[]): void {
  for (const name of names) cluster.stop(name);
  cluster.run(RESTART_MS);
  for (const name of names) cluster.start(name);
}

/** Cuts the power of all machines and restarts them; the wiped ones come back with empty disks. */
function powerCycleAll(cluster: TestCluster, wiped: readonly string[]): void {
  const stopped = cluster.running.map(({ name }) => cluster.stop(name));
  cluster.run(RESTART_MS);
  for (const { name, records } of stopped) cluster.start(name, wiped.includes(name) ? undefined : records);
}

/** Expects that a new operation is acknowledged in `ACK_MS` and that every node has all acknowledged ones. */
function expectNothingLost(cluster: TestCluster, scenario: string): void {
  const before = cluster.acknowledged.size;
  let nextMs = cluster.nowMs;
  const tookMs = cluster.runUntil(() => {
    if (cluster.nowMs >= nextMs) {
      nextMs = cluster.nowMs + 100;
      cluster.submit(cluster.running[0]?.name ?? '');
    }
    return cluster.acknowledged.size > before;
  }, 20_000);
  cluster.run(2000);
  const lacking = cluster.running
    .filter(({ name }) => cluster.missingOperations(name).length > 0)
    .map(({ name }) => name);
  expect([scenario, tookMs <= ACK_MS || tookMs, lacking]).toEqual([scenario, true, []]);
}

function foundCluster(names: readonly string[], faultTolerance: number, seed: number): TestCluster {
  const cluster = new TestCluster(names, faultTolerance, seed);
  cluster.found();
  cluster.submit('a');
  cluster.run(500);
  return cluster;
}

function voterDisksOf(node: TestNode | undefined): string[] {
  return (node?.group.state?.voters ?? []).map(({ disk }) => disk).sort();
}

describe('control safety, point 3: membership', () => {
  it('survives the loss of any two of five disks, and of any two more CatchUpS after their return', () => {
    for (const [index, first] of pairsOf(FIVE).entries()) {
      const second = pairsOf(FIVE)[(index * 7 + 3) % 10] as [string, string];
      const cluster = foundCluster(FIVE, 2, index);
      restartWithEmptyDisks(cluster, first);
      cluster.run(CATCH_UP_MS);
      restartWithEmptyDisks(cluster, second);
      expectNothingLost(cluster, `${first.join()} then ${second.join()}`);
    }
  });

  it('survives the loss of two of five disks and of two more on disks that take 100 ms for a write', () => {
    for (const [index, first] of pairsOf(FIVE).entries()) {
      const cluster = foundCluster(FIVE, 2, index);
      for (const node of cluster.running) node.syncMs = 100;
      restartWithEmptyDisks(cluster, first);
      for (const node of cluster.running) node.syncMs = 100;
      cluster.run(CATCH_UP_MS);
      restartWithEmptyDisks(cluster, pairsOf(FIVE)[9 - index] ?? first);
      expectNothingLost(cluster, first.join());
    }
  });

  it('survives the loss of any one of three disks, and of any one more CatchUpS after its return', () => {
    for (const first of THREE)
      for (const second of THREE) {
        const cluster = foundCluster(THREE, 1, first.charCodeAt(0) * second.charCodeAt(0));
        restartWithEmptyDisks(cluster, [first]);
        cluster.run(CATCH_UP_MS);
        restartWithEmptyDisks(cluster, [second]);
        expectNothingLost(cluster, `${first} then ${second}`);
      }
  });

  it('loses nothing when a voter leaves and another loses its disk CatchUpS after the successor starts', () => {
    for (const leaving of THREE)
      for (const lost of THREE.filter((name) => name !== leaving)) {
        const cluster = foundCluster(THREE, 1, leaving.charCodeAt(0) + lost.charCodeAt(0));
        const third = THREE.find((name) => name !== leaving && name !== lost) ?? '';
        cluster.node(third).stalled = true;
        cluster.submit(leaving);
        cluster.run(300);
        const { size } = cluster.acknowledged;
        cluster.node(leaving).group.leave();
        cluster.node(third).stalled = false;
        cluster.run(150);
        cluster.stop(leaving);
        cluster.start('successor');
        cluster.run(CATCH_UP_MS);
        restartWithEmptyDisks(cluster, [lost]);
        expect(size).toEqual(2);
        expectNothingLost(cluster, `${leaving} leaves, ${lost} is lost`);
      }
  });

  it('recovers when the coordinator is killed and the new voter wiped at any moment of a replacement', () => {
    for (let afterMs = 0; afterMs <= 2400; afterMs += 60) {
      const cluster = foundCluster(FIVE, 2, afterMs);
      const leader = cluster.leader()?.name ?? '';
      const [lost = ''] = FIVE.filter((name) => name !== leader);
      restartWithEmptyDisks(cluster, [lost]);
      cluster.run(afterMs);
      const { records } = cluster.stop(leader);
      cluster.stop(lost);
      cluster.run(RESTART_MS);
      cluster.start(lost);
      cluster.start(leader, records);
      cluster.run(CATCH_UP_MS);
      expectNothingLost(cluster, `after ${afterMs}`);
      expect([
        afterMs,
        voterDisksOf(cluster.leader()).length,
        new Set(voterDisksOf(cluster.leader())).size,
      ]).toEqual([afterMs, 5, 5]);
    }
  });

  it('recovers when all machines lose power at any moment of the replacement of two voters', () => {
    for (let afterMs = 0; afterMs <= 2400; afterMs += 60) {
      const cluster = foundCluster(FIVE, 2, afterMs);
      restartWithEmptyDisks(cluster, pairsOf(FIVE)[(afterMs / 60) % 10] ?? []);
      cluster.submit('c');
      cluster.run(afterMs);
      powerCycleAll(cluster, []);
      expectNothingLost(cluster, `after ${afterMs}`);
    }
  });

  it('recovers when all lose power and two lose their disks, CatchUpS after the loss of two disks', () => {
    for (const [index, first] of pairsOf(FIVE).entries())
      for (const second of pairsOf(FIVE)) {
        const cluster = foundCluster(FIVE, 2, index);
        restartWithEmptyDisks(cluster, first);
        cluster.run(CATCH_UP_MS);
        cluster.submit('a');
        cluster.run(index);
        powerCycleAll(cluster, second);
        expectNothingLost(cluster, `${first.join()} then ${second.join()} with a power failure`);
      }
  });

  it('admits a machine that returns with its replaced disk as a member that does not vote', () => {
    const cluster = foundCluster(THREE, 1, 5);
    const leader = cluster.leader()?.name ?? '';
    const [old = ''] = THREE.filter((name) => name !== leader);
    const { records, group } = cluster.stop(old);
    cluster.start('spare');
    cluster.run(CATCH_UP_MS);
    const replaced = voterDisksOf(cluster.leader());
    cluster.start(old, records);
    cluster.run(CATCH_UP_MS);
    expect(replaced).not.toInclude(group.self.disk);
    expect(voterDisksOf(cluster.leader())).toEqual(replaced);
    expect(cluster.node(old).group.view?.members.length).toEqual(4);
    expectNothingLost(cluster, 'returned with its replaced disk');
  });

  it('never has more than one voter at an address whose disk changes', () => {
    const cluster = foundCluster(THREE, 1, 6);
    for (let times = 0; times < 4; times += 1) {
      restartWithEmptyDisks(cluster, ['b']);
      cluster.run(CATCH_UP_MS);
      const voters = voterDisksOf(cluster.leader());
      expect([voters.length, voters.filter((disk) => disk.startsWith('b')).length]).toEqual([3, 1]);
    }
    expectNothingLost(cluster, 'four disks at one address');
  });
});

describe('control safety, point 4: catching up', () => {
  it('brings a member that was isolated for 20 s and missed 400 versions to the newest one', () => {
    const cluster = foundCluster(FIVE, 2, 4);
    const leader = cluster.leader()?.name ?? '';
    const [isolated = '', other = ''] = FIVE.filter((name) => name !== leader);
    cluster.setIsolated(isolated, true);
    for (let count = 0; count < 400; count += 1) {
      cluster.submit(other, 20_000);
      cluster.run(50);
    }
    cluster.setIsolated(isolated, false);
    const stale = cluster.missingOperations(isolated).length;
    const tookMs = cluster.runUntil(() => cluster.missingOperations(isolated).length === 0, 20_000);
    expect([cluster.acknowledged.size, stale > 300, tookMs <= CATCH_UP_MS || tookMs]).toEqual([
      401,
      true,
      true,
    ]);
  });

  it('brings a member that missed 12 versions of 1 MiB to the newest one within the frame size limit', () => {
    const cluster = foundCluster(THREE, 1, 4);
    const leader = cluster.leader()?.name ?? '';
    const [isolated = '', other = ''] = THREE.filter((name) => name !== leader);
    cluster.setIsolated(isolated, true);
    for (let count = 0; count < 12; count += 1) {
      cluster.submit(other, 1024 * 1024);
      cluster.run(60);
    }
    cluster.setIsolated(isolated, false);
    const { incarnation } = cluster.node(isolated).group.self;
    const tookMs = cluster.runUntil(() => cluster.missingOperations(isolated).length === 0, 20_000);
    cluster.run(5000);
    expect([tookMs <= 1000 || tookMs, cluster.node(isolated).group.self.incarnation === incarnation]).toEqual(
      [true, true],
    );
  });

  it('neither answers nor coordinates with stale state after a restart while changes continue', () => {
    for (const name of THREE) {
      const cluster = foundCluster(THREE, 1, name.charCodeAt(0));
      const { records } = cluster.stop(name);
      const other = THREE.find((known) => known !== name) ?? '';
      cluster.run(3000);
      for (let count = 0; count < 300; count += 1) {
        cluster.submit(other);
        cluster.run(20);
      }
      cluster.start(name, records);
      const { group } = cluster.node(name);
      for (let step = 0; step < 100; step += 1) {
        const acknowledged = new Set(cluster.acknowledged);
        const askedMs = cluster.nowMs;
        cluster.submit(other);
        cluster.run(25);
        if (group.currentAsOfMs() < askedMs) continue;
        const state = group.state?.application ?? [];
        expect([...acknowledged].filter((id) => !state.includes(id))).toEqual([]);
      }
      expect([group.holdsLease(), cluster.missingOperations(name)]).toEqual([true, []]);
    }
  });
});
