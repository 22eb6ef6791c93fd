/** A whole simulated system that runs the production code in one thread and in virtual time. */
import { SeededRandom } from '@rainrun/common';
import type { Deployment } from '@rainrun/configuration';
import { CoreDirectory } from './system/core-directory.js';
import type { Document } from './system/configuration.js';
import { Demand, type Need } from './system/demand.js';
import { Expectations, type Acknowledged } from './system/expectations.js';
import { countVoters, Invariants } from './system/invariants.js';
import { Machine } from './system/machine.js';
import { Network } from './system/network.js';
import { OperatorClient, type OrderEnd } from './system/operator-client.js';
import type { OperatorRequest } from './system/operator-desk.js';
import { Processes } from './system/processes.js';
import { QuotaLoad } from './system/quota-load.js';
import { BOUNDS, type SystemSize } from './system/size.js';
import { WorkerCalls } from './system/worker-calls.js';
import { WorkerPool } from './system/workers.js';
import type { TimelineEvent } from './timeline.js';
import { SimDisk, VirtualTime, type IsBlocked } from './world.js';

/** The breach of an invariant. */
export interface SystemBreach {
  readonly atMs: number;
  readonly rule: string;
  readonly detail: string;
}

/**
 * Extra time after the bound for an answer before an order is given up, so that a late answer is detected.
 */
const GIVE_UP_MS = 200;
const FIRST_START_SPREAD_MS = 300;

/**
 * A system of cores, edges that follow them, workers, the platform's list and operators; invariants are
 * checked while it runs.
 * @example
 * const system = new System(7, SMALL_SYSTEM);
 * system.start();
 * system.time.runUntil(5000);
 * system.breaches; // []
 */
export class System {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly size: SystemSize;
  readonly network: Network;
  readonly workers: WorkerPool;
  readonly workerCalls: WorkerCalls;
  readonly operators: OperatorClient;
  readonly expectations = new Expectations();
  readonly cores: Machine[] = [];
  readonly edges: Machine[] = [];
  readonly breaches: SystemBreach[] = [];
  readonly timeline: TimelineEvent[] = [];
  /** Requests of tenants; none are sent before it is started. */
  readonly quotaLoad: QuotaLoad;
  #demand: Demand;
  #directory: CoreDirectory;
  #processes: Processes;
  #invariants: Invariants;
  #created = 0;
  #reportedBreaches = new Set<string>();

