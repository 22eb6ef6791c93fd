/**
 * A simulated fleet of workers that gets orders from a planner, with requests that arrive, wait, run and time
 * out.
 */
import { SeededRandom } from '@rainrun/common';
import type { EdgeDemand } from '../demand-totals.js';
import type { Engine, EngineModel } from '../engine.js';
import type { ReportReply, WorkerOrder, WorkerOrderReply } from '../orders.js';
import { PlacementPlanner } from '../planner.js';
import { WorkerTable, type WorkerRecord } from '../worker-table.js';

const SERVICE = 'assist';
const HEARTBEAT_MS = 20;
const DISK_LOAD_RATIO = 0.15;
const ADAPTER_LOAD_MS = 10;
const UNLOAD_MS = 15;
const PROMPT_MS = 500;
/** With this many concurrent requests a worker takes twice as long for each. */
const HALF_SPEED_AT = 24;

/** The load of one kind of request. */
export interface RequestKind {
  readonly perS: number;
  readonly patienceMs: number;
  readonly runMs: number;
  /** Picks the model of a request that arrives now, and an adapter of it or an empty name. */
  pick(random: SeededRandom, nowMs: number): readonly [string, string];
}

/** The parameters of a fleet. */
export interface FleetShape {
  readonly workers: number;
  readonly slots: number;
  readonly modelsEach: number;
  readonly adapterPlaces: number;
  readonly models: number;
  readonly loadMs: number;
  readonly loadsPerS: number;
  /** Number of copies that are loaded at the start, distributed round-robin. */
  readonly placed: number;
}

/** Counts of the requests for a model, or for an adapter of one. */
export interface ServiceCount {
  requested: number;
  served: number;
  /** Requests that started within half a second. */
  prompt: number;
  firstMs: number;
  lastMs: number;
}

interface RunningRequest {
  readonly request: Request;
  readonly endMs: number;
}

interface Request {
  readonly model: string;
  readonly adapter: string;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  readonly runMs: number;
}

interface ActiveOrder {
  readonly order: WorkerOrder;
  untilMs: number;
}

class FleetWorker {
  readonly id: string;
  readonly holdings = new Map<string, Set<string>>();
  readonly onDisk = new Set<string>();
  sequence = 0;
  activeOrder: ActiveOrder | undefined;
  running: RunningRequest[] = [];

  constructor(id: string) {
    this.id = id;
  }

  uses(model: string, adapter: string): boolean {
    return this.running.some(
      ({ request }) => request.model === model && (adapter === '' || request.adapter === adapter),
    );
  }
}

/**
 * Simulates requests against a planner and its workers.
 * @example
 * const fleet = new Fleet(7, shape);
 * fleet.run(30_000, kinds);
 * fleet.neverServed();
 */
export class Fleet {
  nowMs = 1000;
  readonly serviceByName = new Map<string, ServiceCount>();
  readonly loadsFromStore: number[] = [];
  /** Violations of capacities or of the load rate. */
  readonly violations: string[] = [];
  loadsFromDisk = 0;
  #shape: FleetShape;
  #engine: Engine;
  #random: SeededRandom;
  #table = new WorkerTable();
  #planner: PlacementPlanner;
  #workers = new Map<string, FleetWorker>();
  #waiting: Request[] = [];

  constructor(seed: number, shape: FleetShape) {
    this.#shape = shape;
    this.#random = new SeededRandom(seed);
    const names = Array.from({ length: shape.models }, (_, place) => `m${place}`);
    this.#engine = {
      service: SERVICE,
      slots: shape.slots,
      roomMb: shape.modelsEach * 100 + shape.adapterPlaces,
      adapterPlaces: shape.adapterPlaces,
      loadsPerS: shape.loadsPerS,
      models: new Map(
        names.map((name): [string, EngineModel] => [
          name,
          { name, sizeMb: 100, loadMs: shape.loadMs, adapterMb: 1 },
        ]),
      ),
    };
    this.#planner = this.#newPlanner();
    for (let place = 0; place < shape.workers; place += 1)
      this.#workers.set(`w${place}`, new FleetWorker(`w${place}`));
    const workers = [...this.#workers.values()];
    for (let place = 0; place < Math.min(shape.placed, shape.workers * shape.modelsEach); place += 1) {
      const worker = workers[place % shape.workers];
      worker?.holdings.set(`m${place % shape.models}`, new Set());
      worker?.onDisk.add(`m${place % shape.models}`);
    }
    this.#applyWorkerList();
  }

  /** Replaces the coordinator; the new one knows only what the platform lists and the workers report. */
  replaceCoordinator(): void {
    this.#table = new WorkerTable();
    this.#planner = this.#newPlanner();
    this.#applyWorkerList();
  }

