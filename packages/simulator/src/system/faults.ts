/** Faults that a simulated day injects: what each does, how long it lasts, and what the system may lose at once. */
import type { SeededRandom } from '@rainrun/common';
import type { System } from '../system.js';
import type { Cut, SimDisk } from '../world.js';
import type { Machine } from './machine.js';
import { BOUNDS } from './size.js';
import { NO_CALL_FAULTS } from './worker-calls.js';

/** Faults of one core; each counts as a loss while it lasts and for `catchUpMs` after. */
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
/** A successor has joined, been made a voter and caught up by then. */
const SUCCESSOR_MS = BOUNDS.catchUpMs;

/** Cuts between a machine and all others: both directions, or one. */
function cutOf(kind: 'cut' | 'deaf' | 'mute', name: string): Cut {
  if (kind === 'deaf') return (_from, to) => to === name;
  if (kind === 'mute') return (from) => from === name;
  return (from, to) => (from === name) !== (to === name);
}

/**
 * Injects faults by chance, and no more core losses at once than the system is to bear.
 * @example
 * faults.core(faults.anyCore());
 */
export class Faults {
  /** What was injected, for reports. */
  readonly injected: string[] = [];
  #system: System;
  #random: SeededRandom;
  /** Until when each core counts as lost. */
  #lostUntilMs = new Map<Machine, number>();
  /** Of those, the ones whose disk was lost as well. */
  #wipedCores = new Set<Machine>();
  #isReplacing = false;

  constructor(system: System) {
    this.#system = system;
    this.#random = system.random;
  }

  #randomBelow(most: number): number {
    return Math.floor(this.#random.next() * most);
  }

  #pick<T>(list: readonly T[]): T | undefined {
    return list[this.#randomBelow(list.length)];
  }

  #inject(what: string, machine?: Machine): void {
    this.injected.push(machine === undefined ? what : `${what} ${machine.name}`);
    this.#system.note(machine?.name ?? '', what);
  }

  #after(waitMs: number, act: () => void): void {
    this.#system.time.after(waitMs, act);
  }

  // Losses.

  /** Cores that count as lost now. */
  get lostCoreCount(): number {
    const nowMs = this.#system.time.nowMs();
    for (const [core, untilMs] of this.#lostUntilMs) {
      if (untilMs >= nowMs) continue;
      this.#lostUntilMs.delete(core);
      this.#wipedCores.delete(core);
    }
    return this.#lostUntilMs.size;
  }

  /** Whether every disk that counts holds all that it ever synced, so that all cores may lose power. */
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

  /** A core that is not lost; the coordinator as often as all others together. */
  pickHealthyCore(): Machine | undefined {
    const { cores } = this.#system;
    const whole = cores.filter((core) => core.running !== undefined && !this.#lostUntilMs.has(core));
    const leader = this.#system.leader();
    if (leader !== undefined && whole.includes(leader) && this.#random.next() < 0.5) return leader;
    return this.#pick(whole);
  }

  // Faults of cores.

  /** Any fault of one core, for up to some seconds. */
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

  /** The machine is lost for good; an empty one comes later, at an address of its own. */
  #replace(core: Machine, forMs: number): void {
    this.#system.remove(core);
    const successor = this.#system.addCore(core.zone);
    this.#lostUntilMs.delete(core);
    this.#wipedCores.add(successor);
    this.#countAsLost(successor, forMs);
    this.#bootAfter(successor, forMs);
  }

  /** The process ends at its next write; it can start again once there is room. */
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

  /** A disk that is slow, but does sync: the core is not lost. */
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

  /** The coordinator is cut off for 20 s and more, in both directions or in one. */
  cutCoordinatorLong(): void {
    const leader = this.#system.leader();
    if (!this.mayLoseCore || leader === undefined) return;
    this.injectCoreFault(
      leader,
      this.#pick(['cut', 'deaf', 'mute'] as const) ?? 'cut',
      LONG_CUT_MS + this.#randomBelow(6000),
    );
  }

  /** As many cores as may be lost at once; and as many others right after those have caught up. */
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

  /** Planned replacement: the new machine first, then the old one is asked to end and is removed. */
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

  /** Ends and removes a core once its successor has caught up and nothing else is lost. */
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

  /** All cores are killed, or lose power, and come back. */
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

  /** Power of all cores is lost soon after a change was sent, before or after it is acknowledged. */
  powerDuringChange(send: () => void): void {
    send();
    this.#after(5 + this.#randomBelow(395), () => this.failAllCores('power'));
  }

  /** All cores lose power as soon as the next order is acknowledged; at times all disks are slow before. */
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

  // Faults of other machines and of the network.

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

  /** A whole zone goes down or is cut off: its cores, edges and workers. */
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

  /** More frames are lost for a while. */
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

  /** Orders, their answers, reports and the platform's list are late, lost, refused or unreadable for a while. */
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

  /** Answers to operators are lost for a while, up to 0.7 of them. */
  loseAnswers(): void {
    const { operators } = this.#system;
    if (operators.answerLossRatio > 0) return;
    this.#inject('answers lost');
    operators.answerLossRatio = 0.2 + this.#random.next() * 0.5;
    this.#after(2000 + this.#randomBelow(8000), () => {
      operators.answerLossRatio = 0;
    });
  }

  /** Every disk that is full has room again, and all machines run. */
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
