/**
 * Simulated days of a whole system, with faults and orders drawn from a seed, and the breaches that they
 * caused.
 */
import type { Need } from './system/demand.js';
import { Faults } from './system/faults.js';
import { OperatorLoad } from './system/operator-load.js';
import { SMALL_SYSTEM, type SystemSize } from './system/size.js';
import { System, type SystemBreach } from './system.js';
import { renderTimeline } from './timeline.js';

/** Durations of the parts of a day. */
export interface DaySpans {
  readonly trafficMs: number;
  readonly faultMs: number;
  readonly calmMs: number;
  readonly recoveryMs: number;
}

/**
 * Durations of a whole day, of a long one with hundreds of changes, and of a short one for frequent tests.
 */
export const SPANS: Readonly<Record<'whole' | 'short' | 'long', DaySpans>> = {
  whole: { trafficMs: 8000, faultMs: 32_000, calmMs: 9000, recoveryMs: 14_000 },
  long: { trafficMs: 8000, faultMs: 150_000, calmMs: 9000, recoveryMs: 14_000 },
  short: { trafficMs: 4000, faultMs: 10_000, calmMs: 5000, recoveryMs: 11_000 },
};

/** Sizes of simulated systems by name. */
export const SYSTEMS: Readonly<Record<'small' | 'five' | 'least', SystemSize>> = {
  least: { ...SMALL_SYSTEM, edges: 2, workers: 4, models: 10, heartbeatMs: 50 },
  small: { ...SMALL_SYSTEM, heartbeatMs: 50 },
  five: { ...SMALL_SYSTEM, cores: 5, lossesBorne: 2, heartbeatMs: 50 },
};

/** Profiles of simulated days, which weight the faults and orders differently. */
export const PROFILES = ['mixed', 'changes', 'partitions', 'membership', 'power', 'placement'] as const;
/** Profile of a simulated day. Days with the profile `quotas` run only on request. */
export type Profile = (typeof PROFILES)[number] | 'quotas';

/** Actions that a day draws by their weights. */
type DayAction =
  | 'core'
  | 'edge'
  | 'worker'
  | 'demand'
  | 'order'
  | 'evacuation'
  | 'storm'
  | 'answers lost'
  | 'long cut'
  | 'zone loss'
  | 'zone cut'
  | 'second loss'
  | 'planned'
  | 'disk slow'
  | 'lossy'
  | 'all killed'
  | 'all without power'
  | 'power during change'
  | 'power after acknowledgement'
  | 'unsound calls';

const WEIGHTS: Readonly<Record<Profile, Readonly<Partial<Record<DayAction, number>>>>> = {
  mixed: {
    core: 24,
    edge: 16,
    worker: 18,
    demand: 8,
    order: 22,
    storm: 2,
    'answers lost': 3,
    'zone loss': 2,
    'zone cut': 1,
    planned: 2,
    'disk slow': 2,
  },
  changes: {
    core: 30,
    edge: 10,
    order: 20,
    'answers lost': 15,
    'disk slow': 8,
    planned: 5,
    'long cut': 4,
    'all killed': 3,
    'power during change': 5,
  },
  partitions: {
    core: 20,
    edge: 10,
    worker: 8,
    order: 30,
    'answers lost': 6,
    evacuation: 14,
    'long cut': 14,
    'zone cut': 8,
    'zone loss': 6,
    lossy: 2,
  },
  membership: {
    core: 16,
    edge: 6,
    order: 30,
    'answers lost': 4,
    'second loss': 18,
    planned: 20,
    worker: 6,
  },
  power: {
    core: 14,
    order: 30,
    worker: 6,
    'all killed': 10,
    'all without power': 10,
    'power during change': 20,
    'power after acknowledgement': 10,
  },
  quotas: {
    core: 30,
    edge: 14,
    order: 6,
    'long cut': 8,
    'zone cut': 4,
    'zone loss': 3,
    'second loss': 5,
    planned: 8,
    lossy: 2,
    'all killed': 4,
    'all without power': 3,
  },
  placement: {
    core: 14,
    worker: 8,
    demand: 40,
    'unsound calls': 20,
    'long cut': 2,
    order: 2,
  },
};

