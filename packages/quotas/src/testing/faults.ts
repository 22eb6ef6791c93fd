/** What happens to the machines, links and limits of a trial. */
import type { RandomSource } from '@rainrun/common';
import type { CoreNode } from './core-node.js';
import type { EdgeNode } from './edge-node.js';
import type { EventQueue } from './event-queue.js';
import type { GroupModel } from './group-model.js';
import { linkName, type Machine, type Network } from './machine.js';
import type { RefusalOracle } from './refusal-oracle.js';

/** Times between two faults. */
const FAULT_LEAST_MS = 500;
const FAULT_SPREAD_MS = 3500;

/** How long one lasts. */
const LAST_LEAST_MS = 200;
const LAST_SPREAD_MS = 3500;

/** Who is cut off for so long is left out of the view. */
const LEAVE_OUT_MS = 1300;

/** The part of the edges that are cut off together with a core. */
const SPLIT_EDGES_PART = 0.4;

/** Cores that were added last stand for those in use; earlier ones were replaced. */
const CORES_IN_USE = 5;

/** What faults act on. */
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
  readonly stall: (lastsMs: number) => void;
}

type Fault = (lastsMs: number) => string;

/** Plays faults one after the other, some of them at once. */
export class Faults {
  readonly log: string[] = [];
  #world: FaultTargets;
  #kinds: readonly Fault[];

