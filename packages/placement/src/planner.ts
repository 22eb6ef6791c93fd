/** Plans which worker of the platform system loads which model, while this node holds the singleton lease. */
import { AdapterPlacement } from './adapter-placement.js';
import { CopyDemand, type CopyTarget } from './copy-demand.js';
import { DemandTotals, type Demand, type EdgeDemand } from './demand-totals.js';
import { maxConcurrentLoads, type Engine } from './engine.js';
import { ModelPlacement, type LoadSource } from './model-placement.js';
import { OrderSender, type OrderDependencies } from './order-sender.js';
import type { CopyNeed, PlacementRound } from './placement-round.js';
import { PLACEMENT_POLICY } from './policy.js';
import { CopyRetirement } from './copy-retirement.js';
import { StoreBudget, type LoadPurpose } from './store-budget.js';
import { UnservedDemand } from './unserved-demand.js';
import { Usage } from './usage.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';

const POLICY = PLACEMENT_POLICY.needs;

/** What the planner needs from its node. */
export interface PlannerDependencies extends OrderDependencies {
  /** Called for each decision, for the logs. */
  onDecision(text: string): void;
}

/** Copies that are needed, by purpose, the most urgent first. */
type Needs = Readonly<Record<LoadPurpose, CopyNeed[]>>;

/** The demand of an edge expires after this time without an update from it. */
const DEMAND_TTL_MS = 2000;

/**
 * Decides which worker holds which model, and sends the orders, while this node
 * holds the singleton lease. A model that is requested and loaded nowhere replaces
 * the least recently used one; models in demand get as many copies as their
 * concurrency needs. First and further copies share the loads from the store, and
 * the urgency of a model grows with the time for which its requests went unserved.
 * @example
 * const planner = new PlacementPlanner(table, dependencies);
 * planner.updateDemand('incarnation-1', demands, nowMs);
 * planner.plan(engines, evacuated, nowMs);
 * planner.sendDueOrders(engines, nowMs);
 */
export class PlacementPlanner {
  #table: WorkerTable;
  #dependencies: PlannerDependencies;
  #sender: OrderSender;
  #totals = new DemandTotals();
  #copyDemand = new CopyDemand();
  #usage = new Usage();
  #unserved = new UnservedDemand();
  /** The time of the first demand, by service. */
  #demandSinceMs = new Map<string, number>();
  #retirement: CopyRetirement;
  #modelPlacement: ModelPlacement;
  #adapterPlacement: AdapterPlacement;
  /** Budgets of loads from the store, by service. */
  #budgets = new Map<string, StoreBudget>();

  constructor(table: WorkerTable, dependencies: PlannerDependencies) {
    this.#table = table;
    this.#dependencies = dependencies;
    this.#sender = new OrderSender(table, dependencies);
    this.#retirement = new CopyRetirement(table, this.#sender);
    this.#modelPlacement = new ModelPlacement(table, this.#sender, this.#copyDemand, this.#usage);
    this.#adapterPlacement = new AdapterPlacement(table, this.#sender, this.#usage, this.#unserved);
  }

  get counts(): Readonly<OrderSender['counts']> {
    return this.#sender.counts;
  }

  /** Replaces the demand of an edge, or updates only the given entries if `partial`. */
  updateDemand(incarnation: string, demands: readonly EdgeDemand[], nowMs: number, partial = false): void {
    if (partial) this.#totals.update(incarnation, demands, nowMs);
    else this.#totals.set(incarnation, demands, nowMs);
  }

  /** Plans which worker is to hold what. The cost grows with models, workers and edges: see `PlanPacer`. */
  plan(engines: ReadonlyMap<string, Engine>, evacuated: readonly string[], nowMs: number): void {
    this.#totals.expire(nowMs - DEMAND_TTL_MS);
    this.#unserved.expire(nowMs);
    this.#sender.dropRemovedWorkers();
    for (const engine of engines.values()) {
      const round = this.#newRound(engine, evacuated, nowMs);
      this.#adapterPlacement.place(round);
      this.#retirement.retire(round);
      this.#placeModels(round, this.#needs(round), this.#budget(engine, nowMs));
    }
  }

  /** Sends the planned orders that are due. */
  sendDueOrders(engines: ReadonlyMap<string, Engine>, nowMs: number): void {
    for (const engine of engines.values())
      for (const row of this.#rowsOf(engine)) this.#sender.sendDue(engine, row, nowMs);
  }

  #rowsOf(engine: Engine): WorkerRecord[] {
    return [...this.#table.rows].filter((row) => row.service === engine.service && !row.removed);
  }

  #budget(engine: Engine, nowMs: number): StoreBudget {
    const budget = this.#budgets.get(engine.service) ?? new StoreBudget(nowMs);
    this.#budgets.set(engine.service, budget);
    budget.refill(engine, nowMs);
    return budget;
  }