/** Interval of orders on a day with the profile `changes`, for hundreds of changes a day. */
const STORM_INTERVAL_MS = 150;
const STORM_LENGTH_MS = 4000;
const MAX_REPAIR_MS = 34_000;
const POLL_MS = 500;

/** Result of one simulated day. */
export interface SystemResult {
  readonly breaches: readonly SystemBreach[];
  readonly acked: number;
  readonly loads: number;
  readonly injectedFaults: readonly string[];
  readonly timeline: string;
}

class Day {
  readonly system: System;
  readonly faults: Faults;
  readonly load: OperatorLoad;
  #spans: DaySpans;
  #profile: Profile;

  constructor(seed: number, size: SystemSize, spans: DaySpans, profile: Profile) {
    this.#spans = spans;
    this.#profile = profile;
    this.system = new System(seed, size);
    this.faults = new Faults(this.system);
    this.load = new OperatorLoad(this.system);
  }

  run(): void {
    const { system, faults } = this;
    const { time } = system;
    const { trafficMs, faultMs, calmMs, recoveryMs } = this.#spans;
    system.start();
    this.load.putFirst();
    time.runUntil(trafficMs);
    if (system.acked.revision === 0)
      system.breach('late answer', 'the first configuration is not acknowledged');
    this.#shiftDemand();
    if (this.#profile === 'quotas') system.quotaLoad.start();
    if (this.#profile === 'changes') this.load.storm(STORM_INTERVAL_MS, faultMs);
    for (let atMs = trafficMs + POLL_MS; atMs < trafficMs + faultMs; atMs += 400 + this.#randomBelow(1600)) {
      time.runUntil(atMs);
      this.#inject(this.#drawAction());
    }
    this.#waitForRepairs();
    time.runUntil(time.nowMs() + 6000 + calmMs);
    faults.restoreAll();
    time.runUntil(time.nowMs() + calmMs);
    this.#injectClosingFault();
    time.runUntil(time.nowMs() + recoveryMs);
    faults.restoreAll();
    system.checkEnd();
  }

  /** Waits until no core counts as lost; the longest cuts end after the last fault was injected. */
  #waitForRepairs(): void {
    const { time } = this.system;
    const endMs = time.nowMs() + MAX_REPAIR_MS;
    while (this.faults.lostCoreCount > 0 && time.nowMs() < endMs) time.runUntil(time.nowMs() + POLL_MS);
  }

  #randomBelow(bound: number): number {
    return Math.floor(this.system.random.next() * bound);
  }

  #drawAction(): DayAction {
    const weights = Object.entries(WEIGHTS[this.#profile]) as [DayAction, number][];
    const sum = weights.reduce((total, [, weight]) => total + weight, 0);
    let left = this.system.random.next() * sum;
    return weights.find(([, weight]) => (left -= weight) < 0)?.[0] ?? 'order';
  }

  #inject(action: DayAction): void {
    const { faults, load } = this;
    function send(): void {
      load.put();
    }
    switch (action) {
      case 'core':
        return faults.injectRandomCoreFault();
      case 'edge':
        return faults.injectRandomEdgeFault();
      case 'worker':
        return faults.injectRandomWorkerFault();
      case 'demand':
        return this.#shiftDemand();
      case 'order':
        return load.sendRandom();
      case 'evacuation':
        return load.zone();
      case 'storm':
        return load.storm(STORM_INTERVAL_MS, STORM_LENGTH_MS);
      case 'answers lost':
        return faults.loseAnswers();
      case 'long cut':
        return faults.cutCoordinatorLong();
      case 'zone loss':
        return faults.failZone('loss');
      case 'zone cut':
        return faults.failZone('cut');
      case 'second loss':
        return faults.loseAgainAfterCatchUp();
      case 'planned':
        return faults.replaceAsPlanned();
      case 'disk slow':
        return faults.slowDisk();
      case 'lossy':
        return faults.makeNetworkLossy();
      case 'all killed':
        return this.#whenAllDisksIntact(() => faults.failAllCores('kill'));
      case 'all without power':
        return this.#whenAllDisksIntact(() => faults.failAllCores('power'));
      case 'power during change':
        return this.#whenAllDisksIntact(() => faults.powerDuringChange(send));
      case 'power after acknowledgement':
        return this.#whenAllDisksIntact(() => faults.powerAfterAcknowledgement(send));
      case 'unsound calls':
        return faults.injectCallFaults();
    }
  }

