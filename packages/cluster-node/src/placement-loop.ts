/**
 * Placement on the coordinator of the platform family: keeps the worker table of the epoch, evaluates the
 * health of workers, and runs the planner.
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

/** The effects of placement: orders to workers, requests for their reports, and the log of decisions. */
export interface PlacementEffects {
  readonly clock: Clock;
  /** Sends one order to a worker. */
  order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void;
  /** Asks a worker which models it has loaded. */
  report(row: WorkerRecord, done: (reply: ReportReply) => void): void;
  /** Called for each placement decision, to be logged. */
  onPlacementDecision(text: string): void;
}

/** The part of the process group that determines which core places models. */
export interface PlacementGroup {
  readonly isCoordinator: boolean;
  readonly epoch: number;
  readonly self: { readonly incarnation: string };
  /** The epoch for which this node holds the singleton lease; the fencing token of orders. */
  singletonEpoch(): number | undefined;
}

/** An edge's report of its demand and of the outcomes at its workers. */
export interface EdgeReport {
  readonly incarnation: string;
  readonly zone: string;
  readonly demands: readonly ModelDemand[];
  /** Whether `demands` holds only the demand that changed, not all of it. */
  readonly incremental: boolean;
  readonly outcomes: readonly WorkerOutcomes[];
}

/**
 * Plans placements and orders workers while this node is the coordinator; idle otherwise.
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

  /** Starts an empty worker table whenever an epoch in which this node is the coordinator begins or ends. */
  ensureTableForEpoch(): void {
    const epoch = this.#group.isCoordinator ? this.#group.epoch : -1;
    if (epoch === this.#tableEpoch) return;
    this.#tableEpoch = epoch;
    this.#tableId = epoch < 0 ? '' : `${epoch}-${this.#group.self.incarnation}`;
    this.#workerTable = new WorkerTable();
    this.#planner = this.#newPlanner();
    this.#health = new WorkerHealth();
  }

  /** Evaluates the workers' health, then places models. Called on the coordinator only. */
  tick(nowMs: number): void {
    this.#health.evaluate(this.#workerTable, nowMs);
    this.#placeModels(nowMs);
  }

  /** Updates the worker table from the platform's complete list of workers, then places models. */
  updateWorkerList(list: readonly ListedWorker[], nowMs: number): void {
    this.#workerTable.learn(list, nowMs);
    this.#placeModels(nowMs);
  }

  /**
   * Takes an edge's report; if requests wait for a model, models are placed without waiting for the next
   * tick.
   */
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

  /** Makes a plan if the pacer allows one, and sends the orders that are due. */
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
