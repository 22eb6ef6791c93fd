/**
 * Seeded restart trials: all cores are killed at a random time, once or twice, and one core may then have a
 * hanging disk or links severed in one direction. A trial checks liveness and that no acknowledged change is
 * lost.
 */
import { SeededRandom } from '@rainrun/common';
import type { View } from '@rainrun/messages';
import { majority } from '../agreement/quorum.js';
import { TestCluster } from './test-cluster.js';

/** Group sizes, and how many disks each may lose. */
const GROUP_SIZES = [
  { cores: ['a', 'b', 'c'], losses: 1 },
  { cores: ['a', 'b', 'c', 'd', 'e'], losses: 2 },
  { cores: ['a', 'b', 'c', 'd', 'e', 'f'], losses: 2 },
] as const;

/** Liveness bound: time from the last start, with a majority up and connected, to an acknowledged change. */
export const RECOVERY_BOUND_MS = 3000;

/** A trial waits no longer than this for a recovery. */
const RECOVERY_TIMEOUT_MS = 30_000;

/** Longest interval between two changes submitted before the kill. */
const CHANGE_INTERVAL_MS = 50;

/** The result of a trial. */
export interface RestartTrialResult {
  /** What the trial did to the cluster, in order. */
  readonly events: readonly string[];
  /** Time from the last start to an acknowledged change. */
  readonly recoveredMs: number;
  /** Acknowledged changes that the coordinator lacks at the end. */
  readonly lost: readonly string[];
}

/**
 * Runs one trial; the same seed gives the same trial.
 * @example
 * runRestartTrial(7).recoveredMs; // 1325
 */
export function runRestartTrial(seed: number): RestartTrialResult {
  return new RestartTrial(seed).run();
}

class RestartTrial {
  #random: SeededRandom;
  #cluster: TestCluster;
  #cores: string[];
  #events: string[] = [];

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    const size = GROUP_SIZES[this.#randomBelow(GROUP_SIZES.length)] ?? GROUP_SIZES[0];
    this.#cores = [...size.cores];
    this.#cluster = new TestCluster(size.cores, size.losses, seed);
    this.#recordEvent(`${size.cores.length} cores`);
  }

  run(): RestartTrialResult {
    if (this.#occursWith(0.15)) this.#startFounding();
    else this.#startFounded();
    this.#killAndRestartAll();
    if (this.#occursWith(0.4)) {
      this.#cluster.run(this.#randomBelow(1500));
      this.#killAndRestartAll();
    }
    this.#impairOneCore();
    const recoveredMs = this.#cluster.recover(RECOVERY_TIMEOUT_MS);
    this.#cluster.run(2000);
    const leader = this.#cluster.leader();
    const lost = leader === undefined ? [] : this.#cluster.missingOperations(leader.name);
    return { events: this.#events, recoveredMs, lost };
  }

  /** Starts all cores for the first time, so that the kill comes while the group is being founded. */
  #startFounding(): void {
    this.#cluster.startFirst();
    this.#cluster.run(10);
    const afterMs = this.#randomBelow(1500);
    this.#cluster.run(afterMs);
    this.#recordEvent(`killed ${afterMs} ms into the founding`);
  }

  /** Founds a group and submits changes to it; a core may have been replaced just before. */
  #startFounded(): void {
    this.#cluster.found();
    if (this.#occursWith(0.25)) this.#replaceOneCore();
    const changes = this.#randomBelow(8);
    for (let change = 0; change < changes; change += 1) {
      const name = this.#cores[this.#randomBelow(this.#cores.length)];
      if (name !== undefined) this.#cluster.submit(name);
      this.#cluster.run(this.#randomBelow(CHANGE_INTERVAL_MS));
    }
  }

  /** Replaces a core by one with an empty disk; the kill may come before the replacement is complete. */
  #replaceOneCore(): void {
    const lost = this.#cores[this.#randomBelow(this.#cores.length)];
    if (lost === undefined) return;
    this.#cluster.stop(lost);
    this.#cores = [...this.#cores.filter((name) => name !== lost), 'x'];
    this.#cluster.start('x');
    const afterMs = this.#randomBelow(4000);
    this.#cluster.run(afterMs);
    this.#recordEvent(`${lost} replaced by x ${afterMs} ms before the kill`);
  }

  /** Kills all cores at once and restarts them in random order within about a second. */
  #killAndRestartAll(): void {
    this.#recordEvent(`all killed at ${this.#cluster.nowMs} ms`);
    const stopped = this.#cores.map((name) => this.#cluster.stop(name));
    const staggerMs = this.#randomBelow(1000);
    const starts = stopped
      .map((node) => ({ node, afterMs: 50 + this.#random.next() * staggerMs }))
      .sort((one, other) => one.afterMs - other.afterMs);
    let passedMs = 0;
    for (const { node, afterMs } of starts) {
      this.#cluster.run(Math.max(0, Math.round(afterMs) - passedMs));
      passedMs = Math.max(passedMs, Math.round(afterMs));
      this.#cluster.start(node.name, node.records);
    }
  }

  /** Hangs the disk of one core or severs some of its links, if the others have a quorum without it. */
  #impairOneCore(): void {
    const kind = this.#random.next();
    const core = this.#cores[this.#randomBelow(this.#cores.length)];
    if (kind < 1 / 3 || core === undefined || !this.#haveQuorumWithout(core)) return;
    if (kind < 2 / 3) {
      this.#cluster.node(core).stalled = true;
      this.#recordEvent(`the disk of ${core} hangs`);
      return;
    }
    const severed = this.#cores
      .filter((name) => name !== core)
      .flatMap((name) => [`${core} ${name}`, `${name} ${core}`])
      .filter(() => this.#occursWith(0.5));
    for (const link of severed) this.#cluster.severedLinks.add(link);
    this.#recordEvent(`severed links: ${severed.join(', ')}`);
  }

  /** Whether the other cores are a majority of the voters and of the view of every version on any disk. */
  #haveQuorumWithout(core: string): boolean {
    const others = this.#cores.filter((name) => name !== core);
    const disks = new Set(others.map((name) => this.#cluster.node(name).group.self.disk));
    const versions = this.#cluster.acceptedVersions();
    return (
      versions.length > 0 &&
      versions.every(({ state }) => {
        const voterSets = [state?.voters ?? [], state?.previousVoters ?? []];
        const views = [state?.view, state?.previousView];
        return (
          voterSets.every((voters) => isMajorityOf(voters, ({ disk }) => disks.has(disk))) &&
          views.every((view) => isMajorityOf(membersOf(view), ({ name }) => others.includes(name)))
        );
      })
    );
  }

  #recordEvent(event: string): void {
    this.#events.push(event);
  }

  #occursWith(probability: number): boolean {
    return this.#random.next() < probability;
  }

  #randomBelow(count: number): number {
    return Math.floor(this.#random.next() * count);
  }
}

function membersOf(view: View | undefined): View['members'] {
  return view?.members ?? [];
}

function isMajorityOf<T>(all: readonly T[], counts: (one: T) => boolean): boolean {
  return all.length === 0 || all.filter(counts).length >= majority(all.length);
}
