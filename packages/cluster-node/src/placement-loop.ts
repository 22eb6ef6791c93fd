/**
 * Placement on the coordinator of the platform family: the worker table of its epoch, workers' health, and when the
 * planner runs.
 */
import type { ModelDemand, WorkerOutcomes } from '@rainrun/messages';
import type { Deployment } from '@rainrun/configuration';
import type { Clock } from '@rainrun/common';
import {
  PlacementPlanner,
  WorkerTable,
  type ListedWorker,
  type ReportReply,
  type WorkerOrder,
  type WorkerOrderReply,
  type WorkerRecord,
} from '@rainrun/placement';
import { EngineCache } from './engines.js';
import { PlanPacer } from './plan-pacer.js';
import { WorkerHealth } from './worker-health.js';

/** What placement sends, and whom it reports to. */
export interface PlacementEffects {
  readonly clock: Clock;
  /** Sends one order to a worker. */
  order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void;
  /** Asks a worker which models it has loaded. */
  report(row: WorkerRecord, done: (reply: ReportReply) => void): void;
  /** Called for each decision on placement, for the logs. */
  onPlacementDecision(text: string): void;
}

/** The process group, as far as it decides who places models. */
export interface PlacementGroup {
  readonly isCoordinator: boolean;
  readonly epoch: number;
  readonly self: { readonly incarnation: string };
  /** The epoch for which this node holds the singleton lease; the fencing token of orders. */
  singletonEpoch(): number | undefined;
}

/** What an edge reports of its demand and of its workers. */
export interface EdgeReport {
  readonly incarnation: string;
  readonly zone: string;
  readonly demands: readonly ModelDemand[];
  /** Whether `demands` brings only what changed. */
  readonly incremental: boolean;
  readonly outcomes: readonly WorkerOutcomes[];
}

/**
 * Plans and orders while this node is the coordinator; idle otherwise.
 * @example
 * const placement = new PlacementLoop(effects, group, () => state);
 * placement.openTable();
 * placement.tick(nowMs);
 */
export class PlacementLoop {
  #effects: PlacementEffects;
  #group: PlacementGroup;
  #state: () => Deployment;
  #workerTable = new WorkerTable();
  #planner: PlacementPlanner;
  #health = new WorkerHealth();
  #tableId = '';
  #tableEpoch = -1;
  #pacer = new PlanPacer();
  #engines = new EngineCache();

  constructor(effects: PlacementEffects, group: PlacementGroup, state: () => Deployment) {
    this.#effects = effects;
    this.#group = group;
    this.#state = state;
    this.#planner = this.#newPlanner();
  }

  get workerTable(): WorkerTable {
    return this.#workerTable;
  }

  /** Identifies the table by epoch and incarnation; empty on a core that is not the coordinator. */
  get tableId(): string {
    return this.#tableId;
  }

  get planner(): PlacementPlanner {
    return this.#planner;
  }

  /** A coordinator's table starts empty with each epoch. */
  ensureTableForEpoch(): void {
    const epoch = this.#group.isCoordinator ? this.#group.epoch : -1;
    if (epoch === this.#tableEpoch) return;
    this.#tableEpoch = epoch;
    this.#tableId = epoch < 0 ? '' : `${epoch}-${this.#group.self.incarnation}`;
    this.#workerTable = new WorkerTable();
    this.#planner = this.#newPlanner();
    this.#health = new WorkerHealth();
  }

  /** Evaluates the workers' health, then places models. For the coordinator alone. */
  tick(nowMs: number): void {
    this.#health.evaluate(this.#workerTable, nowMs);
    this.#placeModels(nowMs);
  }

  /** Takes the platform's complete list of workers. */
  updateWorkerList(list: readonly ListedWorker[], nowMs: number): void {
    this.#workerTable.learn(list, nowMs);
    this.#placeModels(nowMs);
  }

  /** Takes an edge's report; demand that waits is placed at once. */
  onEdgeReport({ incarnation, zone, demands, incremental, outcomes }: EdgeReport, nowMs: number): void {
    this.#planner.updateDemand(incarnation, demands, nowMs, incremental);
    this.#health.record(zone, outcomes, nowMs);
    if (demands.some(({ waiting }) => waiting > 0)) this.#placeModels(nowMs);
  }

  #newPlanner(): PlacementPlanner {
    const effects = this.#effects;
    return new PlacementPlanner(this.#workerTable, {
      fence: () => this.#group.singletonEpoch(),
      order: (row, order, done) => effects.order(row, order, done),
      report: (row, done) => effects.report(row, done),
      nowMs: () => effects.clock.nowMs(),
      onDecision: (text) => effects.onPlacementDecision(text),
    });
  }

  /** Plans where the pacer allows it, and sends the orders that are due. */
  #placeModels(nowMs: number): void {
    const state = this.#state();
    const engines = this.#engines.enginesOf(state);
    if (this.#pacer.isDue(nowMs)) {
      this.#planner.plan(engines, state.evacuated, nowMs);
      this.#pacer.recordPlan(nowMs, this.#effects.clock.nowMs());
    }
    this.#planner.sendDueOrders(engines, nowMs);
  }
}
