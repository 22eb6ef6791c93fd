/** Sends the orders of the platform system's planner to workers, and stores what each worker reported. */
import { DiskLoadEstimator } from './disk-load-estimator.js';
import type { Engine } from './engine.js';
import { copyOf } from './holdings.js';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerReport } from './orders.js';
import { MAX_REPORT_AGE_MS } from './report-settling.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';
import { WorkerState, type Step } from './worker-state.js';

/** What the order sender needs from its node. */
export interface OrderDependencies {
  /**
   * The fencing token of this node, or undefined while it may not send orders; read just before each order.
   */
  fence(): number | undefined;
  order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void;
  /** Requests a report of a worker's holdings. */
  report(row: WorkerRecord, done: (reply: ReportReply) => void): void;
  nowMs(): number;
}

/** Delay before an order is retried at a busy worker; it grows by half with each further busy reply. */
const RETRY_INITIAL_MS = 35;
const RETRY_MAX_MS = 140;
const RETRY_GROWTH = 1.5;
/** Adapters load within milliseconds, so an order for an adapter is retried sooner. */
const ADAPTER_RETRY_RATIO = 1 / 3;
/** A load from the store is expected to be done this long after its configured load time. */
const LOAD_SLACK_MS = 5;
/** An adapter is taken as loaded after this time. */
const ADAPTER_LOAD_MS = 14;
/** Time that a worker takes to unload a model that is not in use. */
const UNLOAD_MS = 35;
/**
 * Retry delay after a worker has seen a newer coordinator: by then this one has lost the singleton lease, or
 * has a newer epoch.
 */
const FENCED_RETRY_MS = 1000;
/** A worker is unresponsive after this many consecutive report requests without an answer. */
const UNRESPONSIVE_REPORTS = 2;
/** A worker that is still busy this long after the last order that it accepted is asked for a report. */
const VERIFY_AFTER_BUSY_MS = 500;
/**
 * A report with a lower sequence is stale within this time after an accepted order; by then every report
 * includes that order.
 */
const STALE_REPORT_MS = 2000;
/**
 * Interval between two report requests to one worker, so that each report reflects a later state than the one
 * before. It doubles with each consecutive request that gets no answer.
 */
const REPORT_RETRY_INITIAL_MS = MAX_REPORT_AGE_MS;
const REPORT_RETRY_MAX_MS = 2000;

/**
 * Sends the planned steps of each worker, one order at a time, and trusts only
 * the holdings that the worker itself reports.
 *
 * An order carries a sequence: the number of orders that the worker had accepted
 * when the order was sent. The worker accepts an order only with a matching
 * sequence, and thus only in the state that the order was planned for, however
 * late it arrives and whichever other coordinator sent orders meanwhile. If the
 * outcome of an order is unknown, the sender requests a report and sends no
 * further order until it has arrived.
 * @example
 * const sender = new OrderSender(table, dependencies);
 * sender.state(row).add(newStep('load', 'model-1', '', nowMs));
 * sender.sendDue(engine, row, nowMs);
 */
export class OrderSender {
  readonly counts = {
    loads: 0,
    unloads: 0,
    orders: 0,
    busy: 0,
    unanswered: 0,
    reports: 0,
    reread: 0,
    /** Reports that contradict the state that was known. */
    unexplained: 0,
  };
  #table: WorkerTable;
  #dependencies: OrderDependencies;
  #states = new Map<string, WorkerState>();
  /** Estimators of load times from disk, by service. */
  #diskEstimators = new Map<string, DiskLoadEstimator>();

  constructor(table: WorkerTable, dependencies: OrderDependencies) {
    this.#table = table;
    this.#dependencies = dependencies;
  }

  state(row: WorkerRecord): WorkerState {
    let state = this.#states.get(row.id);
    if (state === undefined) {
      state = new WorkerState(row.models);
      this.#states.set(row.id, state);
    }
    return state;
  }

  /** Estimated time of a load from a worker's own disk, as a ratio of the time of a load from the store. */
  diskLoadRatio({ service }: Engine): number {
    return this.#diskEstimator(service).ratioToStore;
  }