  #newRound(engine: Engine, evacuated: readonly string[], nowMs: number): PlacementRound {
    const present = this.#rowsOf(engine);
    const loadingFromStore = present.filter((row) => this.#sender.state(row).isLoadingFromStore).length;
    const staying = present.filter((row) => !row.draining && !evacuated.includes(row.zone));
    const copies = new Map<string, number>();
    for (const row of staying.filter((known) => !this.#sender.isUnresponsive(known)))
      for (const model of this.#plannedModels(row)) copies.set(model, (copies.get(model) ?? 0) + 1);
    const demands = this.#demands(engine);
    const targets = new Map<string, CopyTarget>();
    for (const [model, demand] of demands) {
      targets.set(model, this.#copyDemand.targetOf(engine, model, demand, nowMs));
      const key = `${engine.service}/${model}`;
      if (demand.waiting + demand.inFlight > 0) this.#usage.recordUse(key, nowMs);
      if (demand.perS > 0) this.#usage.recordTarget(key, demand.weightedTargetMs / demand.perS);
    }
    const rows = staying.filter((row) => row.confirmed);
    const observedMs = this.#observedMs(engine, demands, nowMs);
    return {
      engine,
      rows,
      demands,
      targets,
      loadingFromStore,
      copies,
      observedMs,
      nowMs,
    };
  }

  #observedMs({ service }: Engine, demands: ReadonlyMap<string, Demand>, nowMs: number): number {
    if (demands.size > 0 && !this.#demandSinceMs.has(service)) this.#demandSinceMs.set(service, nowMs);
    return nowMs - (this.#demandSinceMs.get(service) ?? nowMs);
  }

  /** The demand for the models that an engine can load. */
  #demands(engine: Engine): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const [model, demand] of this.#totals.of(engine.service))
      if (engine.models.has(model)) demands.set(model, demand);
    return demands;
  }

  /** Models that a worker will serve once its orders are done. */
  #plannedModels(row: WorkerRecord): Set<string> {
    const models = new Set(row.models.keys());
    for (const { action, model, adapter } of this.#sender.state(row).steps) {
      if (adapter !== '') continue;
      if (action === 'load') models.add(model);
      else models.delete(model);
    }
    return models;
  }

  #needs(round: PlacementRound): Needs {
    const needs: Needs = { 'first-copy': [], 'further-copy': [] };
    const loadedModels = new Set(round.rows.flatMap((row) => [...row.models.keys()]));
    for (const [model, demand] of round.demands) {
      const key = `${round.engine.service}/${model}`;
      if (loadedModels.has(model)) this.#unserved.recordServed(key);
      else if (demand.waiting > 0) this.#unserved.recordRequested(key, round.nowMs);
      if ((round.copies.get(model) ?? 0) > 0) this.#addFurtherCopyNeed(round, model, needs['further-copy']);
      else if (demand.waiting > 0) needs['first-copy'].push(this.#firstCopyNeed(round, model, demand));
    }
    for (const list of Object.values(needs)) list.sort((one, other) => other.urgency - one.urgency);
    return needs;
  }

  /**
   * The need for the first copy of a model. Its urgency grows with the waiting requests and with the time for
   * which the model was unserved, so that no model starves. Requests that cannot wait for the load are lost
   * until it is done; the arrivals during the load count among them.
   */
  #firstCopyNeed({ engine, nowMs }: PlacementRound, model: string, demand: Demand): CopyNeed {
    const ageMs = this.#unserved.ageMs(`${engine.service}/${model}`, nowMs);
    const loadMs = engine.models.get(model)?.loadMs ?? 1000;
    const lostRequests =
      this.#usage.meanTargetMs(`${engine.service}/${model}`) < loadMs ? demand.perS * (loadMs / 1000) : 0;
    return {
      model,
      value:
        POLICY.firstCopyValue + Math.min(POLICY.maxWaitValue, (POLICY.waitValuePerLoad * ageMs) / loadMs),
      urgency:
        demand.waiting + POLICY.lostRequestWeight * lostRequests + (POLICY.urgencyPerLoad * ageMs) / loadMs,
      ageMs,
      loadPerCopy: Infinity,
    };
  }

  #addFurtherCopyNeed({ rows, copies, targets }: PlacementRound, model: string, further: CopyNeed[]): void {
    const target = targets.get(model);
    const planned = copies.get(model) ?? 0;
    const desired = Math.min(rows.length, target?.desired ?? 0);
    if (target === undefined || planned >= desired) return;
    const { recent, expected, perCopy } = target;
    const isOverloaded = recent > POLICY.overloadRatio * planned * perCopy;
    const value = isOverloaded
      ? POLICY.overloadedValue
      : POLICY.furtherCopyValue + (desired - planned) / desired;
    further.push({
      model,
      value,
      urgency: expected - planned * perCopy,
      ageMs: 0,
      loadPerCopy: recent / planned,
    });
  }

  /** Restores retired copies first, then loads from the workers' own disks, then from the store. */
  #placeModels(round: PlacementRound, needs: Needs, budget: StoreBudget): void {
    const fromStore: Needs = { 'first-copy': [], 'further-copy': [] };
    for (const purpose of ['first-copy', 'further-copy'] as const)
      for (const need of needs[purpose]) {
        if (this.#retirement.restore(round, need.model) || this.#place(round, need, 'disk')) continue;
        if (!this.#modelPlacement.isDiskLoadFaster(round, need)) fromStore[purpose].push(need);
      }
    let { loadingFromStore } = round;
    const maxLoads = maxConcurrentLoads(round.engine);
    while (budget.mayLoad && loadingFromStore < maxLoads && this.#modelPlacement.isAnyWorkerFree(round)) {
      const { next } = budget;
      const other = next === 'first-copy' ? 'further-copy' : 'first-copy';
      const purpose = fromStore[next].length > 0 ? next : other;
      const need = fromStore[purpose].shift();
      if (need === undefined) return;
      if (!this.#place(round, need, 'store')) continue;
      budget.take(purpose);
      loadingFromStore += 1;
    }
  }

  #place(round: PlacementRound, need: CopyNeed, source: LoadSource): boolean {
    const decision = this.#modelPlacement.place(round, need, source);
    if (decision === undefined) return false;
    this.#dependencies.onDecision(decision);
    return true;
  }
}