  /**
   * Runs an action on all cores only while every disk is intact: a core with a wiped disk must catch up
   * first.
   */
  #whenAllDisksIntact(action: () => void): void {
    if (this.faults.mayAllLosePower) action();
  }

  /** Moves the demand to other models. */
  #shiftDemand(): void {
    const needs: Need[] = [];
    for (let count = 0; count < 6; count += 1) {
      const model = `m${this.#randomBelow(this.system.size.models)}`;
      if (needs.some((need) => need.model === model)) continue;
      needs.push({ model, adapter: '', count: 1 + this.#randomBelow(4) });
      if (this.system.random.next() < 0.6)
        needs.push({ model, adapter: `a${this.#randomBelow(4)}`, count: 1 });
    }
    this.system.needs = needs;
  }

  /**
   * While a zone is evacuated, limits the demand to the two models for which each remaining worker has room.
   */
  #reduceDemandToCapacity(): void {
    const { system } = this;
    const { zones } = system.expectations;
    if (![...zones.values()].some(({ evacuated }) => evacuated)) return;
    const kept = system.workers.members.filter((worker) => zones.get(worker.zone)?.evacuated !== true);
    const models = [...new Set(system.needs.map((need) => need.model))].slice(0, 2 * kept.length);
    system.needs = system.needs.filter((need) => models.includes(need.model));
  }

  /**
   * Injects a final fault or none: all machines fail right after an order is acknowledged, or the coordinator is
   * killed shortly after two operators send concurrent changes.
   */
  #injectClosingFault(): void {
    const { system, faults, load } = this;
    this.#reduceDemandToCapacity();
    const kinds = ['calm', 'power', 'kill', 'wipe', 'race'] as const;
    const kind = kinds[this.#randomBelow(kinds.length)] ?? 'calm';
    faults.injected.push(`closing ${kind}`);
    system.note('', `closing ${kind}`);
    if (kind === 'calm') return;
    if (kind === 'race') {
      load.race();
      return system.time.after(this.#randomBelow(30), () => {
        const leader = system.leader();
        if (leader !== undefined) system.kill(leader);
        system.time.after(1000, () => faults.restoreAll());
      });
    }
    const wiped = system.cores.filter((core) => !core.removed)[this.#randomBelow(system.size.cores)];
    system.operators.onAnswer = (answer) => {
      if (answer !== 'agreed') return;
      system.operators.onAnswer = undefined;
      for (const machine of system.machines) {
        if (kind === 'kill') system.kill(machine);
        else system.losePower(machine);
      }
      if (kind === 'wipe') wiped?.disk?.wipe();
      system.time.after(500 + this.#randomBelow(1000), () => faults.restoreAll());
    };
    load.put();
  }
}

/** Returns the profile of a seed, for runs without a named profile. */
export function profileOf(seed: number): Profile {
  return PROFILES[seed % PROFILES.length] ?? 'mixed';
}

/**
 * Runs one simulated day of a system from a seed.
 * @example
 * runSystemDay(1, SYSTEMS.small).breaches; // []
 */
export function runSystemDay(
  seed: number,
  size: SystemSize,
  spans: DaySpans = SPANS.whole,
  profile: Profile = profileOf(seed),
): SystemResult {
  const day = new Day(seed, size, spans, profile);
  day.run();
  const { system, faults, load } = day;
  return {
    breaches: system.breaches,
    acked: load.acknowledged,
    loads: system.workers.loads.length,
    injectedFaults: faults.injected,
    timeline: renderTimeline(
      system.machines.map((machine) => machine.name),
      system.timeline,
    ),
  };
}
