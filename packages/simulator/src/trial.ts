import type { Breach } from './oracle.js';
import { Site, type Machine, type SiteSize } from './site.js';
import { renderTimeline } from './timeline.js';
import { type IsBlocked } from './world.js';

/** Result of the trial of one seed. */
export interface TrialResult {
  readonly seed: number;
  readonly breaches: readonly Breach[];
  readonly agreed: number;
  readonly versions: number;
  readonly casts: number;
  readonly served: number;
  readonly refused: number;
  readonly unknown: number;
  readonly cuts: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly frames: number;
  readonly bytes: number;
  readonly recoveredMs: number;
  readonly faults: readonly string[];
  readonly timeline: string;
}

const PROTOCOL_STEPS = [
  'propose',
  'accepted',
  'flushRequest',
  'flushReply',
  'sequenced',
  'prepare',
  'promise',
] as const;
const START_MS = 8000;
const FAULTS_END_MS = 38_000;
const RECOVER_MS = 12_000;
/** How long the second fault, injected right after the recovery, lasts before all is repaired. */
const SECOND_FAULT_MS = 5000;

const ZONES = ['north', 'east', 'west'];

/** Sizes of the simulated sites: a small one, and those of the two deployments. */
export const SITE_SIZES = {
  small: { cores: 3, edges: 5, workers: 4, zones: ZONES },
  vejsargs: { cores: 3, edges: 9, workers: 8, zones: ZONES },
  malabon: { cores: 3, edges: 8, workers: 13, zones: ZONES },
} as const satisfies Record<string, SiteSize>;

/**
 * Returns the small spec that trials start with; `turn` varies the share of its group.
 * @example
 * trialSpec(0).models.length; // 8
 */
export function trialSpec(
  turn: number,
): { models: { name: string; sizeMb: number }[]; groups: unknown[] } & Record<string, unknown> {
  return {
    deployment: 'park',
    zones: ['north', 'east', 'west'],
    store: { pullsPerMinute: 240, concurrentPulls: 2 },
    workers: { roomMb: 50_000, slots: 4 },
    models: Array.from({ length: 8 }, (_, place) => ({
      name: `model-${place}`,
      sizeMb: 9000 + place * 1000,
    })),
    adapters: [{ name: 'adapter-0', model: 'model-0', sizeMb: 200 }],
    groups: [
      {
        name: 'technicians',
        share: 1 + turn,
        kinds: [{ name: 'question', targetMs: 800, patienceMs: 5000 }],
        models: ['*'],
      },
    ],
    routes: [
      { path: '/v1/chat/completions', serve: 'chat' },
      { path: '/lookup', serve: 'lookup', pool: 'desks' },
    ],
  };
}

/**
 * Runs the trial of one seed: start, random faults, repair and recovery, then one more fault and recovery.
 * @example
 * const result = runTrial(17);
 * result.breaches.length; // 0
 */
export function runTrial(seed: number, size: SiteSize = SITE_SIZES.small): TrialResult {
  const site = new Site(seed, size, 0.01);
  const trial = new Trial(site);
  return trial.run(seed);
}

class Trial {
  #site: Site;
  #faults: string[] = [];
  #repairs: (() => void)[] = [];
  #operationCount = 0;
  #lastMark = 0;
  #lastRacedEntry = '';

  constructor(site: Site) {
    this.#site = site;
  }

