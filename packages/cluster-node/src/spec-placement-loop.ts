/**
 * Placement of the spec family: decides placements and sends orders while this node holds the singleton
 * lease.
 */
import type { SpecState } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import {
  SPEC_PLACER_SETTINGS,
  SpecOrderSender,
  SpecPlacer,
  type SpecModelDemand,
  type SpecOrder,
  type SpecOrderReply,
  type SpecPlacerSettings,
  type SpecWorkerState,
} from '@rainrun/placement';
import { Result } from 'true-myth';
import type { DirectoryWorker } from './worker-directory.js';

const PLACEMENT_INTERVAL_MS = 1000;
/** How long a new holder of the singleton lease waits for the reports of all workers before it decides. */
const REPORTS_TIMEOUT_MS = 4000;
/**
 * Subtracted from the urgency of a further copy, so that all first copies are loaded before it, in demand or
 * not.
 */
const FURTHER_COPY_PENALTY = 1e6;

/** The sources that placement reads on its node, and the effects that it has. */
export interface SpecPlacementDependencies {
  /** Settings of the placer; SPEC_PLACER_SETTINGS if absent. */
  readonly placing?: SpecPlacerSettings;
  state(): SpecState;
  /** All workers of the platform's list. */
  workers(): DirectoryWorker[];
  demands(nowMs: number): ReadonlyMap<string, SpecModelDemand>;
  /** This node's incarnation. */
  incarnation(): string;
  /** The epoch for which this node holds the singleton lease; the fencing token of orders. */
  singletonEpoch(): number | undefined;
  /** Sends one order to a worker. */
  order(address: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  /** Called with the known state of a worker after an order to it has ended. */
  onWorkerState(worker: string, known: SpecWorkerState): void;
  /** Submits a placement decision to the group; `done` is called once the decision is committed. */
  submitPlacement(id: string, payload: string, done: () => void): Result<string, Fault>;
}

/**
 * Decides placements at intervals, submits them to the group, and sends workers the orders that follow from
 * them.
 * @example
 * loop.tick(nowMs); // every 50 ms
 * loop.reason('gearbox-7b'); // the reason for its placement
 */
export class SpecPlacementLoop {
  #dependencies: SpecPlacementDependencies;
  #placer: SpecPlacer;
  #orderSender: SpecOrderSender;
  #decidedMs = -Infinity;
  /** Id of the decision that was submitted and is not yet committed. */
  #pendingDecision: string | undefined;
  #leaseStart: { readonly epoch: number; readonly atMs: number } | undefined;
  #decisionCount = 0;

  constructor(dependencies: SpecPlacementDependencies) {
    this.#dependencies = dependencies;
    this.#placer = new SpecPlacer(dependencies.placing ?? SPEC_PLACER_SETTINGS);
    this.#orderSender = new SpecOrderSender({
      singletonEpoch: () => dependencies.singletonEpoch(),
      order: (order, done) => this.#sendOrder(order, done),
      onWorkerState: (worker, known) => dependencies.onWorkerState(worker, known),
    });
  }

  /** The reason for the current placement of a model, if this node decided it. */
  reason(model: string): string | undefined {
    return this.#placer.reason(model);
  }

  /** Sends due orders and makes a new decision if one is due; does nothing without the singleton lease. */
  tick(nowMs: number): void {
    const epoch = this.#dependencies.singletonEpoch();
    const state = this.#dependencies.state();
    const spec = state.spec?.spec;
    if (epoch === undefined || spec === undefined) return;
    const workers = this.#dependencies.workers().filter((worker) => worker.kind === 'model');
    const nonDraining = workers.filter((worker) => !worker.draining);
    const demands = this.#dependencies.demands(nowMs);
    const loaded = this.#loadedKeys(nonDraining);
    this.#orderSender.tick(spec, state.placement, nonDraining, nowMs, (model, adapter) =>
      urgencyOf(demands, loaded, model, adapter),
    );
    if (!this.#isDecisionDue(epoch, nonDraining, nowMs)) return;
    this.#decidedMs = nowMs;
    const changes = this.#decide(workers, demands, nowMs);
    if (Object.keys(changes).length > 0) this.#submit(epoch, changes);
  }

  #isDecisionDue(epoch: number, nonDraining: readonly DirectoryWorker[], nowMs: number): boolean {
    if (this.#leaseStart?.epoch !== epoch) this.#leaseStart = { epoch, atMs: nowMs };
    const haveAllReported = nonDraining.every(
      (worker) => this.#orderSender.workerState(worker.name) !== undefined,
    );
    if (!haveAllReported && nowMs - this.#leaseStart.atMs < REPORTS_TIMEOUT_MS) return false;
    return nowMs - this.#decidedMs >= PLACEMENT_INTERVAL_MS && this.#pendingDecision === undefined;
  }

  /** The changed placements by worker; an empty placement for each worker that is no longer listed. */
  #decide(
    workers: readonly DirectoryWorker[],
    demands: ReadonlyMap<string, SpecModelDemand>,
    nowMs: number,
  ): Record<string, unknown> {
    const { placement, spec } = this.#dependencies.state();
    if (spec === undefined) return {};
    const candidates = workers.map((worker) => ({
      ...worker,
      usable: !worker.draining && !worker.evacuated && this.#isReachable(worker.name),
      holdings: placement[worker.name] ?? [],
    }));
    const changes: Record<string, unknown> = this.#placer.step(spec.spec, candidates, demands, nowMs);
    const listed = new Set(workers.map((worker) => worker.name));
    for (const name of Object.keys(placement)) if (!listed.has(name)) changes[name] = [];
    return changes;
  }

  #submit(epoch: number, workers: Record<string, unknown>): void {
    this.#decisionCount += 1;
    const id = `place-${epoch}-${this.#dependencies.incarnation()}-${this.#decisionCount}`;
    this.#pendingDecision = id;
    const sent = this.#dependencies.submitPlacement(id, JSON.stringify({ epoch, workers }), () => {
      this.#pendingDecision = undefined;
    });
    if (sent.isErr) this.#pendingDecision = undefined;
  }

  #isReachable(worker: string): boolean {
    return this.#orderSender.workerState(worker)?.reachable ?? false;
  }

  /**
   * Keys of the models and adapters that reachable workers reported as loaded: `model/` and `model/adapter`.
   */
  #loadedKeys(workers: readonly DirectoryWorker[]): ReadonlySet<string> {
    const keys = new Set<string>();
    for (const { name } of workers) {
      const known = this.#orderSender.workerState(name);
      if (known?.reachable !== true) continue;
      for (const { model, adapters } of known.holdings) {
        keys.add(`${model}/`);
        for (const adapter of adapters) keys.add(`${model}/${adapter}`);
      }
    }
    return keys;
  }

  #sendOrder(order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void {
    const entry = this.#dependencies.workers().find((worker) => worker.name === order.worker);
    if (entry === undefined)
      return done(Result.err(fault('not-found', `worker ${order.worker} is not listed`)));
    this.#dependencies.order(entry.address, order, done);
  }
}

/** Urgency of a load by demand; a further copy is less urgent than every first copy. */
function urgencyOf(
  demands: ReadonlyMap<string, SpecModelDemand>,
  loaded: ReadonlySet<string>,
  model: string,
  adapter: string,
): number {
  const demand = demands.get(model);
  if (demand === undefined) return 0;
  const urgency = adapter === '' ? demand.arrivalsPerS + demand.backlog : (demand.adapters.get(adapter) ?? 0);
  return loaded.has(`${model}/${adapter}`) ? urgency - FURTHER_COPY_PENALTY : urgency;
}
