/** Injects faults into the machines, links and limits of a trial. */
import type { RandomSource } from '@rainrun/common';
import type { CoreNode } from './core-node.js';
import type { EdgeNode } from './edge-node.js';
import type { EventQueue } from './event-queue.js';
import type { GroupModel } from './group-model.js';
import { linkName, type Machine, type Network } from './machine.js';
import type { RefusalOracle } from './refusal-oracle.js';

/** Minimum and range of the interval between two faults. */
const MIN_FAULT_INTERVAL_MS = 500;
const FAULT_INTERVAL_RANGE_MS = 3500;

/** Minimum and range of the duration of a fault. */
const MIN_FAULT_DURATION_MS = 200;
const FAULT_DURATION_RANGE_MS = 3500;

/** Time after which a member that is cut off is excluded from the view. */
const EXCLUSION_MS = 1300;

/** Fraction of the edges that are cut off together with a core. */
const SPLIT_EDGES_FRACTION = 0.4;

/** Number of cores in use: the ones added last. Earlier ones have been replaced. */
const CORES_IN_USE = 5;

/** The parts of a trial that faults act on. */
export interface FaultTargets {
  readonly events: EventQueue;
  readonly random: RandomSource;
  readonly network: Network;
  readonly cores: readonly CoreNode[];
  readonly edges: readonly EdgeNode[];
  readonly group: GroupModel;
  readonly refusals: RefusalOracle;
  readonly replaceCore: (core: CoreNode) => void;
  readonly changeLimit: () => string;
  readonly stallWorkers: (durationMs: number) => void;
}

type Fault = (durationMs: number) => string;

/** Injects random faults one after another; the durations of some of them overlap. */
export class FaultInjector {
  readonly log: string[] = [];
  #targets: FaultTargets;
  #faults: readonly Fault[];

