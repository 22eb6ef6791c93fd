/** What one worker of the platform system has loaded, and the orders planned for it. */
import type { Engine } from './engine.js';
import { adapterCount, copyOf, sameHoldings, usedMb, type Holdings } from './holdings.js';
import type { WorkerReport } from './orders.js';
import { ReportSettling } from './report-settling.js';

/** One planned order; it is sent once the steps before it are done. */
export interface Step {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** Empty for the model itself. */
  readonly adapter: string;
  /** Whether the worker has accepted the order. */
  started: boolean;
  /** When the worker accepted a load of a model. */
  startedMs: number;
  /** When the worker last replied that it was busy. */
  busyMs: number;
  /** Whether the order is sent and its reply outstanding. */
  inFlight: boolean;
  /** Number of busy replies so far. */
  busyReplies: number;
  notBeforeMs: number;
  /** When the step counts as done without a further reply. */
  expectedDoneMs: number;
}

/**
 * Creates a step that is not sent yet.
 * @example
 * newStep('load', 'model-1', '', nowMs);
 */
export function newStep(action: Step['action'], model: string, adapter: string, notBeforeMs: number): Step {
  return {
    action,
    model,
    adapter,
    started: false,
    startedMs: Infinity,
    busyMs: -Infinity,
    inFlight: false,
    busyReplies: 0,
    notBeforeMs,
    expectedDoneMs: Infinity,
  };
}

/** Backoff after a worker refused an order; it doubles with each further refusal in a row. */
const REJECTION_BACKOFF_MS = 250;
const REJECTION_BACKOFF_MAX_MS = 4000;

/** The state of the report requests to one worker. */
export interface ReportRequest {
  inFlight: boolean;
  notBeforeMs: number;
  /** Number of consecutive requests without an answer. */
  consecutiveUnanswered: number;
}

/**
 * The reported holdings of one incarnation of a worker, and the orders planned
 * for it. `holdings` changes only with the worker's replies and reports; `planned`
 * includes the planned orders at once.
 * @example
 * const state = new WorkerState(report.holdings);
 * state.applyReport(report);
 * state.add(newStep('load', 'model-1', '', nowMs));
 * state.planned.has('model-1'); // true
 */
export class WorkerState {
  /** Models that this incarnation has held before; it loads them again from its own disk. */
  readonly onDisk: Set<string>;
  /** Loaded models that get no more requests: they are evicted first, and restored at once when needed. */
  readonly retired = new Set<string>();
  /** When each model was loaded. */
  readonly loadedSinceMs = new Map<string, number>();
  /** The state of report requests to this worker. */
  readonly reportRequest: ReportRequest = {
    inFlight: false,
    notBeforeMs: -Infinity,
    consecutiveUnanswered: 0,
  };
  /** Number of orders that the worker has accepted; known once it has reported. */
  sequence = 0;
  /** When the worker last accepted an order. */
  lastAcceptedMs = -Infinity;
  /** End of the backoff after refused orders. */
  backoffUntilMs = -Infinity;
  readonly settling = new ReportSettling();
  #holdings: Map<string, Set<string>>;
  #hasReported = false;
  /**
   * Orders of the current sequence without a usable answer: any one of them may have been or may still be
   * accepted.
   */
  #unansweredOrders: Step[] = [];
  #steps: Step[] = [];
  #planned: Map<string, Set<string>> | undefined;
  #rejections = 0;

  constructor(listed: Holdings) {
    this.#holdings = copyOf(listed);
    this.onDisk = new Set(listed.keys());
  }

  get steps(): readonly Step[] {
    return this.#steps;
  }

  /** What the worker holds. */
  get holdings(): Holdings {
    return this.#holdings;
  }

  /** What the worker will hold once all steps are done. */
  get planned(): Holdings {
    this.#planned ??= this.#projectHoldings();
    return this.#planned;
  }

  /** Whether `holdings` come from a report; before the first report they come from the platform's list. */
  get hasReported(): boolean {
    return this.#hasReported;
  }

  /** Replaces the known holdings and the planned orders by a worker's report. */
  applyReport(report: WorkerReport): void {
    this.clear();
    if (report.sequence !== this.sequence) this.#unansweredOrders = [];
    this.#holdings = copyOf(report.holdings);
    this.#hasReported = true;
    this.sequence = report.sequence;
    this.retired.clear();
    for (const model of report.holdings.keys()) this.onDisk.add(model);
    for (const model of this.loadedSinceMs.keys())
      if (!report.holdings.has(model)) this.loadedSinceMs.delete(model);
  }