  /** Runs the fleet for some time while requests arrive. */
  run(forMs: number, kinds: readonly RequestKind[]): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += HEARTBEAT_MS) {
      for (const kind of kinds) this.#arrive(kind);
      this.#endRuns();
      this.#dispatch();
      this.#planner.updateDemand('edge', this.#edgeDemands(), this.nowMs);
      const engines = new Map([[SERVICE, this.#engine]]);
      this.#planner.plan(engines, [], this.nowMs);
      this.#planner.sendDueOrders(engines, this.nowMs);
    }
  }

  /** Frequently requested names that were never served. */
  neverServed(): string[] {
    return this.frequentNames().filter((name) => this.serviceByName.get(name)?.served === 0);
  }

  /** Names that were requested at least four times, over at least eight seconds. */
  frequentNames(): string[] {
    return [...this.serviceByName]
      .filter(([, { requested, firstMs, lastMs }]) => requested >= 4 && lastMs - firstMs >= 8000)
      .map(([name]) => name);
  }

  /** Fraction of the requests for the selected names that were served. */
  servedShare(names: (name: string) => boolean): number {
    let requested = 0;
    let served = 0;
    for (const [name, service] of this.serviceByName) {
      if (name.includes('/') || !names(name)) continue;
      requested += service.requested;
      served += service.served;
    }
    return served / Math.max(1, requested);
  }

  /** Fraction of the requests for the selected names that started within half a second. */
  promptShare(names: (name: string) => boolean): number {
    const chosen = [...this.serviceByName].filter(([name]) => !name.includes('/') && names(name));
    const requested = chosen.reduce((sum, [, service]) => sum + service.requested, 0);
    return chosen.reduce((sum, [, service]) => sum + service.prompt, 0) / Math.max(1, requested);
  }

  #newPlanner(): PlacementPlanner {
    return new PlacementPlanner(this.#table, {
      fence: () => 1,
      order: (row, order, done) => done(this.#acceptOrder(row, order)),
      report: (row, done) => done(this.#report(row.id)),
      nowMs: () => this.nowMs,
      onDecision: () => undefined,
    });
  }

  #applyWorkerList(): void {
    const list = [...this.#workers.values()].map(({ id, holdings }) => ({
      id,
      service: SERVICE,
      address: `${id}:80`,
      zone: 'north',
      slots: this.#shape.slots,
      draining: false,
      warmUpMs: 0,
      models: holdings,
    }));
    this.#table.learn(list, this.nowMs);
  }

  #arrive({ perS, patienceMs, runMs, pick }: RequestKind): void {
    let due = (perS * HEARTBEAT_MS) / 1000;
    for (; due > 0; due -= 1) {
      if (due < 1 && this.#random.next() >= due) return;
      const [model, adapter] = pick(this.#random, this.nowMs);
      this.#waiting.push({
        model,
        adapter,
        arrivedMs: this.nowMs,
        deadlineMs: this.nowMs + patienceMs,
        runMs,
      });
      for (const name of namesOf(model, adapter)) {
        const known = this.serviceByName.get(name);
        if (known === undefined)
          this.serviceByName.set(name, {
            requested: 1,
            served: 0,
            prompt: 0,
            firstMs: this.nowMs,
            lastMs: this.nowMs,
          });
        else {
          known.requested += 1;
          known.lastMs = this.nowMs;
        }
      }
    }
  }

  #endRuns(): void {
    for (const worker of this.#workers.values()) {
      worker.running = worker.running.filter(({ endMs }) => endMs > this.nowMs);
      this.#completeOrder(worker);
    }
  }

  /** Starts the waiting requests for which a worker is free, and drops those past their deadline. */
  #dispatch(): void {
    const rows = [...this.#table.rows];
    this.#waiting = this.#waiting.filter((request) => {
      if (request.deadlineMs <= this.nowMs) return false;
      const worker = this.#workerFor(request, rows);
      if (worker === undefined) return true;
      this.#start(request, worker);
      return false;
    });
  }

  /** The least loaded worker that the table lists for a request and that holds its model. */
  #workerFor({ model, adapter }: Request, rows: readonly WorkerRecord[]): FleetWorker | undefined {
    let best: FleetWorker | undefined;
    for (const row of rows) {
      const worker = this.#workers.get(row.id);
      const adapters = row.models.get(model);
      if (worker === undefined || adapters === undefined) continue;
      if (adapter !== '' && !adapters.has(adapter)) continue;
      if (worker.running.length >= this.#shape.slots || !worker.holdings.has(model)) continue;
      if (best === undefined || worker.running.length < best.running.length) best = worker;
    }
    return best;
  }

  #start(request: Request, worker: FleetWorker): void {
    const slowdown = 1 + worker.running.length / HALF_SPEED_AT;
    worker.running.push({ request, endMs: this.nowMs + request.runMs * slowdown });
    const isPrompt = this.nowMs - request.arrivedMs <= PROMPT_MS;
    for (const name of namesOf(request.model, request.adapter)) {
      const known = this.serviceByName.get(name);
      if (known === undefined) continue;
      known.served += 1;
      if (isPrompt) known.prompt += 1;
    }
  }

  #edgeDemands(): EdgeDemand[] {
    const demands = new Map<string, { waiting: number; inFlight: number }>();
    function demandOf(model: string, adapter: string): { waiting: number; inFlight: number } {
      const key = `${model}/${adapter}`;
      const known = demands.get(key) ?? { waiting: 0, inFlight: 0 };
      demands.set(key, known);
      return known;
    }
    for (const { model, adapter } of this.#waiting) demandOf(model, adapter).waiting += 1;
    for (const worker of this.#workers.values())
      for (const { request } of worker.running) demandOf(request.model, request.adapter).inFlight += 1;
    return [...demands].map(([key, counts]) => {
      const [model = '', adapter = ''] = key.split('/');
      return {
        service: SERVICE,
        model,
        adapter,
        ...counts,
        perS: 0.1,
        waitToTargetRatio: 0,
        meanTargetMs: 0,
      };
    });
  }

  #report(id: string): ReportReply {
    const worker = this.#workers.get(id);
    if (worker === undefined) return 'no-answer';
    return worker.activeOrder === undefined
      ? { holdings: worker.holdings, sequence: worker.sequence }
      : 'busy';
  }

  #acceptOrder(row: WorkerRecord, order: WorkerOrder): WorkerOrderReply {
    const worker = this.#workers.get(row.id);
    if (worker === undefined) return 'wrong-worker';
    this.#completeOrder(worker);
    if (worker.activeOrder !== undefined || order.sequence !== worker.sequence) return 'busy';
    const adapters = worker.holdings.get(order.model);
    const isLoaded = order.adapter === '' ? adapters !== undefined : adapters?.has(order.adapter) === true;
    if (isLoaded === (order.action === 'load')) return 'held';
    if (order.adapter !== '' && adapters === undefined) return 'wrong-worker';
    worker.sequence += 1;
    worker.activeOrder = { order, untilMs: this.nowMs + this.#durationMs(worker, order) };
    return 'begun';
  }

  #durationMs(worker: FleetWorker, { action, model, adapter }: WorkerOrder): number {
    if (action === 'unload') return UNLOAD_MS;
    if (adapter !== '') return ADAPTER_LOAD_MS;
    if (worker.onDisk.has(model)) {
      this.loadsFromDisk += 1;
      return this.#shape.loadMs * DISK_LOAD_RATIO;
    }
    this.#recordStoreLoad();
    let loading = 1;
    for (const { activeOrder } of this.#workers.values())
      if (activeOrder?.order.action === 'load' && activeOrder.order.adapter === '') loading += 1;
    const maxLoads = (this.#shape.loadsPerS * this.#shape.loadMs) / 1000;
    return this.#shape.loadMs * Math.max(1, loading / maxLoads);
  }

  #recordStoreLoad(): void {
    this.loadsFromStore.push(this.nowMs);
    const inWindow = this.loadsFromStore.filter((atMs) => atMs > this.nowMs - 5000).length;
    if (inWindow > this.#shape.loadsPerS * 5 * 1.1 + 3) this.violations.push(`${inWindow} loads in 5 s`);
  }

  /**
   * Completes the order of a worker once it is due; an unload waits for the running requests that use its
   * item.
   */
  #completeOrder(worker: FleetWorker): void {
    const { activeOrder } = worker;
    if (activeOrder === undefined || activeOrder.untilMs > this.nowMs) return;
    const { action, model, adapter } = activeOrder.order;
    if (action === 'unload' && worker.uses(model, adapter)) return;
    worker.activeOrder = undefined;
    if (action === 'unload' && adapter === '') worker.holdings.delete(model);
    else if (action === 'unload') worker.holdings.get(model)?.delete(adapter);
    else if (adapter !== '') worker.holdings.get(model)?.add(adapter);
    else {
      worker.holdings.set(model, new Set());
      worker.onDisk.add(model);
    }
    let adapters = 0;
    for (const names of worker.holdings.values()) adapters += names.size;
    if (worker.holdings.size > this.#shape.modelsEach || adapters > this.#shape.adapterPlaces)
      this.violations.push(`${worker.id} holds ${worker.holdings.size} models and ${adapters} adapters`);
  }
}

function namesOf(model: string, adapter: string): string[] {
  return adapter === '' ? [model] : [model, `${model}/${adapter}`];
}
