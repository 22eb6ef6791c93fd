/** Placement of the spec family: while this node holds the singleton lease, decides placements and orders workers. */
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
/** How long a new holder of the singleton lease waits for a report of every worker. */
const REPORTS_TIMEOUT_MS = 4000;
/** Subtracted from the urgency of a further copy: the first ones of everything come before, asked for or not. */
const FURTHER_COPY_PENALTY = 1e6;

/** What placement reads of its node, and what it sends. */
export interface SpecPlacementDependencies {
  /** Set points of placement, where they are not the usual ones. */
  readonly placing?: SpecPlacerSettings;
  state(): SpecState;
  /** All listed workers. */
  workers(): DirectoryWorker[];
  demands(nowMs: number): ReadonlyMap<string, SpecModelDemand>;
  /** This node's incarnation. */
  incarnation(): string;
  /** The epoch for which this node holds the singleton lease; the fencing token of orders. */
  singletonEpoch(): number | undefined;
  /** Sends one order to a worker. */
  order(address: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  /** Called when a worker replied something new. */
  onWorkerState(worker: string, known: SpecWorkerState): void;
  /** Submits a decision; `done` is called once it is committed. */
  submitPlacement(id: string, payload: string, done: () => void): Result<string, Fault>;
}

/**
 * The placement loop.
 * @example
 * loop.tick(nowMs); // every 50 ms
 * loop.reason('gearbox-7b'); // why it is placed where it is
 */
export class SpecPlacementLoop {
  #dependencies: SpecPlacementDependencies;
  #placer: SpecPlacer;
  #orderSender: SpecOrderSender;
  #decidedMs = -Infinity;
  /** Id of the decision that is submitted and not yet committed. */
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

  /** Why a model stands where it does, if this node decided it. */
  reason(model: string): string | undefined {
    return this.#placer.reason(model);
  }

  /** Sends the orders that are due, and decides anew where that is due; nothing without the lease. */
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

  /** New placements by worker; an empty one for each worker that is no longer listed. */
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

  /** Models and adapters that some reachable worker has loaded, as it reported itself. */
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
    if (entry === undefined) return done(Result.err(fault('not-found', `worker ${order.worker}`)));
    this.#dependencies.order(entry.address, order, done);
  }
}

/** How urgent a load is; a further copy is loaded after every first one. */
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