  constructor(seed: number, size: SystemSize) {
    const { time, cores, edges, expectations } = this;
    const random = new SeededRandom(seed);
    const note = (node: string, text: string): void => this.note(node, text);
    const breach = (rule: string, detail: string): void => this.breach(rule, detail);
    this.random = random;
    this.size = size;
    const network = new Network(time, random, () => this.machines);
    const workers = new WorkerPool(time, random, breach, size.workers, size.zones);
    const demand = new Demand(workers);
    const directory = new CoreDirectory(time, random, () => cores);
    function machineAt(address: string): Machine | undefined {
      return cores.find((core) => core.address === address);
    }
    const operators = new OperatorClient({ time, random, directory, machineAt, note });
    this.workerCalls = new WorkerCalls(time, random, network, workers);
    const shared = { time, size, network, workers, demand, breach };
    this.#invariants = new Invariants({
      ...shared,
      workerCalls: this.workerCalls,
      operators,
      expectations,
      cores,
      edges,
    });
    this.#processes = new Processes({
      ...shared,
      random,
      note,
      calls: this.workerCalls,
      listedCores: () => directory.list(),
      recordDisturbance: (machine) => this.recordDisturbance(machine),
    });
    this.network = network;
    this.workers = workers;
    this.operators = operators;
    this.#demand = demand;
    this.#directory = directory;
    workers.countsLoads = () => this.settled();
    this.quotaLoad = new QuotaLoad(seed, { time, edges, breach, settled: () => this.settled() });
    this.#populate();
  }

  #populate(): void {
    const { size, workers } = this;
    for (let place = 0; place < size.cores; place += 1) this.addCore();
    for (let place = 0; place < size.edges; place += 1) {
      const zone = size.zones[place % size.zones.length] ?? '';
      this.edges.push(new Machine(`edge-${place}`, zone, `edge-${place}`, undefined));
    }
    for (const [place, worker] of workers.members.entries()) {
      for (const model of [place * 2, place * 2 + 1]) if (model < size.models) worker.preload(`m${model}`);
    }
  }

  get machines(): Machine[] {
    return [...this.cores, ...this.edges];
  }

  /** Current demand of the edges. */
  get needs(): readonly Need[] {
    return this.#demand.needs;
  }

  set needs(needs: readonly Need[]) {
    this.#demand.needs = needs;
  }

  /** Newest acknowledged change of the configuration. */
  get acked(): Acknowledged {
    return this.expectations.acked;
  }

  /** Adds an empty core at a new address. */
  addCore(zone = this.size.zones[this.cores.length % this.size.zones.length] ?? ''): Machine {
    const name = `core-${this.#created}`;
    this.#created += 1;
    const core = new Machine(name, zone, `${name}:1`, new SimDisk(this.time, this.random));
    this.cores.push(core);
    return core;
  }

  /** Starts all machines for the first time, within 0.3 s of each other. */
  start(): void {
    this.workers.start();
    this.#directory.startSampling();
    this.#processes.setFounders(this.cores);
    for (const machine of this.machines)
      this.time.after(this.random.next() * FIRST_START_SPREAD_MS, () => this.boot(machine, true));
    this.#invariants.start();
  }

  note(node: string, text: string): void {
    this.timeline.push({ atMs: this.time.nowMs(), node, text });
  }

  breach(rule: string, detail: string): void {
    if (this.#reportedBreaches.has(`${rule} ${detail}`)) return;
    this.#reportedBreaches.add(`${rule} ${detail}`);
    this.breaches.push({ atMs: this.time.nowMs(), rule, detail });
    this.note('', `BREACH ${rule}: ${detail}`);
  }

  // Faults.

  boot(machine: Machine, founding = false): void {
    this.#processes.boot(machine, founding);
  }

  /** Ends the process at once; the machine keeps what the process has written. */
  kill(machine: Machine): void {
    this.#processes.kill(machine);
  }

  /** Cuts the machine's power: what its disk has not synced may be lost. */
  losePower(machine: Machine): void {
    this.#processes.losePower(machine);
  }

  /** Shuts the process down gracefully: it drains, leaves the group, and ends. */
  stop(machine: Machine): void {
    this.#processes.stop(machine);
  }

  freeze(machine: Machine, waitMs: number): void {
    this.#processes.freeze(machine, waitMs);
  }

  /** Cuts directions between machines, by name; the returned function removes the cut. */
  cut(what: string, cut: IsBlocked): () => void {
    this.network.addCut(cut);
    this.note('', `cut ${what}`);
    this.#recordDisturbanceBy(cut);
    return () => {
      if (!this.network.removeCut(cut)) return;
      this.note('', `heals ${what}`);
      this.#recordDisturbanceBy(cut);
    };
  }

  #recordDisturbanceBy(cut: IsBlocked): void {
    for (const machine of this.machines) {
      const met = this.cores.some(
        (core) => core !== machine && (cut(core.name, machine.name) || cut(machine.name, core.name)),
      );
      if (met) this.recordDisturbance(machine);
    }
  }

  /** Removes a core permanently. */
  remove(core: Machine): void {
    this.losePower(core);
    core.removed = true;
    this.note(core.name, 'removed');
  }

  /** Restarts the time bounds for a disturbed machine, and for all machines if it is a core. */
  recordDisturbance(machine: Machine): void {
    this.#invariants.recordDisturbance(machine);
  }

  // Observations.

  /** Whether no core was disturbed for `contactMs` and more than half of the cores reach a majority. */
  settled(): boolean {
    return this.#invariants.settled();
  }

  /** The core that is the coordinator by its own state, if there is one. */
  leader(): Machine | undefined {
    return this.cores.find(
      (core) =>
        core.running?.replica?.group.isCoordinator === true &&
        core.running.replica.group.singletonEpoch() !== undefined,
    );
  }

  voters(): number {
    return countVoters(this.cores);
  }

  /**
   * Describes what was acknowledged by `ackedBeforeMs` and is missing in a node's state; undefined if nothing
   * is.
   */
  findMissing(state: Deployment, ackedBeforeMs: number): string | undefined {
    return this.expectations.findMissing(state, ackedBeforeMs);
  }

  checkEnd(): void {
    this.#invariants.checkEnd();
    this.quotaLoad.checkEnd();
  }

  // Operators.

  /** Sends an order; once acknowledged, a change is expected to last. */
  order(
    request: OperatorRequest,
    valid: boolean,
    done: (end: OrderEnd) => void = () => undefined,
    forMs = Infinity,
  ): void {
    this.operators.send(
      request,
      valid,
      (end) => {
        if (end.kind === 'agreed') this.#acknowledge(request, end.atMs);
        done(end);
      },
      forMs,
    );
  }

  #acknowledge(request: OperatorRequest, atMs: number): void {
    if (request.kind === 'put')
      this.expectations.acknowledge(Number(request.document['revision']), request.document, atMs);
    if (request.kind === 'patch') this.expectations.acknowledge(request.patch.revision, undefined, atMs);
  }

  /** Sends a whole configuration. */
  put(base: number, document: Document, done?: (end: OrderEnd) => void): void {
    this.order({ kind: 'put', base, document }, true, done);
  }

  /** Evacuates a zone or returns it to service; the order is given up shortly after `ackMs`. */
  zone(zone: string, evacuated: boolean, done: (end: OrderEnd) => void = () => undefined): void {
    const { zones } = this.expectations;
    zones.delete(zone);
    if (!evacuated) this.workers.evacuate(zone, false);
    const kind = evacuated ? 'evacuate' : 'return';
    this.order(
      { kind, zone },
      true,
      (end) => {
        if (end.kind === 'agreed') {
          zones.set(zone, { evacuated, atMs: end.atMs });
          if (evacuated) this.workers.evacuate(zone, true);
        }
        done(end);
      },
      BOUNDS.ackMs + GIVE_UP_MS,
    );
  }
}