  constructor(targets: FaultTargets) {
    this.#targets = targets;
    this.#faults = [
      (durationMs) => this.#killCore(durationMs),
      (durationMs) => this.#replaceCore(durationMs),
      (durationMs) => this.#freeze(this.#pickCore().machine, durationMs),
      (durationMs) => this.#isolateCore(durationMs),
      (durationMs) => this.#cutOneWay(durationMs),
      (durationMs) => this.#cutBridge(durationMs),
      (durationMs) => this.#cutFromCoordinator(durationMs),
      (durationMs) => this.#cutFromCoordinator(durationMs),
      (durationMs) => this.#splitZone(durationMs),
      (durationMs) => this.#interruptJoin(durationMs),
      (durationMs) => this.#interruptJoin(durationMs),
      (durationMs) => this.#killAllCores(durationMs),
      (durationMs) => this.#cutEdge(durationMs),
      (durationMs) => this.#freezeEdge(durationMs),
      (durationMs) => this.#killEdge(durationMs),
      (durationMs) => this.#stallWorkers(durationMs),
      () => this.#changeLimit(),
    ];
  }

  /** Schedules random faults between two times. */
  schedule(fromMs: number, untilMs: number): void {
    const { events, random } = this.#targets;
    if (fromMs > untilMs) return;
    events.after(fromMs - events.nowMs, () => {
      const durationMs = MIN_FAULT_DURATION_MS + random.next() * FAULT_DURATION_RANGE_MS;
      const fault = this.#pick(this.#faults);
      this.log.push(`${events.nowMs.toFixed(0)} ms: ${fault(durationMs)} for ${durationMs.toFixed(0)} ms`);
      this.schedule(events.nowMs + MIN_FAULT_INTERVAL_MS + random.next() * FAULT_INTERVAL_RANGE_MS, untilMs);
    });
  }

  #killCore(durationMs: number): string {
    const core = this.#pickCore();
    core.machine.kill();
    this.#disturb(durationMs, '', () => restart(core));
    return `kill ${core.machine.name}`;
  }

  /**
   * Replaces a core and its disk if all cores in use are healthy, and otherwise kills a core instead: without
   * a majority the group could not continue.
   */
  #replaceCore(durationMs: number): string {
    const core = this.#pickCore();
    const { group } = this.#targets;
    const inUse = this.#targets.cores.slice(-CORES_IN_USE);
    const areAllHealthy = inUse.every(
      ({ machine, member }) => machine.isRunning && group.view.members.includes(member),
    );
    if (!areAllHealthy) return this.#killCore(durationMs);
    this.#targets.replaceCore(core);
    this.#disturb(1500, '');
    return `replace ${core.machine.name}`;
  }

  #killAllCores(durationMs: number): string {
    const cores = this.#targets.cores.filter(({ machine }) => machine.isAlive);
    for (const core of cores) core.machine.kill();
    for (const core of cores)
      this.#disturb(durationMs * (0.5 + this.#targets.random.next() / 2), '', () => restart(core), true);
    return 'kill all cores';
  }

  #freeze(machine: Machine, durationMs: number, scope = ''): string {
    machine.freeze();
    this.#disturb(durationMs, scope, () => machine.resume());
    return `freeze ${machine.name}`;
  }

  #freezeEdge(durationMs: number): string {
    const { machine } = this.#pick(this.#targets.edges);
    return this.#freeze(machine, durationMs, machine.name);
  }

  #killEdge(durationMs: number): string {
    const edge = this.#pick(this.#targets.edges);
    edge.machine.kill();
    this.#disturb(durationMs / 4, edge.machine.name, () => {
      edge.machine.restart();
      edge.start();
    });
    return `kill ${edge.machine.name}`;
  }

  /** Cuts a core off from the other cores, but not from the edges. */
  #isolateCore(durationMs: number): string {
    const { machine } = this.#pickCore();
    const links = this.#targets.cores.flatMap((other) => bothWays(machine.name, other.machine.name));
    this.#cut(links, durationMs, '');
    return `isolate ${machine.name}`;
  }

  #cutOneWay(durationMs: number): string {
    const one = this.#pickCore().machine.name;
    const others = this.#targets.cores.filter(({ machine }) => machine.name !== one);
    const isOutgoing = this.#targets.random.next() < 0.5;
    const isSingleLink = this.#targets.random.next() < 0.5;
    const links = (isSingleLink ? others.slice(0, 1) : others).map(({ machine: { name } }) =>
      isOutgoing ? linkName(one, name) : linkName(name, one),
    );
    this.#cut(links, durationMs, '');
    return `cut ${links.join(' ')}`;
  }

  /** Cuts the link between two cores while all other nodes reach both. */
  #cutBridge(durationMs: number): string {
    const links = bothWays(this.#pickCore().machine.name, this.#pickCore().machine.name);
    this.#cut(links, durationMs, '');
    return `cut ${links.join(' ')}`;
  }

  /**
   * Cuts the link between the coordinator and another core, so that the view excludes that core while it is
   * running. Some edges reach only the excluded core and keep asking it while they can.
   */
  #cutFromCoordinator(durationMs: number): string {
    const { cores, edges, group, random } = this.#targets;
    const { coordinator } = group;
    const isolated = this.#pick(cores.slice(-CORES_IN_USE).filter((core) => core !== coordinator));
    const links = bothWays((coordinator ?? this.#pickCore()).machine.name, isolated.machine.name);
    const attachedEdges = edges.filter(() => random.next() < SPLIT_EDGES_FRACTION);
    const others = cores.filter((core) => core !== isolated);
    for (const { machine } of attachedEdges)
      links.push(...others.flatMap((other) => bothWays(machine.name, other.machine.name)));
    this.#cut(links, EXCLUSION_MS + durationMs, '');
    return `cut ${isolated.machine.name} from the coordinator, with ${attachedEdges.length} edges`;
  }

  /** Cuts one core and some edges off from the other cores. */
  #splitZone(durationMs: number): string {
    const { cores, edges, random } = this.#targets;
    const isolated = this.#pickCore();
    const attachedEdges = edges.filter(() => random.next() < SPLIT_EDGES_FRACTION);
    const links = cores
      .filter((core) => core !== isolated)
      .flatMap(({ machine: { name } }) =>
        [isolated, ...attachedEdges].flatMap(({ machine }) => bothWays(name, machine.name)),
      );
    this.#cut(links, EXCLUSION_MS + durationMs, '');
    return `split ${[isolated, ...attachedEdges].map(({ machine }) => machine.name).join(' ')}`;
  }

  /**
   * Kills and restarts two cores, and keeps the view that admits them again from reaching the other cores.
   */
  #interruptJoin(durationMs: number): string {
    const { cores, group, random } = this.#targets;
    const coresInUse = cores.slice(-CORES_IN_USE);
    const firstIndex = Math.floor(random.next() * coresInUse.length);
    const joiners = coresInUse.filter(
      (_, index) => (index - firstIndex + coresInUse.length) % coresInUse.length < 2,
    );
    for (const { machine } of joiners) machine.kill();
    this.#disturb(EXCLUSION_MS + durationMs / 4, '', () => {
      for (const core of joiners) restart(core);
      group.onNextViewChosen = (coordinator) => this.#interruptBroadcast(coordinator, joiners, durationMs);
    });
    return `kill ${joiners.map(({ machine }) => machine.name).join(' ')}, interrupt their return`;
  }

  #interruptBroadcast(coordinator: CoreNode, joiners: readonly CoreNode[], durationMs: number): void {
    const links = this.#targets.cores
      .filter((core) => core !== coordinator && !joiners.includes(core))
      .flatMap(({ machine }) => bothWays(coordinator.machine.name, machine.name));
    this.#cut(links, durationMs, '');
  }

  #cutEdge(durationMs: number): string {
    const { name } = this.#pick(this.#targets.edges).machine;
    const isOneWay = this.#targets.random.next() < 0.4;
    const links = this.#targets.cores.flatMap(({ machine }) =>
      isOneWay ? [linkName(machine.name, name)] : bothWays(machine.name, name),
    );
    this.#cut(links, durationMs, name);
    return `cut ${name}${isOneWay ? ' one way' : ''}`;
  }

  #stallWorkers(durationMs: number): string {
    this.#targets.stallWorkers(durationMs);
    this.#disturb(durationMs, '', undefined, true);
    return 'stall all workers';
  }

  #changeLimit(): string {
    const tenant = this.#targets.changeLimit();
    this.#disturb(1000, tenant);
    return `change the limit of ${tenant}`;
  }

  #cut(links: readonly string[], durationMs: number, scope: string): void {
    const { cutLinks } = this.#targets.network;
    for (const link of links) cutLinks.add(link);
    this.#disturb(durationMs, scope, () => {
      for (const link of links) cutLinks.delete(link);
    });
  }

  #disturb(durationMs: number, scope: string, end?: () => void, isOutage = false): void {
    const { events, refusals } = this.#targets;
    refusals.disturbances.push({ fromMs: events.nowMs, untilMs: events.nowMs + durationMs, scope, isOutage });
    if (end !== undefined) events.after(durationMs, end);
  }

  #pickCore(): CoreNode {
    return this.#pick(this.#targets.cores.slice(-CORES_IN_USE));
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#targets.random.next() * items.length)] as T;
  }
}

function restart(core: CoreNode): void {
  if (core.machine.isAlive) return;
  core.machine.restart();
  core.start();
}

function bothWays(one: string, other: string): string[] {
  return [linkName(one, other), linkName(other, one)];
}