  run(seed: number): TrialResult {
    const { time, oracle, net, machines } = this.#site;
    for (const machine of machines) time.after(this.#randomBelow(1500), () => this.#site.boot(machine));
    time.runUntil(START_MS);
    const broken = this.#site.notConvergedReason();
    if (broken !== undefined) oracle.reportBreach('starts in 8 s', broken, time.nowMs());
    this.#site.submit(this.#randomMachine(), 'spec.put', { base: 0, text: JSON.stringify(trialSpec(0)) });
    time.runUntil(START_MS + 2000);
    if (oracle.answeredCount === 0)
      oracle.reportBreach('a spec is agreed', 'not within 2 s of a quiet start', time.nowMs());
    this.#site.trafficEnabled = true;
    this.#submitOperations();
    this.#injectFaults();
    time.runUntil(FAULTS_END_MS);
    for (const mend of this.#repairs) mend();
    for (const machine of machines) this.#site.boot(machine);
    this.#site.recordEvent('', 'all mended');
    const firstMs = this.#awaitRecovery();
    this.#pick(this.#faultActions())();
    time.runUntil(time.nowMs() + SECOND_FAULT_MS);
    for (const mend of this.#repairs) mend();
    for (const machine of machines) this.#site.boot(machine);
    this.#site.recordEvent('', 'all mended again');
    const recoveredMs = Math.max(firstMs, this.#awaitRecovery());
    return {
      seed,
      breaches: oracle.breaches,
      agreed: oracle.answeredCount,
      versions: oracle.versions,
      casts: oracle.casts,
      served: oracle.served,
      refused: oracle.refused,
      unknown: oracle.unknownOutcomes,
      cuts: oracle.truncatedStreams,
      refusals: oracle.refusals,
      frames: net.frames,
      bytes: net.bytes,
      recoveredMs,
      faults: this.#faults,
      timeline: renderTimeline(
        machines.map((machine) => machine.name),
        this.#site.timeline,
      ),
    };
  }

  #awaitRecovery(): number {
    const { time, oracle } = this.#site;
    const mendedMs = time.nowMs();
    while (time.nowMs() < mendedMs + RECOVER_MS && this.#site.notConvergedReason() !== undefined)
      time.runUntil(time.nowMs() + 100);
    const recoveredMs = time.nowMs() - mendedMs;
    const broken = this.#site.notConvergedReason();
    if (broken !== undefined) oracle.reportBreach('back within 12 s', broken, time.nowMs());
    const before = oracle.answeredCount;
    const deadlineMs = time.nowMs() + 3000;
    while (
      this.#site.submit(this.#randomMachine(), 'zone.empty', { zone: 'north' }) === '' &&
      time.nowMs() < deadlineMs
    ) {
      time.runUntil(time.nowMs() + 100);
    }
    time.runUntil(deadlineMs);
    if (oracle.answeredCount === before)
      oracle.reportBreach('agreement after recovery', 'no answer within 3 s', time.nowMs());
    return recoveredMs;
  }

  #randomBelow(most: number): number {
    return this.#site.random.next() * most;
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#randomBelow(items.length))] as T;
  }

  #randomMachine(): Machine {
    return this.#pick(this.#site.machines);
  }

  #submitOperations(): void {
    const { time } = this.#site;
    if (time.nowMs() > FAULTS_END_MS) return;
    this.#operationCount += 1;
    const machine = this.#randomMachine();
    const spec = machine.running?.clusterNode.state.spec;
    const kind = this.#randomBelow(5);
    if (kind < 1.6) {
      const text = JSON.stringify({
        ...(JSON.parse(spec?.text ?? '{}') as object),
        groups: trialSpec(this.#operationCount).groups,
      });
      this.#site.submit(machine, 'spec.put', { base: spec?.version ?? 0, text });
    } else if (kind < 3) this.#raceOperators();
    else if (kind < 3.6) this.#site.submit(machine, 'zone.empty', { zone: this.#pick(this.#site.zones) });
    else this.#site.submit(machine, 'zone.restore', { zone: this.#pick(this.#site.zones) });
    time.after(this.#randomBelow(800), () => this.#submitOperations());
  }

  /**
   * Submits concurrent edits at two nodes: each adds an entry of its own, both add the same one, both replace
   * an older one, and one removes another.
   */
  #raceOperators(): void {
    const turn = this.#operationCount;
    const [one, other] = [this.#randomMachine(), this.#randomMachine()];
    for (const [place, machine] of [one, other].entries()) {
      this.#submitEdit(machine, 'add', `race-${turn}-${place}`);
      this.#submitEdit(machine, 'add', `race-${turn}`);
      this.#submitEdit(machine, 'replace', this.#lastRacedEntry);
    }
    this.#submitEdit(one, 'remove', `race-${turn - 5}`);
    this.#lastRacedEntry = `race-${turn}`;
  }

  #submitEdit(machine: Machine, verb: 'add' | 'replace' | 'remove', name: string): void {
    const { oracle } = this.#site;
    this.#lastMark += 1;
    const mark = verb === 'remove' ? undefined : this.#lastMark;
    const entry = { name, model: 'model-0', sizeMb: mark };
    const edit = { [verb]: { adapters: [verb === 'remove' ? name : entry] } };
    const seen = machine.running?.clusterNode.state.spec?.version ?? 0;
    oracle.editSubmitted(name);
    const id = this.#site.submit(machine, 'spec.edit', { seen, edit }, (answer) =>
      oracle.editAnswered(name, mark, answer.kind, answer.number),
    );
    if (id === '') oracle.editAnswered(name, mark, 'unreached', 0);
  }

  #injectFaults(): void {
    const { time } = this.#site;
    if (time.nowMs() > FAULTS_END_MS - 3000) return;
    this.#pick(this.#faultActions())();
    time.after(500 + this.#randomBelow(6000), () => this.#injectFaults());
  }

  #faultActions(): (() => void)[] {
    return [
      () => this.#killOne(),
      () => this.#killCore(),
      () => this.#freezeOne(),
      () => this.#cutOne(),
      () => this.#cutZone(),
      () => this.#cutOneWay(),
      () => this.#cutCores(),
      () => this.#stallDisk(),
      () => this.#replaceCore(),
      () => this.#killAll(),
      () => this.#killCoordinator(),
      () => this.#crashWorker(),
      () => this.#silenceWorker(),
      () => this.#drainWorker(),
      () => this.#crashLookups(),
      () => this.#cutWorker(),
      () => this.#cutWorker(),
      () => this.#faultyWorker(),
      () => this.#faultyWorker(),
      () => this.#losePowerAtAnswer(),
      () => this.#killCoordinatorAtStep(),
      () => this.#killCoordinatorAtStep(),
      () => this.#loseCoreAtStep(),
      () => this.#loseCoreAtStep(),
      () => this.#loseZone(),
      () => this.#loseZone(),
      () => this.#trafficBurst(),
      () => this.#requestEveryModel(),
      () => this.#replaceWorkers(),
      () => this.#removeWorkerSoon(),
      () => this.#changeSeeds(),
      () => this.#slowDisk(),
      () => this.#fullDisk(),
    ];
  }

