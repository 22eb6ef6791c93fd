/**
 * Faults that a simulated day injects: their effects, their durations, and how many cores may be lost at
 * once.
 */
import type { SeededRandom } from '@rainrun/common';
import type { System } from '../system.js';
import type { IsBlocked, SimDisk } from '../world.js';
import type { Machine } from './machine.js';
import { BOUNDS } from './size.js';
import { NO_CALL_FAULTS } from './worker-calls.js';

/** Faults of one core; the core counts as lost during the fault and for `catchUpMs` after it. */
const CORE_FAULTS = [
  'kill',
  'power',
  'stop',
  'freeze',
  'cut',
  'deaf',
  'mute',
  'wipe',
  'replace',
  'disk stall',
  'disk full',
] as const;
type CoreFault = (typeof CORE_FAULTS)[number];

const EDGE_FAULTS = ['kill', 'stop', 'freeze', 'cut', 'deaf', 'mute'] as const;
const WORKER_FAULTS = ['restart', 'dark', 'leave'] as const;

const LONG_CUT_MS = 20_000;
const SHUTDOWN_MS = 200;
const DRAIN_MS = 4000;
const SLOW_DISK_MS = 40;
const MAX_SLOW_DISK_MS = 200;
const LOSSY_NETWORK_RATIO = 0.05;
const MAX_DELAYED_CALL_RATIO = 0.4;
const MAX_FAILED_CALL_RATIO = 0.3;
/** Time in which a successor joins, becomes a voter and catches up. */
const SUCCESSOR_MS = BOUNDS.catchUpMs;

/**
 * Returns a cut between a machine and all others, in both directions (`cut`), inbound (`deaf`) or outbound
 * (`mute`).
 */
function cutOf(kind: 'cut' | 'deaf' | 'mute', name: string): IsBlocked {
  if (kind === 'deaf') return (_from, to) => to === name;
  if (kind === 'mute') return (from) => from === name;
  return (from, to) => (from === name) !== (to === name);
}

/**
 * Injects random faults, with no more cores lost at once than the system tolerates.
 * @example
 * faults.core(faults.anyCore());
 */
export class Faults {
  /** Descriptions of the injected faults, for reports. */
  readonly injected: string[] = [];
  #system: System;
  #random: SeededRandom;
  /** Time until which each lost core counts as lost. */
  #lostUntilMs = new Map<Machine, number>();
  /** Lost cores whose disk is empty as well. */
  #wipedCores = new Set<Machine>();
  #isReplacing = false;

  constructor(system: System) {
    this.#system = system;
    this.#random = system.random;
  }

  #randomBelow(bound: number): number {
    return Math.floor(this.#random.next() * bound);
  }

  #pick<T>(list: readonly T[]): T | undefined {
    return list[this.#randomBelow(list.length)];
  }

