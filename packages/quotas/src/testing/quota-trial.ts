/**
 * Seeded trials of quotas: edges and cores with a modelled process group and a network that loses and delays
 * messages, under kills, freezes, link cuts and limit changes, checked by the bound oracle and the refusal
 * oracle.
 */
import { SeededRandom } from '@rainrun/common';
import { allocatorOf } from '../allocator-choice.js';
import { shardLimits } from '../shards.js';
import type { QuotaBounds, TenantLimit } from '../permits.js';
import { BoundOracle, type BoundBreach } from './bound-oracle.js';
import { CoreNode } from './core-node.js';
import { EdgeNode } from './edge-node.js';
import { EventQueue } from './event-queue.js';
import { GroupModel } from './group-model.js';
import { Machine, Network } from './machine.js';
import type { Mutant } from './mutants.js';
import { RefusalOracle, type RefusalCounts } from './refusal-oracle.js';
import { FaultInjector } from './fault-injector.js';

const CORES = 5;
const EDGES = 8;
/**
 * Requests start once the group is complete and buckets are full, as on a site whose machines start before
 * its traffic.
 */
const TRAFFIC_START_MS = 4000;
const FAULTS_START_MS = 6000;
const FAULTS_END_MS = 22_000;
const END_MS = 34_000;

/** Longest time until a core learns of a limit change. */
const MAX_LIMIT_PROPAGATION_MS = 600;

/** Fraction of the trials that have no faults. */
const FAULT_FREE_FRACTION = 0.2;

/** Bounds of a typical site, and tighter ones, under which smaller excesses are detected. */
const TYPICAL_BOUNDS: QuotaBounds = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const TIGHT_BOUNDS: readonly QuotaBounds[] = [
  { windowMs: 2000, overshoot: 0.1, slack: 2 },
  { windowMs: 1000, overshoot: 0.15, slack: 1 },
];
const TYPICAL_BOUNDS_FRACTION = 0.4;

/** Highest load, as a fraction of the tenant's limit, that counts as light. */
const MAX_LIGHT_LOAD = 0.5;

/** A tenant of a trial with its limit and load. */
interface TenantPlan {
  readonly name: string;
  readonly limit: TenantLimit;
  /**
   * Average request rate as a fraction of the limit: of the limit in force if below 1, else of the initial
   * limit.
   */
  readonly load: number;
  /** Whether the tenant pauses now and then, so that its bucket is full when it resumes sending. */
  readonly isBursty: boolean;
}

/** Result of a trial. */
export interface QuotaTrialResult {
  /** Whether the trial ran with the bounds of a typical site. */
  readonly hasTypicalBounds: boolean;
  readonly breaches: readonly BoundBreach[];
  /** Highest number of requests in a window, as a fraction of the window's bound. */
  readonly peakUsage: number;
  /** Refusals of tenants with a load of up to half of their limits. */
  readonly light: RefusalCounts;
  /** Refusals of tenants with a load of more than half of their limits, but below them. */
  readonly nearLimit: RefusalCounts;
  readonly sent: number;
  readonly views: number;
  readonly faults: readonly string[];
}

/**
 * Runs one trial. The same seed gives the same trial.
 * @example
 * runQuotaTrial(7).breaches; // []
 */
export function runQuotaTrial(seed: number, mutant?: Mutant): QuotaTrialResult {
  return new QuotaTrial(seed, mutant).run();
}

function tenantPlans(): TenantPlan[] {
  const list: TenantPlan[] = [];
  function add(name: string, ratePerS: number, burst: number, load: number, isBursty = false): void {
    list.push({ name, limit: { name, ratePerS, burst }, load, isBursty });
  }
  for (let index = 1; index <= 4; index += 1) add(`hot-${index}`, 30, 3, 2.5, true);
  add('hot-5', 30, 30, 2.5, true);
  add('near-1', 12, 12, 0.85);
  add('near-2', 25, 25, 0.9);
  add('half-1', 12, 12, 0.5);
  add('half-2', 25, 25, 0.5);
  for (let index = 1; index <= 6; index += 1) add(`idle-${index}`, 5, 5, 0.06);
  return list;
}

class QuotaTrial {
  #random: SeededRandom;
  #events = new EventQueue();
  #network: Network;
  #bounds: QuotaBounds;
  #mutant: Mutant | undefined;
  #plans = tenantPlans();
  #limits = new Map<string, TenantLimit>();
  #cores: CoreNode[] = [];
  #edges: EdgeNode[] = [];
  #group: GroupModel;
  #boundOracle: BoundOracle;
  #refusals = new RefusalOracle();
  #sent = 0;
  #stalledUntilMs = 0;
  #coresCreated = 0;