  #scheduleRepair(waitMs: number, mend: () => void): void {
    let done = false;
    function once(): void {
      if (!done) mend();
      done = true;
    }
    this.#repairs.push(once);
    this.#site.time.after(waitMs, once);
  }

  #recordFault(text: string): void {
    this.#faults.push(text);
    this.#site.recordEvent('', text);
  }

  #killFor(machine: Machine, waitMs: number): void {
    this.#recordFault(`kill ${machine.name}`);
    this.#site.kill(machine);
    this.#scheduleRepair(waitMs, () => this.#site.boot(machine));
  }

  #killOne(): void {
    this.#killFor(this.#randomMachine(), this.#randomBelow(5000));
  }

  #killCore(): void {
    this.#killFor(this.#pick(this.#cores()), this.#randomBelow(5000));
  }

  #killCoordinator(): void {
    const leader = this.#site.machines.find(
      (machine) => machine.running?.clusterNode.group.isCoordinator === true,
    );
    if (leader !== undefined) this.#killFor(leader, this.#randomBelow(4000));
  }

  #killAll(): void {
    for (const machine of this.#site.machines) this.#killFor(machine, this.#randomBelow(1500));
  }

  #cores(): Machine[] {
    return this.#site.machines.filter((machine) => machine.disk !== undefined);
  }

  #freezeOne(): void {
    const machine = this.#randomMachine();
    this.#recordFault(`freeze ${machine.name}`);
    this.#site.freeze(machine, 300 + this.#randomBelow(6000));
  }

  #cut(text: string, cut: IsBlocked): void {
    this.#recordFault(text);
    this.#site.net.cut(cut);
    this.#scheduleRepair(500 + this.#randomBelow(6000), () => {
      this.#site.recordEvent('', `healed: ${text}`);
      this.#site.net.heal(cut);
    });
  }

  #cutOne(): void {
    const { name } = this.#randomMachine();
    this.#cut(`cut off ${name}`, (from, to) => (from === name) !== (to === name));
  }

  #cutOneWay(): void {
    const { name } = this.#randomMachine();
    this.#cut(`${name} cannot send`, (from) => from === name);
  }

  #cutZone(): void {
    const zone = this.#pick(this.#site.zones);
    const { machines, workers } = this.#site;
    const inside = new Set(
      [...machines, ...workers].filter((one) => one.zone === zone).map((one) => one.name),
    );
    this.#cut(`cut off zone ${zone}`, (from, to) => inside.has(from) !== inside.has(to));
  }

  #cutCores(): void {
    const cores = new Set(this.#cores().map((machine) => machine.name));
    if (this.#randomBelow(2) < 1) {
      this.#cut('cut the core off', (from, to) => cores.has(from) !== cores.has(to));
      return;
    }
    const { name } = this.#pick(this.#cores());
    this.#cut(
      `cut ${name} from the other cores`,
      (from, to) => cores.has(from) && cores.has(to) && (from === name) !== (to === name),
    );
  }

  /** Cuts one edge, or all, from one worker, or all: in both directions, or only for requests or answers. */
  #cutWorker(): void {
    const { machines, workers, random: rng } = this.#site;
    const edge = this.#pick(machines).name;
    const worker = this.#pick(workers).name;
    const names = new Set(workers.map((one) => one.name));
    const [oneEdge, oneWorker] = [rng.next() < 0.7, rng.next() < 0.7];
    const way = this.#pick(['both', 'requests', 'answers'] as const);
    function crosses(from: string, to: string): boolean {
      return (!oneEdge || from === edge) && (oneWorker ? to === worker : names.has(to)) && !names.has(from);
    }
    this.#cut(
      `cut ${way} between ${oneEdge ? edge : 'all'} and ${oneWorker ? worker : 'every worker'}`,
      (from, to) => (way !== 'answers' && crosses(from, to)) || (way !== 'requests' && crosses(to, from)),
    );
  }

  #faultyWorker(): void {
    const worker = this.#pick(this.#site.workers);
    worker.faultMode = this.#pick(['early', 'more', 'nonsense'] as const);
    this.#recordFault(`${worker.name} answers ${worker.faultMode}`);
    this.#scheduleRepair(this.#randomBelow(4000), () => {
      worker.faultMode = 'well';
    });
  }

  #crashWorker(): void {
    const worker = this.#pick(this.#site.workers);
    this.#recordFault(`crash ${worker.name}`);
    worker.crash();
    this.#scheduleRepair(this.#randomBelow(6000), () => {
      worker.up = true;
    });
  }

  #silenceWorker(): void {
    const worker = this.#pick(this.#site.workers);
    this.#recordFault(`${worker.name} goes dark`);
    worker.unresponsive = true;
    this.#scheduleRepair(this.#randomBelow(6000), () => {
      worker.unresponsive = false;
    });
  }

  #crashLookups(): void {
    this.#recordFault('crash every lookup');
    for (const worker of this.#site.workers) {
      if (worker.kind !== 'lookup') continue;
      worker.crash();
      this.#scheduleRepair(1000 + this.#randomBelow(4000), () => {
        worker.up = true;
      });
    }
  }

  /** Cuts the power of every core when an operator is next answered, while two of their disks stall. */
  #losePowerAtAnswer(): void {
    const { time } = this.#site;
    const cores = this.#cores();
    this.#recordFault('all cores lose power at the next answer');
    for (const machine of cores.slice(0, 2))
      if (machine.disk !== undefined) machine.disk.stallUntilMs = time.nowMs() + 2000;
    this.#site.onOperationAnswered = () => {
      this.#site.onOperationAnswered = undefined;
      for (const machine of cores) this.#killFor(machine, this.#randomBelow(1000));
    };
    this.#scheduleRepair(4000, () => {
      this.#site.onOperationAnswered = undefined;
    });
  }

  /**
   * Kills the coordinator at a step of a view change, an agreement or a candidacy, just after cutting the
   * link between it and another core.
   */
  #killCoordinatorAtStep(): void {
    const { net, time, machines } = this.#site;
    const step = this.#pick(PROTOCOL_STEPS);
    const other = this.#pick(this.#cores()).name;
    this.#recordFault(`kill the coordinator at its next ${step}`);
    net.tap = (from, frame) => {
      const leader = machines.find((machine) => machine.running?.clusterNode.group.isCoordinator === true);
      if (
        leader === undefined ||
        frame.body.case !== step ||
        (from !== leader.name && step !== 'flushReply' && step !== 'accepted')
      )
        return;
      net.tap = undefined;
      if (other !== leader.name) {
        this.#cut(
          `${leader.name} and ${other} apart`,
          (one, two) => (one === leader.name && two === other) || (one === other && two === leader.name),
        );
      }
      time.after(this.#randomBelow(6), () => this.#killFor(leader, this.#randomBelow(4000)));
    };
    this.#scheduleRepair(5000, () => {
      net.tap = undefined;
    });
  }

  /**
   * Cuts a core's power, or replaces it with an empty disk, at a step of a write or as its answer is
   * sent.
   */
  #loseCoreAtStep(): void {
    const { net, time } = this.#site;
    const machine = this.#pick(this.#cores());
    const disk = machine.disk;
    const step = this.#pick(['written', 'renamed', 'synced', 'answered'] as const);
    const whole = this.#site.notConvergedReason() === undefined && this.#site.votersInView() === 3;
    const wiped = whole && this.#randomBelow(2) < 1;
    if (disk === undefined) return;
    this.#recordFault(
      `${machine.name} loses ${wiped ? 'its disk' : 'power'} when its next version is ${step}`,
    );
    const lose = (): void => {
      disk.onStep = undefined;
      net.tap = undefined;
      if (!wiped) return this.#killFor(machine, this.#randomBelow(2000));
      this.#replace(machine);
    };
    disk.onStep = (reached, kind) => {
      if (reached === step && kind === 'version') lose();
    };
    if (step === 'answered') {
      net.tap = (from, frame) => {
        if (from === machine.name && frame.body.case === 'accepted') time.after(0, lose);
      };
    }
    this.#scheduleRepair(3000, () => {
      disk.onStep = undefined;
      net.tap = undefined;
    });
  }

  #drainWorker(): void {
    const { name } = this.#pick(this.#site.workers);
    this.#recordFault(`${name} is leaving`);
    this.#site.markDraining(new Set([name]));
  }

  /** Takes down all nodes and workers of a zone, sometimes while a zone is being evacuated. */
  #loseZone(): void {
    const zone = this.#pick(this.#site.zones);
    const { machines, workers } = this.#site;
    this.#recordFault(`zone ${zone} is lost`);
    const waitMs = this.#randomBelow(6000);
    if (this.#randomBelow(2) < 1)
      this.#site.submit(this.#randomMachine(), 'zone.empty', { zone: this.#pick(this.#site.zones) });
    for (const machine of machines) if (machine.zone === zone) this.#killFor(machine, waitMs);
    for (const worker of workers) {
      if (worker.zone !== zone) continue;
      worker.crash();
      this.#scheduleRepair(waitMs, () => {
        worker.up = true;
      });
    }
  }

  /** Sends a burst of requests to one edge or to all. */
  #trafficBurst(): void {
    const edges = this.#site.machines.flatMap((machine) => machine.running?.edge ?? []);
    const at = this.#randomBelow(2) < 1 ? edges : edges.slice(0, 1);
    this.#recordFault(`a crowd at ${at.length} edges`);
    for (const edge of at)
      for (let place = 0; place < 60; place += 1)
        this.#site.sendRandomRequest(edge, place % 2 === 0, place % 2 === 0 ? '' : 'model-1');
  }

  /** Requests every model, also the rarely used ones, at every edge at once. */
  #requestEveryModel(): void {
    this.#recordFault('every model is asked for at once');
    for (const { running } of this.#site.machines) {
      for (let place = 0; place < 8 && running?.edge !== undefined; place += 1)
        this.#site.sendRandomRequest(running.edge, false, `model-${place}`);
    }
  }

  /** Replaces the workers one by one: each is marked as draining, removed, and returns empty, same name. */
  #replaceWorkers(): void {
    this.#recordFault('workers are replaced one by one');
    this.#site.workers.forEach((worker, place) => {
      this.#site.time.after(place * 1500, () => this.#site.markDraining(new Set([worker.name])));
      this.#site.time.after(place * 1500 + 1000, () => worker.crash());
      this.#scheduleRepair(place * 1500 + 1400, () => {
        worker.up = true;
      });
    });
    this.#scheduleRepair(this.#site.workers.length * 1500, () => this.#site.markDraining(new Set()));
  }

  /** Marks a worker as draining and removes it within two seconds; a new one takes its name and address. */
  #removeWorkerSoon(): void {
    const worker = this.#pick(this.#site.workers);
    this.#recordFault(`${worker.name} is taken away at short notice`);
    this.#site.markDraining(new Set([worker.name]));
    this.#site.time.after(100 + this.#randomBelow(1900), () => worker.crash());
    this.#scheduleRepair(2000 + this.#randomBelow(3000), () => {
      worker.up = true;
      this.#site.markDraining(new Set());
    });
  }

  /** Gives other seeds to all nodes that boot from now on, and moves a core to another address. */
  #changeSeeds(): void {
    const seeds = [this.#randomMachine(), this.#randomMachine(), this.#randomMachine()];
    this.#recordFault(`seeds are ${seeds.map((machine) => machine.name).join(', ')}`);
    const machine = this.#pick(this.#cores());
    this.#site.kill(machine);
    machine.address = `${machine.name}:${machine.bootCount}`;
    this.#site.seeds = seeds;
    this.#scheduleRepair(this.#randomBelow(1000), () => this.#site.boot(machine));
    const other = this.#randomMachine();
    if (other !== machine) this.#killFor(other, this.#randomBelow(1000));
  }

  #slowDisk(): void {
    const { disk, name } = this.#pick(this.#cores());
    if (disk === undefined) return;
    this.#recordFault(`disk of ${name} is slow`);
    disk.slowMs = 50 + this.#randomBelow(400);
    this.#scheduleRepair(this.#randomBelow(6000), () => {
      disk.slowMs = 0;
    });
  }

  /** Fills a core's disk, which stops the core; later frees the disk and boots the core again. */
  #fullDisk(): void {
    const machine = this.#pick(this.#cores());
    if (machine.disk === undefined) return;
    this.#recordFault(`disk of ${machine.name} is full`);
    machine.disk.full = true;
    this.#scheduleRepair(1000 + this.#randomBelow(4000), () => {
      if (machine.disk !== undefined) machine.disk.full = false;
      this.#site.boot(machine);
    });
  }

  #stallDisk(): void {
    const machine = this.#pick(this.#cores());
    if (machine.disk === undefined) return;
    this.#recordFault(`disk of ${machine.name} stalls`);
    machine.disk.stallUntilMs = this.#site.time.nowMs() + this.#randomBelow(6000);
    this.#repairs.push(() => {
      if (machine.disk !== undefined) machine.disk.stallUntilMs = 0;
    });
  }

  /** Replaces a core by an empty one at a new address, old disk lost; only while all voters are in view. */
  #replaceCore(): void {
    if (this.#site.notConvergedReason() !== undefined || this.#site.votersInView() < 3) return;
    const machine = this.#pick(this.#cores());
    this.#recordFault(`replace ${machine.name} by an empty one`);
    this.#replace(machine);
  }

  #replace(machine: Machine): void {
    this.#site.kill(machine);
    machine.disk?.wipe();
    this.#site.time.after(200, () => {
      machine.address = `${machine.name}:${machine.bootCount}`;
      this.#site.boot(machine);
    });
  }
}