  #inject(what: string, machine?: Machine): void {
    this.injected.push(machine === undefined ? what : `${what} ${machine.name}`);
    this.#system.note(machine?.name ?? '', what);
  }

  #after(waitMs: number, action: () => void): void {
    this.#system.time.after(waitMs, action);
  }

  // Accounting of lost cores.

  /** Number of cores that count as lost now. */
  get lostCoreCount(): number {
    const nowMs = this.#system.time.nowMs();
    for (const [core, untilMs] of this.#lostUntilMs) {
      if (untilMs >= nowMs) continue;
      this.#lostUntilMs.delete(core);
      this.#wipedCores.delete(core);
    }
    return this.#lostUntilMs.size;
  }

  /**
   * Whether all cores may lose power at once: no lost core has an empty disk, so every disk that counts holds
   * all that it ever synced.
   */
  get mayAllLosePower(): boolean {
    return this.lostCoreCount === 0 || this.#wipedCores.size === 0;
  }

  /** Whether another core may be lost now. */
  get mayLoseCore(): boolean {
    return this.lostCoreCount < this.#system.size.lossesBorne && !this.#isReplacing;
  }

  #countAsLost(core: Machine, forMs: number): void {
    const untilMs = this.#system.time.nowMs() + forMs + BOUNDS.catchUpMs;
    this.#lostUntilMs.set(core, Math.max(untilMs, this.#lostUntilMs.get(core) ?? 0));
  }

  /** Picks a random core that is not lost; the coordinator as often as all others together. */
  pickHealthyCore(): Machine | undefined {
    const { cores } = this.#system;
    const whole = cores.filter((core) => core.running !== undefined && !this.#lostUntilMs.has(core));
    const leader = this.#system.leader();
    if (leader !== undefined && whole.includes(leader) && this.#random.next() < 0.5) return leader;
    return this.#pick(whole);
  }

  // Faults of cores.

  /** Injects a random fault of one core, for up to 4.3 s. */
  injectRandomCoreFault(): void {
    const core = this.mayLoseCore ? this.pickHealthyCore() : undefined;
    if (core !== undefined)
      this.injectCoreFault(core, this.#pick(CORE_FAULTS) ?? 'kill', 300 + this.#randomBelow(4000));
  }

  injectCoreFault(core: Machine, kind: CoreFault, forMs: number): void {
    const system = this.#system;
    this.#inject(kind, core);
    this.#countAsLost(core, forMs);
    switch (kind) {
      case 'kill':
        system.kill(core);
        return this.#bootAfter(core, forMs);
      case 'power':
        system.losePower(core);
        return this.#bootAfter(core, forMs);
      case 'stop':
        system.stop(core);
        return this.#bootAfter(core, forMs + SHUTDOWN_MS);
      case 'freeze':
        return system.freeze(core, forMs);
      case 'cut':
      case 'deaf':
      case 'mute':
        return this.#after(forMs, system.cut(`${kind} ${core.name}`, cutOf(kind, core.name)));
      case 'wipe':
        system.losePower(core);
        core.disk?.wipe();
        this.#wipedCores.add(core);
        return this.#bootAfter(core, forMs);
      case 'replace':
        return this.#replace(core, forMs);
      case 'disk stall':
        if (core.disk !== undefined) core.disk.stallUntilMs = system.time.nowMs() + forMs;
        system.recordDisturbance(core);
        return this.#after(forMs, () => system.recordDisturbance(core));
      case 'disk full':
        return this.#fillDisk(core, forMs);
    }
  }

  #bootAfter(core: Machine, waitMs: number): void {
    this.#after(waitMs, () => this.#system.boot(core));
  }

  /** Removes the machine permanently; an empty one starts later at a new address. */
  #replace(core: Machine, forMs: number): void {
    this.#system.remove(core);
    const successor = this.#system.addCore(core.zone);
    this.#lostUntilMs.delete(core);
    this.#wipedCores.add(successor);
    this.#countAsLost(successor, forMs);
    this.#bootAfter(successor, forMs);
  }

  /** Fills the disk, so that the process ends at its next write; it restarts once there is room again. */
  #fillDisk(core: Machine, forMs: number): void {
    const { disk } = core;
    if (disk === undefined) return;
    disk.full = true;
    this.#system.recordDisturbance(core);
    this.#after(forMs, () => {
      disk.full = false;
      this.#system.recordDisturbance(core);
      this.#system.boot(core);
    });
  }

  /** Slows a disk that still syncs, so that its core does not count as lost. */
  slowDisk(): void {
    const core = this.pickHealthyCore();
    if (core?.disk === undefined) return;
    const { disk } = core;
    this.#inject('disk slow', core);
    disk.slowMs = SLOW_DISK_MS;
    this.#after(1000 + this.#randomBelow(6000), () => {
      disk.slowMs = 0;
    });
  }

  /** Cuts off the coordinator for 20 to 26 s, in one direction or both. */
  cutCoordinatorLong(): void {
    const leader = this.#system.leader();
    if (!this.mayLoseCore || leader === undefined) return;
    this.injectCoreFault(
      leader,
      this.#pick(['cut', 'deaf', 'mute'] as const) ?? 'cut',
      LONG_CUT_MS + this.#randomBelow(6000),
    );
  }

  /** Loses as many cores as the system tolerates, and as many others right after the first have caught up. */
  loseAgainAfterCatchUp(): void {
    const { size } = this.#system;
    if (this.lostCoreCount > 0 || this.#isReplacing) return;
    const forMs = 300 + this.#randomBelow(2000);
    const kinds = ['kill', 'power', 'wipe', 'replace'] as const;
    this.#inject('second loss after catch-up');
    const first: Machine[] = [];
    for (let count = 0; count < size.lossesBorne; count += 1) {
      const core = this.pickHealthyCore();
      if (core === undefined) continue;
      first.push(core);
      this.injectCoreFault(core, this.#pick(kinds) ?? 'kill', forMs);
    }
    this.#after(forMs + BOUNDS.catchUpMs + 10, () => {
      if (this.lostCoreCount > 0) return;
      const others = this.#system.cores.filter((core) => core.running !== undefined && !first.includes(core));
      for (const core of others.slice(0, size.lossesBorne))
        this.injectCoreFault(core, this.#pick(kinds) ?? 'kill', forMs);
    });
  }

  /** Replaces a core as planned: the new machine starts first, then the old one is stopped and removed. */
  replaceAsPlanned(): void {
    const system = this.#system;
    const core = this.lostCoreCount > 0 || this.#isReplacing ? undefined : this.pickHealthyCore();
    if (core === undefined) return;
    this.#isReplacing = true;
    this.#inject('planned replacement', core);
    const successor = system.addCore(core.zone);
    system.boot(successor);
    this.#after(SUCCESSOR_MS, () => this.#retire(core, successor));
  }

  /** Stops and removes a core once its successor has caught up and no other core is lost. */
  #retire(core: Machine, successor: Machine): void {
    if (this.lostCoreCount > 0) {
      this.#after(SUCCESSOR_MS, () => this.#retire(core, successor));
      return;
    }
    this.#system.stop(core);
    this.#countAsLost(successor, 0);
    this.#after(SHUTDOWN_MS, () => {
      this.#system.remove(core);
      this.#isReplacing = false;
    });
  }

  /** Kills all cores or cuts their power, and restarts them. */
  failAllCores(kind: 'kill' | 'power'): void {
    const { cores } = this.#system;
    this.#inject(`all cores ${kind}`);
    for (const core of cores) {
      if (kind === 'kill') this.#system.kill(core);
      else this.#system.losePower(core);
      if (!core.removed) this.#countAsLost(core, 1500);
      if (core.disk !== undefined) core.disk.full = false;
    }
    for (const core of cores) this.#bootAfter(core, 300 + this.#randomBelow(1200));
  }

  /**
   * Sends a change and cuts the power of all cores 5 to 400 ms later, before or after its acknowledgement.
   */
  powerDuringChange(send: () => void): void {
    send();
    this.#after(5 + this.#randomBelow(395), () => this.failAllCores('power'));
  }

  /**
   * Cuts the power of all cores at the next acknowledgement of an order; in half of the cases all disks are
   * slow before.
   */
  powerAfterAcknowledgement(send: () => void): void {
    const { operators, cores } = this.#system;
    const slowMs = this.#random.next() < 0.5 ? MAX_SLOW_DISK_MS * this.#random.next() : 0;
    for (const core of cores) if (core.disk !== undefined) core.disk.slowMs = slowMs;
    operators.onAnswer = (kind) => {
      if (kind !== 'agreed') return;
      operators.onAnswer = undefined;
      for (const core of cores) if (core.disk !== undefined) core.disk.slowMs = 0;
      this.failAllCores('power');
    };
    send();
  }

  // Faults of edges, workers, zones and the network.

  injectRandomEdgeFault(): void {
    const system = this.#system;
    const edge = this.#pick(system.edges.filter((known) => known.running !== undefined));
    if (edge === undefined) return;
    const forMs = 300 + this.#randomBelow(5000);
    const kind = this.#pick(EDGE_FAULTS) ?? 'kill';
    this.#inject(kind, edge);
    switch (kind) {
      case 'freeze':
        return system.freeze(edge, forMs);
      case 'cut':
      case 'deaf':
      case 'mute':
        return this.#after(forMs, system.cut(`${kind} ${edge.name}`, cutOf(kind, edge.name)));
      case 'stop':
        system.stop(edge);
        return this.#bootAfter(edge, forMs + SHUTDOWN_MS);
      case 'kill':
        system.kill(edge);
        return this.#bootAfter(edge, forMs);
    }
  }

  injectRandomWorkerFault(): void {
    const { workers, time } = this.#system;
    if (workers.members.some((known) => known.isAway || known.leaving)) return;
    const worker = this.#pick(workers.members.filter((known) => !known.isSilent));
    if (worker === undefined) return;
    const forMs = 300 + this.#randomBelow(3000);
    const kind = this.#pick(WORKER_FAULTS) ?? 'restart';
    this.#inject(`${kind} worker ${worker.address}`);
    if (kind === 'restart') return worker.restart();
    if (kind === 'dark') {
      worker.isSilent = true;
      return time.after(forMs, () => {
        worker.isSilent = false;
      });
    }
    workers.leave(worker);
    this.#after(DRAIN_MS, () => {
      worker.isAway = true;
      this.#after(forMs, () => {
        worker.isAway = false;
        worker.restart();
      });
    });
  }

  /** Takes down or cuts off a whole zone: its cores, edges and workers. */
  failZone(kind: 'loss' | 'cut'): void {
    const system = this.#system;
    const zone = this.#pick(system.size.zones) ?? '';
    const cores = system.cores.filter((core) => core.zone === zone && !core.removed);
    if (!this.mayLoseCore || this.lostCoreCount + cores.length > system.size.lossesBorne) return;
    const forMs = 1000 + this.#randomBelow(4000);
    this.#inject(`zone ${kind} ${zone}`);
    const machines = system.machines.filter((machine) => machine.zone === zone);
    const workers = system.workers.members.filter((worker) => worker.zone === zone);
    for (const core of cores) this.#countAsLost(core, forMs);
    if (kind === 'cut') {
      const inside = new Set([...machines.map(({ name }) => name), ...workers.map(({ address }) => address)]);
      const heal = system.cut(`zone ${zone}`, (from, to) => inside.has(from) !== inside.has(to));
      return this.#after(forMs, heal);
    }
    for (const machine of machines) {
      system.losePower(machine);
      this.#bootAfter(machine, forMs);
    }
    for (const worker of workers.filter((known) => !known.isAway && !known.leaving)) {
      worker.isAway = true;
      this.#after(forMs, () => {
        worker.isAway = false;
        worker.restart();
      });
    }
  }

  /** Raises the loss ratio of the network for 1 to 5 s. */
  makeNetworkLossy(): void {
    const { network } = this.#system;
    const before = network.lossRatio;
    if (before === LOSSY_NETWORK_RATIO) return;
    this.#inject('lossy network');
    network.lossRatio = LOSSY_NETWORK_RATIO;
    this.#after(1000 + this.#randomBelow(4000), () => {
      network.lossRatio = before;
    });
  }

  /**
   * For 1 to 7 s, delays or refuses orders, loses their answers, and makes reports and the platform's list
   * unreadable.
   */
  injectCallFaults(): void {
    const { workerCalls } = this.#system;
    if (workerCalls.faults !== NO_CALL_FAULTS) return;
    this.#inject('unsound calls to workers');
    workerCalls.faults = {
      ...NO_CALL_FAULTS,
      delayed: MAX_DELAYED_CALL_RATIO * this.#random.next(),
      answerLost: MAX_FAILED_CALL_RATIO * this.#random.next(),
      refused: MAX_FAILED_CALL_RATIO * this.#random.next(),
      unreadable: this.#random.next(),
    };
    this.#after(1000 + this.#randomBelow(6000), () => {
      workerCalls.faults = NO_CALL_FAULTS;
    });
  }

  /** Loses 0.2 to 0.7 of the answers to operators for 2 to 10 s. */
  loseAnswers(): void {
    const { operators } = this.#system;
    if (operators.answerLossRatio > 0) return;
    this.#inject('answers lost');
    operators.answerLossRatio = 0.2 + this.#random.next() * 0.5;
    this.#after(2000 + this.#randomBelow(8000), () => {
      operators.answerLossRatio = 0;
    });
  }

  /** Makes room on all disks, ends their slowness, and starts all machines that do not run. */
  restoreAll(): void {
    for (const machine of this.#system.machines) {
      if (machine.disk !== undefined) restoreDisk(machine.disk);
      this.#system.boot(machine);
    }
  }
}

function restoreDisk(disk: SimDisk): void {
  disk.full = false;
  disk.slowMs = 0;
}