  constructor(seed: number, mutant: Mutant | undefined) {
    this.#random = new SeededRandom(seed);
    this.#mutant = mutant;
    this.#network = new Network(this.#events, this.#random);
    this.#bounds = this.#pickBounds();
    this.#boundOracle = new BoundOracle(this.#bounds);
    for (const { limit } of this.#plans) this.#setLimit(limit);
    for (let index = 0; index < CORES; index += 1) this.#addCore();
    this.#group = new GroupModel(this.#cores, this.#events, this.#network);
    for (let index = 1; index <= EDGES; index += 1) this.#edges.push(this.#makeEdge(`edge-${index}`));
  }

  run(): QuotaTrialResult {
    this.#events.runUntil(TRAFFIC_START_MS);
    for (const plan of this.#plans) this.#scheduleNextRequest(plan);
    const injector = this.#makeFaultInjector();
    if (this.#random.next() >= FAULT_FREE_FRACTION) injector.schedule(FAULTS_START_MS, FAULTS_END_MS);
    this.#recordMoves();
    this.#events.runUntil(END_MS);
    return {
      hasTypicalBounds: this.#bounds === TYPICAL_BOUNDS,
      breaches: this.#boundOracle.breaches,
      peakUsage: this.#boundOracle.peakUsage,
      light: this.#count((load) => load <= MAX_LIGHT_LOAD),
      nearLimit: this.#count((load) => load > MAX_LIGHT_LOAD && load < 1),
      sent: this.#sent,
      views: this.#group.view.number,
      faults: injector.log,
    };
  }

  #count(isCounted: (load: number) => boolean): RefusalCounts {
    const tenants = this.#plans.filter(({ load }) => isCounted(load)).map(({ name }) => name);
    return this.#refusals.count(new Set(tenants));
  }

  #pickBounds(): QuotaBounds {
    if (this.#random.next() < TYPICAL_BOUNDS_FRACTION) return TYPICAL_BOUNDS;
    return TIGHT_BOUNDS[Math.floor(this.#random.next() * TIGHT_BOUNDS.length)] ?? TYPICAL_BOUNDS;
  }

  #makeFaultInjector(): FaultInjector {
    return new FaultInjector({
      events: this.#events,
      random: this.#random,
      network: this.#network,
      cores: this.#cores,
      edges: this.#edges,
      group: this.#group,
      refusals: this.#refusals,
      replaceCore: (core) => {
        core.machine.kill();
        this.#events.after(this.#random.next() * 1500, () => this.#addCore());
      },
      changeLimit: () => this.#changeLimit(),
      stallWorkers: (durationMs) => (this.#stalledUntilMs = this.#events.nowMs + durationMs),
    });
  }

  #machine(name: string): Machine {
    return new Machine(name, this.#events, this.#random);
  }

  #addCore(): void {
    this.#coresCreated += 1;
    this.#cores.push(
      new CoreNode({
        machine: this.#machine(`core-${this.#coresCreated}`),
        network: this.#network,
        random: this.#random,
        bounds: this.#bounds,
        mutant: this.#mutant,
        coreOf: (incarnation) => this.#group.coreOf(incarnation),
        limits: () => [...this.#limits.values()],
      }),
    );
  }

  #makeEdge(name: string): EdgeNode {
    return new EdgeNode({
      machine: this.#machine(name),
      network: this.#network,
      random: this.#random,
      bounds: this.#bounds,
      mutant: this.#mutant,
      cores: this.#cores,
      coreOf: (incarnation) => this.#group.coreOf(incarnation),
      limitOf: (tenant) => this.#limits.get(tenant) ?? { burst: 0 },
      nowMs: () => this.#events.nowMs,
      stalledForMs: () => Math.max(0, this.#stalledUntilMs - this.#events.nowMs),
      onSent: (tenant) => {
        this.#sent += 1;
        this.#boundOracle.onSent(tenant, this.#events.nowMs);
      },
    });
  }

  /** Schedules the next request of a tenant at a random edge; arrivals form a Poisson process. */
  #scheduleNextRequest(plan: TenantPlan): void {
    const { ratePerS } = plan.load < 1 ? (this.#limits.get(plan.name) ?? plan.limit) : plan.limit;
    const perMs = (ratePerS * plan.load) / 1000;
    const intervalMs = -Math.log(1 - this.#random.next()) / perMs;
    const pauseMs = plan.isBursty && this.#random.next() < 0.002 ? 1000 + this.#random.next() * 2000 : 0;
    this.#events.after(intervalMs + pauseMs, () => {
      const edge = this.#edges[Math.floor(this.#random.next() * this.#edges.length)];
      edge?.machine.run(() => {
        edge.request(this.#refusals.onRequest(plan.name, edge.machine.name, this.#events.nowMs));
      });
      this.#scheduleNextRequest(plan);
    });
  }

  #setLimit(limit: TenantLimit): void {
    this.#limits.set(limit.name, limit);
    this.#boundOracle.onLimit(limit, this.#events.nowMs);
    this.#refusals.onLimit(limit, this.#events.nowMs);
  }

  /** Raises or lowers a limit permanently, or removes a tenant and adds it again. */
  #changeLimit(): string {
    const plan = this.#plans[Math.floor(this.#random.next() * this.#plans.length)] ?? tenantPlans()[0];
    if (plan === undefined) return '';
    const factor = [0.5, 1, 1.5][Math.floor(this.#random.next() * 3)] ?? 1;
    const { burst, name, ratePerS } = plan.limit;
    if (factor === 1) {
      this.#limits.delete(name);
      this.#events.after(200 + this.#random.next() * 2000, () => {
        this.#limits.set(name, plan.limit);
        this.#setLimit(plan.limit);
        this.#propagateLimits();
      });
    } else this.#setLimit({ name, ratePerS: ratePerS * factor, burst: burst * factor });
    this.#propagateLimits();
    return name;
  }

  #propagateLimits(): void {
    for (const core of this.#cores)
      this.#events.after(this.#random.next() * MAX_LIMIT_PROPAGATION_MS, () =>
        core.machine.run(() => core.reloadLimits()),
      );
  }

  /** Records the tenants whose allocator changes with a view. */
  #recordMoves(): void {
    this.#group.onViewChosen = (before, view) => {
      for (const { name, limit } of this.#plans) {
        const isSame = shardLimits(limit, this.#bounds).every(
          (shard) =>
            allocatorOf(shard.name, before.members)?.incarnation ===
            allocatorOf(shard.name, view.members)?.incarnation,
        );
        if (!isSame) this.#refusals.moves.push({ tenant: name, atMs: this.#events.nowMs });
      }
    };
  }
}
