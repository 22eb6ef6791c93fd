/** What one worker of the platform system has loaded, and the orders decided for it. */
import type { Engine } from './engine.js';
import { adapterCount, copyOf, sameHoldings, usedMb, type Holdings } from './holdings.js';
import type { WorkerReport } from './orders.js';
import { ReportSettling } from './report-settling.js';

/** One order that was decided: it is sent once those before it are done. */
export interface Step {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** Empty for the model itself. */
  readonly adapter: string;
  /** Whether the worker has taken it. */
  started: boolean;
  /** When it said so. */
  startedMs: number;
  /** When it was last known to be at it still. */
  busyMs: number;
  /** Whether the order was sent and has no reply yet. */
  inFlight: boolean;
  /** How often the worker replied that it is busy. */
  busyReplies: number;
  notBeforeMs: number;
  /** When it will be done without another word. */
  expectedDoneMs: number;
}

/**
 * A step that was not sent yet.
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

/** After a refusal a worker gets no new order for so long; twice as long after each further one. */
const REJECTION_BACKOFF_MS = 250;
const REJECTION_BACKOFF_MAX_MS = 4000;

/** Questions to one worker what it holds. */
export interface ReportRequest {
  inFlight: boolean;
  notBeforeMs: number;
  /** How many in a row had no answer. */
  consecutiveUnanswered: number;
}

/**
 * What one incarnation of a worker holds by its own word, and the orders that
 * were decided for it. Holdings change with what the worker answers, and with
 * nothing else; what is decided counts in `planned` from the moment on.
 * @example
 * const state = new WorkerState(report.holdings);
 * state.adopt(report);
 * state.add(newStep('load', 'model-1', '', nowMs));
 * state.planned.has('model-1'); // true
 */
export class WorkerState {
  /** Models that this incarnation has held: they come back from its own disk. */
  readonly onDisk: Set<string>;
  /** Models that are there and get no more requests: the first to give way, and back at once when wanted. */
  readonly retired = new Set<string>();
  /** Since when it holds a model. */
  readonly loadedSinceMs = new Map<string, number>();
  /** When it was asked what it holds. */
  readonly reportRequest: ReportRequest = {
    inFlight: false,
    notBeforeMs: -Infinity,
    consecutiveUnanswered: 0,
  };
  /** How many orders it has taken; known once it has reported. */
  sequence = 0;
  /** When it last took an order. */
  lastAcceptedMs = -Infinity;
  /** Until when it is left alone after it refused orders. */
  backoffUntilMs = -Infinity;
  readonly settling = new ReportSettling();
  #holdings: Map<string, Set<string>>;
  #hasReported = false;
  /** Orders with the present count that had no usable answer: any one of them may have been taken, or may still be. */
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

  /** What it holds. */
  get holdings(): Holdings {
    return this.#holdings;
  }

  /** What it will hold once all steps are done. */
  get planned(): Holdings {
    this.#planned ??= this.#projectHoldings();
    return this.#planned;
  }

  /** Whether `holdings` are what it holds after `sequence` orders; until it has reported they are only listed. */
  get hasReported(): boolean {
    return this.#hasReported;
  }

  /** Takes a worker's own word, in place of all that was believed and decided. */
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
   * Whether a report says just what must hold by what is known without it: nothing was taken since, or the one order
   * that had no answer.
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
   * Drops all that was decided and is not done. An order that the worker has taken counts as done: it takes no other
   * one before.
   */
  clear(): void {
    const first = this.#steps[0];
    if (first?.started === true) applyStep(this.#holdings, first);
    else if (first?.inFlight === true) this.#unansweredOrders.push(first);
    this.#steps = [];
    this.#planned = undefined;
  }

  /** The worker has taken an order. */
  recordAccepted(nowMs: number): void {
    this.sequence += 1;
    this.#unansweredOrders = [];
    this.lastAcceptedMs = nowMs;
    this.#rejections = 0;
  }

  /** The worker has refused an order. */
  recordRejection(nowMs: number): void {
    this.backoffUntilMs =
      nowMs + Math.min(REJECTION_BACKOFF_MAX_MS, REJECTION_BACKOFF_MS * 2 ** this.#rejections);
    this.#rejections += 1;
  }

  /** The first step is done. */
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

  /** Whether a load keeps to the room and the adapter places, with the sizes that hold now. */
  fitsCapacity(engine: Engine, { action, model, adapter }: Step): boolean {
    if (action === 'unload') return true;
    const after = copyOf(this.#holdings);
    if (adapter !== '' && !after.has(model)) return false;
    applyStep(after, { action, model, adapter });
    return usedMb(engine, after) <= engine.roomMb && adapterCount(after) <= engine.adapterPlaces;
  }

  /** How long a load takes: from the worker's own disk, if it has held the model, a part of the time from the store. */
  loadMs(engine: Engine, model: string, diskLoadRatio: number): number {
    const storeLoadMs = engine.models.get(model)?.loadMs ?? 0;
    return this.onDisk.has(model) ? storeLoadMs * diskLoadRatio : storeLoadMs;
  }

  /** How long it has held a model; endless for one that it has held from the start. */
  loadedForMs(model: string, nowMs: number): number {
    return nowMs - (this.loadedSinceMs.get(model) ?? -Infinity);
  }

  /** In how many milliseconds all steps will be done, as far as can be told. */
  queuedLoadMs(engine: Engine, diskLoadRatio: number, nowMs: number): number {
    let sumMs = 0;
    for (const { action, model, adapter, started, notBeforeMs } of this.#steps) {
      if (action === 'unload' || adapter !== '') continue;
      sumMs += started ? Math.max(0, notBeforeMs - nowMs) : this.loadMs(engine, model, diskLoadRatio);
    }
    return sumMs;
  }

  /** Whether a model is being loaded from the store of weights, or will be. */
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