  /**
   * Whether a report agrees with the known state: either the worker has accepted nothing since, or it has
   * accepted the one order whose answer is missing.
   */
  isConsistentWith({ sequence, holdings }: WorkerReport): boolean {
    if (!this.#hasReported) return false;
    const expected = copyOf(this.#holdings);
    if (sequence === this.sequence + 1) {
      const [order, ...others] = this.#unansweredOrders;
      if (order === undefined || others.some((other) => !isSameOrder(order, other))) return false;
      applyStep(expected, order);
    } else if (sequence !== this.sequence) return false;
    return sameHoldings(expected, holdings);
  }

  add(step: Step): void {
    this.#steps.push(step);
    this.#planned = undefined;
  }

  /**
   * Drops all planned steps. An order that the worker has accepted counts as done, since the worker accepts
   * no other one before that.
   */
  clear(): void {
    const first = this.#steps[0];
    if (first?.started === true) applyStep(this.#holdings, first);
    else if (first?.inFlight === true) this.#unansweredOrders.push(first);
    this.#steps = [];
    this.#planned = undefined;
  }

  /** Records that the worker has accepted an order. */
  recordAccepted(nowMs: number): void {
    this.sequence += 1;
    this.#unansweredOrders = [];
    this.lastAcceptedMs = nowMs;
    this.#rejections = 0;
  }

  /** Records that the worker has refused an order. */
  recordRejection(nowMs: number): void {
    this.backoffUntilMs =
      nowMs + Math.min(REJECTION_BACKOFF_MAX_MS, REJECTION_BACKOFF_MS * 2 ** this.#rejections);
    this.#rejections += 1;
  }

  /** Removes the first step and applies its result to the holdings. */
  finishFirst(nowMs: number): void {
    const step = this.#steps.shift();
    if (step === undefined) return;
    applyStep(this.#holdings, step);
    this.#planned = undefined;
    if (step.adapter !== '') return;
    if (step.action === 'unload') this.loadedSinceMs.delete(step.model);
    else {
      this.onDisk.add(step.model);
      this.loadedSinceMs.set(step.model, nowMs);
    }
  }

  /** Whether a load stays within the memory and the adapter places, by the currently configured sizes. */
  fitsCapacity(engine: Engine, { action, model, adapter }: Step): boolean {
    if (action === 'unload') return true;
    const after = copyOf(this.#holdings);
    if (adapter !== '' && !after.has(model)) return false;
    applyStep(after, { action, model, adapter });
    return usedMb(engine, after) <= engine.roomMb && adapterCount(after) <= engine.adapterPlaces;
  }

  /** Expected load time: a ratio of the load time from the store if the model is on the worker's own disk. */
  loadMs(engine: Engine, model: string, diskLoadRatio: number): number {
    const storeLoadMs = engine.models.get(model)?.loadMs ?? 0;
    return this.onDisk.has(model) ? storeLoadMs * diskLoadRatio : storeLoadMs;
  }

  /** How long the worker has held a model; infinite for one that it held from the start. */
  loadedForMs(model: string, nowMs: number): number {
    return nowMs - (this.loadedSinceMs.get(model) ?? -Infinity);
  }

  /** Estimated time until all model loads among the steps are done, in milliseconds. */
  queuedLoadMs(engine: Engine, diskLoadRatio: number, nowMs: number): number {
    let sumMs = 0;
    for (const { action, model, adapter, started, notBeforeMs } of this.#steps) {
      if (action === 'unload' || adapter !== '') continue;
      sumMs += started ? Math.max(0, notBeforeMs - nowMs) : this.loadMs(engine, model, diskLoadRatio);
    }
    return sumMs;
  }

  /** Whether a load from the model store is running or planned. */
  get isLoadingFromStore(): boolean {
    return this.#steps.some(
      ({ action, model, adapter }) => action === 'load' && adapter === '' && !this.onDisk.has(model),
    );
  }

  #projectHoldings(): Map<string, Set<string>> {
    const planned = copyOf(this.#holdings);
    for (const step of this.#steps) applyStep(planned, step);
    return planned;
  }
}

function isSameOrder(one: Step, other: Step): boolean {
  return one.action === other.action && one.model === other.model && one.adapter === other.adapter;
}

function applyStep(
  holdings: Map<string, Set<string>>,
  { action, model, adapter }: Pick<Step, 'action' | 'model' | 'adapter'>,
): void {
  if (adapter !== '') {
    if (action === 'load') holdings.get(model)?.add(adapter);
    else holdings.get(model)?.delete(adapter);
  } else if (action === 'unload') holdings.delete(model);
  else if (!holdings.has(model)) holdings.set(model, new Set());
}