  #diskEstimator(service: string): DiskLoadEstimator {
    const estimator = this.#diskEstimators.get(service) ?? new DiskLoadEstimator();
    this.#diskEstimators.set(service, estimator);
    return estimator;
  }

  /** Drops the state of workers that are no longer in the table. */
  dropRemovedWorkers(): void {
    for (const id of this.#states.keys()) if (this.#table.row(id) === undefined) this.#states.delete(id);
  }

  /**
   * Whether a worker is unconfirmed and answers no report requests, so that its last known holdings are
   * unreliable.
   */
  isUnresponsive(row: WorkerRecord): boolean {
    return !row.confirmed && this.state(row).reportRequest.consecutiveUnanswered >= UNRESPONSIVE_REPORTS;
  }

  /** Applies a reliable report of a worker; from then on it may get orders. */
  #confirm(row: WorkerRecord, report: WorkerReport): void {
    const state = this.state(row);
    state.applyReport(report);
    row.models = copyOf(report.holdings);
    row.confirmed = true;
    this.#table.touch(row);
  }

  /** Sends what is due to one worker: its next order or a report request. */
  sendDue(engine: Engine, row: WorkerRecord, nowMs: number): void {
    const state = this.state(row);
    if (row.draining) return state.clear();
    if (!row.confirmed) return this.#requestReport(row, state);
    const first = state.steps[0];
    if (first === undefined) return;
    if (nowMs >= first.expectedDoneMs) return this.#finish(row, state, first);
    if (first.inFlight || nowMs < first.notBeforeMs) return;
    const fence = this.#dependencies.fence();
    if (fence === undefined) return;
    if (!first.started && !state.fitsCapacity(engine, first)) return this.#invalidate(row, state);
    this.#send(engine, row, state, first, fence);
  }

  #send(engine: Engine, row: WorkerRecord, state: WorkerState, first: Step, fence: number): void {
    const { action, model, adapter } = first;
    const { sequence } = state;
    first.inFlight = true;
    this.counts.orders += 1;
    this.#dependencies.order(row, { action, model, adapter, fence, sequence }, (reply) => {
      if (row.confirmed && state.steps[0] === first) this.#onReply(engine, row, state, first, reply);
    });
  }

  #onReply(engine: Engine, row: WorkerRecord, state: WorkerState, step: Step, reply: WorkerOrderReply): void {
    const nowMs = this.#dependencies.nowMs();
    switch (reply) {
      case 'begun':
        if (step.started) return this.#onStillRunning(step, nowMs);
        state.recordAccepted(nowMs);
        return this.#onStarted(engine, row, state, step, nowMs);
      case 'held':
        if (state.onDisk.has(step.model)) this.#observeDiskLoad(engine, step, nowMs);
        return this.#finish(row, state, step);
      case 'busy':
        this.counts.busy += 1;
        step.busyReplies += 1;
        step.busyMs = nowMs;
        this.#scheduleRetry(step, nowMs + retryDelayMs(step));
        if (nowMs - state.lastAcceptedMs >= VERIFY_AFTER_BUSY_MS) this.#verifySequence(row, state);
        return;
      case 'no-answer':
        this.counts.unanswered += 1;
        return this.#invalidate(row, state);
      case 'fenced':
        return this.#scheduleRetry(step, nowMs + FENCED_RETRY_MS);
      case 'wrong-worker':
      case 'refused':
        state.recordRejection(nowMs);
        return this.#invalidate(row, state);
    }
  }

  #scheduleRetry(step: Step, notBeforeMs: number): void {
    step.inFlight = false;
    step.notBeforeMs = notBeforeMs;
  }

  /** The worker still runs an order that it accepted before, so it has accepted no other one. */
  #onStillRunning(step: Step, nowMs: number): void {
    step.busyMs = nowMs;
    this.#scheduleRetry(step, nowMs + RETRY_INITIAL_MS);
  }

  #onStarted(engine: Engine, row: WorkerRecord, state: WorkerState, step: Step, nowMs: number): void {
    // A worker runs one order at a time: it accepts the next one only after this one is done.
    if (step.action === 'unload') return this.#finish(row, state, step);
    step.started = true;
    if (step.adapter !== '') {
      step.expectedDoneMs = nowMs + ADAPTER_LOAD_MS;
      return;
    }
    step.startedMs = nowMs;
    this.counts.loads += 1;
    const slackMs = state.onDisk.has(step.model) ? 0 : LOAD_SLACK_MS;
    this.#scheduleRetry(step, nowMs + state.loadMs(engine, step.model, this.diskLoadRatio(engine)) + slackMs);
  }

  #observeDiskLoad(engine: Engine, step: Step, nowMs: number): void {
    if (step.action !== 'load' || step.adapter !== '') return;
    this.#diskEstimator(engine.service).observe(step, engine.models.get(step.model)?.loadMs ?? 0, nowMs);
  }

  #finish(row: WorkerRecord, state: WorkerState, step: Step): void {
    const nowMs = this.#dependencies.nowMs();
    state.finishFirst(nowMs);
    const next = state.steps[0];
    if (step.action === 'unload') {
      this.counts.unloads += 1;
      if (next !== undefined && step.adapter === '') next.notBeforeMs = nowMs + UNLOAD_MS;
    } else if (step.adapter === '') row.models.set(step.model, new Set(state.holdings.get(step.model)));
    else row.models.get(step.model)?.add(step.adapter);
    this.#table.touch(row, step.model);
  }

  /** Marks the worker's holdings as uncertain: it gets no further order until it has reported them. */
  #invalidate(row: WorkerRecord, state: WorkerState): void {
    this.counts.reread += 1;
    state.clear();
    row.confirmed = false;
  }

  #requestReport(row: WorkerRecord, state: WorkerState): void {
    this.#sendReportRequest(row, (report, isSettled) => {
      if (row.confirmed || this.#isStale(state, report)) return;
      if (this.#isReliable(state, report, isSettled)) this.#confirm(row, report);
    });
  }

  /** Checks whether a worker that stays busy has accepted an order that is unknown to this coordinator. */
  #verifySequence(row: WorkerRecord, state: WorkerState): void {
    const { lastAcceptedMs } = state;
    this.#sendReportRequest(row, (report, isSettled) => {
      const isUnchanged = row.confirmed && state.lastAcceptedMs === lastAcceptedMs;
      if (!isUnchanged || report.sequence === state.sequence || this.#isStale(state, report)) return;
      if (this.#isReliable(state, report, isSettled)) this.#confirm(row, report);
      else this.#invalidate(row, state);
    });
  }

  /** Whether a report predates the last order that the worker is known to have accepted. */
  #isStale(state: WorkerState, report: WorkerReport): boolean {
    const isRecent = this.#dependencies.nowMs() - state.lastAcceptedMs < STALE_REPORT_MS;
    return isRecent && report.sequence < state.sequence;
  }

  /** Whether the models of a report belong to its sequence. */
  #isReliable(state: WorkerState, report: WorkerReport, isSettled: boolean): boolean {
    if (state.isConsistentWith(report)) return true;
    if (state.hasReported) this.counts.unexplained += 1;
    return isSettled;
  }

  /** Requests a report from a worker, at most once per interval and only while this node may send orders. */
  #sendReportRequest(row: WorkerRecord, onReport: (report: WorkerReport, isSettled: boolean) => void): void {
    const nowMs = this.#dependencies.nowMs();
    const { reportRequest, settling } = this.state(row);
    if (
      reportRequest.inFlight ||
      nowMs < reportRequest.notBeforeMs ||
      this.#dependencies.fence() === undefined
    )
      return;
    reportRequest.inFlight = true;
    this.counts.reports += 1;
    this.#dependencies.report(row, (reply) => {
      reportRequest.inFlight = false;
      reportRequest.consecutiveUnanswered =
        reply === 'no-answer' ? reportRequest.consecutiveUnanswered + 1 : 0;
      const waitMs = Math.min(
        REPORT_RETRY_MAX_MS,
        REPORT_RETRY_INITIAL_MS * 2 ** reportRequest.consecutiveUnanswered,
      );
      const repliedMs = this.#dependencies.nowMs();
      reportRequest.notBeforeMs = repliedMs + waitMs;
      if (reply === 'busy' || reply === 'no-answer' || this.#table.row(row.id) !== row) return;
      onReport(reply, settling.observe(reply, nowMs, repliedMs));
    });
  }
}

/** The delay before a step is retried that a busy worker has declined. */
function retryDelayMs({ adapter, busyReplies }: Step): number {
  const firstMs = adapter === '' ? RETRY_INITIAL_MS : RETRY_INITIAL_MS * ADAPTER_RETRY_RATIO;
  return Math.min(RETRY_MAX_MS, firstMs * RETRY_GROWTH ** (busyReplies - 1));
}