  constructor(world: FaultTargets) {
    this.#world = world;
    this.#kinds = [
      (lastsMs) => this.#killCore(lastsMs),
      (lastsMs) => this.#replaceCore(lastsMs),
      (lastsMs) => this.#freeze(this.#pickCore().machine, lastsMs),
      (lastsMs) => this.#isolateCore(lastsMs),
      (lastsMs) => this.#cutOneWay(lastsMs),
      (lastsMs) => this.#cutBridge(lastsMs),
      (lastsMs) => this.#cutFromCoordinator(lastsMs),
      (lastsMs) => this.#cutFromCoordinator(lastsMs),
      (lastsMs) => this.#splitZone(lastsMs),
      (lastsMs) => this.#interruptJoin(lastsMs),
      (lastsMs) => this.#interruptJoin(lastsMs),
      (lastsMs) => this.#killAllCores(lastsMs),
      (lastsMs) => this.#cutEdge(lastsMs),
      (lastsMs) => this.#freezeEdge(lastsMs),
      (lastsMs) => this.#killEdge(lastsMs),
      (lastsMs) => this.#stall(lastsMs),
      () => this.#changeLimit(),
    ];
  }

  /** Plays them from one moment to another. */
  play(fromMs: number, untilMs: number): void {
    const { events, random } = this.#world;
    if (fromMs > untilMs) return;
    events.after(fromMs - events.nowMs, () => {
      const lastsMs = LAST_LEAST_MS + random.next() * LAST_SPREAD_MS;
      const fault = this.#pick(this.#kinds);
      this.log.push(`${events.nowMs.toFixed(0)} ms: ${fault(lastsMs)} for ${lastsMs.toFixed(0)} ms`);
      this.play(events.nowMs + FAULT_LEAST_MS + random.next() * FAULT_SPREAD_MS, untilMs);
    });
  }

  #killCore(lastsMs: number): string {
    const core = this.#pickCore();
    core.machine.kill();
    this.#lasts(lastsMs, '', () => restart(core));
    return `kill ${core.machine.name}`;
  }

  /** With its disk; only where that leaves a majority, since the group could not go on otherwise. */
  #replaceCore(lastsMs: number): string {
    const core = this.#pickCore();
    const { group } = this.#world;
    const inUse = this.#world.cores.slice(-CORES_IN_USE);
    const isWhole = inUse.every(
      ({ machine, member }) => machine.isRunning && group.view.members.includes(member),
    );
    if (!isWhole) return this.#killCore(lastsMs);
    this.#world.replaceCore(core);
    this.#lasts(1500, '');
    return `replace ${core.machine.name}`;
  }

  #killAllCores(lastsMs: number): string {
    const cores = this.#world.cores.filter(({ machine }) => machine.isAlive);
    for (const core of cores) core.machine.kill();
    for (const core of cores)
      this.#lasts(lastsMs * (0.5 + this.#world.random.next() / 2), '', () => restart(core), true);
    return 'kill all cores';
  }

  #freeze(machine: Machine, lastsMs: number, only = ''): string {
    machine.freeze();
    this.#lasts(lastsMs, only, () => machine.wake());
    return `freeze ${machine.name}`;
  }

  #freezeEdge(lastsMs: number): string {
    const { machine } = this.#pick(this.#world.edges);
    return this.#freeze(machine, lastsMs, machine.name);
  }

  #killEdge(lastsMs: number): string {
    const edge = this.#pick(this.#world.edges);
    edge.machine.kill();
    this.#lasts(lastsMs / 4, edge.machine.name, () => {
      edge.machine.restart();
      edge.start();
    });
    return `kill ${edge.machine.name}`;
  }

  /** Cut from the other cores, but not from the edges. */
  #isolateCore(lastsMs: number): string {
    const { machine } = this.#pickCore();
    const links = this.#world.cores.flatMap((other) => bothWays(machine.name, other.machine.name));
    this.#cut(links, lastsMs, '');
    return `isolate ${machine.name}`;
  }

  #cutOneWay(lastsMs: number): string {
    const one = this.#pickCore().machine.name;
    const others = this.#world.cores.filter(({ machine }) => machine.name !== one);
    const isOutgoing = this.#world.random.next() < 0.5;
    const isOne = this.#world.random.next() < 0.5;
    const links = (isOne ? others.slice(0, 1) : others).map(({ machine: { name } }) =>
      isOutgoing ? linkName(one, name) : linkName(name, one),
    );
    this.#cut(links, lastsMs, '');
    return `cut ${links.join(' ')}`;
  }

  /** Two cores cannot reach each other while all others reach both. */
  #cutBridge(lastsMs: number): string {
    const links = bothWays(this.#pickCore().machine.name, this.#pickCore().machine.name);
    this.#cut(links, lastsMs, '');
    return `cut ${links.join(' ')}`;
  }

  /**
   * The coordinator and another core do not reach each other, so that the other is left out while it works; some edges
   * reach that one only, and ask it as long as they can.
   */
  #cutFromCoordinator(lastsMs: number): string {
    const { cores, edges, group, random } = this.#world;
    const { coordinator } = group;
    const alone = this.#pick(cores.slice(-CORES_IN_USE).filter((core) => core !== coordinator));
    const links = bothWays((coordinator ?? this.#pickCore()).machine.name, alone.machine.name);
    const within = edges.filter(() => random.next() < SPLIT_EDGES_PART);
    const others = cores.filter((core) => core !== alone);
    for (const { machine } of within)
      links.push(...others.flatMap((other) => bothWays(machine.name, other.machine.name)));
    this.#cut(links, LEAVE_OUT_MS + lastsMs, '');
    return `cut ${alone.machine.name} from the coordinator, with ${within.length} edges`;
  }

  /** One core and some edges are cut from the rest. */
  #splitZone(lastsMs: number): string {
    const { cores, edges, random } = this.#world;
    const alone = this.#pickCore();
    const within = edges.filter(() => random.next() < SPLIT_EDGES_PART);
    const links = cores
      .filter((core) => core !== alone)
      .flatMap(({ machine: { name } }) =>
        [alone, ...within].flatMap(({ machine }) => bothWays(name, machine.name)),
      );
    this.#cut(links, LEAVE_OUT_MS + lastsMs, '');
    return `split ${[alone, ...within].map(({ machine }) => machine.name).join(' ')}`;
  }

  /** Two cores are killed and come back; the others do not hear of the view that lets them in. */
  #interruptJoin(lastsMs: number): string {
    const { cores, group, random } = this.#world;
    const present = cores.slice(-CORES_IN_USE);
    const first = Math.floor(random.next() * present.length);
    const joiners = present.filter((_, index) => (index - first + present.length) % present.length < 2);
    for (const { machine } of joiners) machine.kill();
    this.#lasts(LEAVE_OUT_MS + lastsMs / 4, '', () => {
      for (const core of joiners) restart(core);
      group.onNextChoice = (coordinator) => this.#interruptSpread(coordinator, joiners, lastsMs);
    });
    return `kill ${joiners.map(({ machine }) => machine.name).join(' ')}, interrupt their return`;
  }

  #interruptSpread(coordinator: CoreNode, joiners: readonly CoreNode[], lastsMs: number): void {
    const links = this.#world.cores
      .filter((core) => core !== coordinator && !joiners.includes(core))
      .flatMap(({ machine }) => bothWays(coordinator.machine.name, machine.name));
    this.#cut(links, lastsMs, '');
  }

  #cutEdge(lastsMs: number): string {
    const { name } = this.#pick(this.#world.edges).machine;
    const isOneWay = this.#world.random.next() < 0.4;
    const links = this.#world.cores.flatMap(({ machine }) =>
      isOneWay ? [linkName(machine.name, name)] : bothWays(machine.name, name),
    );
    this.#cut(links, lastsMs, name);
    return `cut ${name}${isOneWay ? ' one way' : ''}`;
  }

  #stall(lastsMs: number): string {
    this.#world.stall(lastsMs);
    this.#lasts(lastsMs, '', undefined, true);
    return 'stall all workers';
  }

  #changeLimit(): string {
    const tenant = this.#world.changeLimit();
    this.#lasts(1000, tenant);
    return `change the limit of ${tenant}`;
  }

  #cut(links: readonly string[], lastsMs: number, only: string): void {
    const { cutLinks } = this.#world.network;
    for (const link of links) cutLinks.add(link);
    this.#lasts(lastsMs, only, () => {
      for (const link of links) cutLinks.delete(link);
    });
  }

  #lasts(lastsMs: number, only: string, end?: () => void, isOutage = false): void {
    const { events, refusals } = this.#world;
    refusals.disturbances.push({ fromMs: events.nowMs, untilMs: events.nowMs + lastsMs, only, isOutage });
    if (end !== undefined) events.after(lastsMs, end);
  }

  #pickCore(): CoreNode {
    return this.#pick(this.#world.cores.slice(-CORES_IN_USE));
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#world.random.next() * items.length)] as T;
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
