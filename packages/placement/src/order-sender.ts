/** Sends the orders of the platform system's planner to workers, and keeps what each worker reported. */
import { DiskLoadEstimator } from './disk-load-estimator.js';
import type { Engine } from './engine.js';
import { copyOf } from './holdings.js';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerReport } from './orders.js';
import { MAX_REPORT_AGE_MS } from './report-settling.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';
import { WorkerState, type Step } from './worker-state.js';

/** What the sender of orders needs of its node. */
export interface OrderDependencies {
  /** The fence under which this node may order now, or undefined; asked just before each order. */
  fence(): number | undefined;
  order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void;
  /** Asks a worker what it holds. */
  report(row: WorkerRecord, done: (reply: ReportReply) => void): void;
  nowMs(): number;
}

/** A busy worker is tried again after so long; half as long again after each further time. */
const RETRY_INITIAL_MS = 35;
const RETRY_MAX_MS = 140;
const RETRY_GROWTH = 1.5;
/** An adapter takes some milliseconds: what is behind it is tried again sooner. */
const ADAPTER_RETRY_RATIO = 1 / 3;
/** What a load from the store is waited for beyond the time that the configuration gives. */
const LOAD_SLACK_MS = 5;
/** An adapter is there so soon. */
const ADAPTER_LOAD_MS = 14;
/** So long a worker takes to let a model go that nobody uses. */
const UNLOAD_MS = 35;
/** A worker has seen a newer coordinator: this one will have lost the singleton lease by then, or gets a newer epoch. */
const FENCED_RETRY_MS = 1000;
/** A worker that leaves so many questions in a row unanswered is taken for silent. */
const UNRESPONSIVE_REPORTS = 2;
/** A worker that is busy so long after the last order that it took is asked what it holds. */
const VERIFY_AFTER_BUSY_MS = 500;
/** By then a report tells of the last order that the worker took; one that tells of fewer before is older than it. */
const STALE_REPORT_MS = 2000;
/** Between two questions to one worker, so that the next answer tells of a later moment; twice as long after each that had no answer. */
const REPORT_RETRY_INITIAL_MS = MAX_REPORT_AGE_MS;
const REPORT_RETRY_MAX_MS = 2000;

/**
 * Sends what was decided for each worker, one order at a time, and keeps to
 * what the worker itself says that it holds.
 *
 * An order names how many orders the worker had taken when it was decided. So
 * it is taken in just the state that it was decided for or not at all, however
 * late it arrives and whoever else ordered the worker meanwhile. Whenever a
 * worker's answer leaves open what it holds, it is asked, and gets no order
 * before it has answered.
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
    /** Reports that differ from what must hold by all that was known. */
    unexplained: 0,
  };
  #table: WorkerTable;
  #dependencies: OrderDependencies;
  #states = new Map<string, WorkerState>();
  /** By service. */
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

  /** A load from a worker's own disk takes this part of one from the store, as far as was seen. */
  diskLoadRatio({ service }: Engine): number {
    return this.#diskEstimator(service).ratioToStore;
  }

  #diskEstimator(service: string): DiskLoadEstimator {
    const estimator = this.#diskEstimators.get(service) ?? new DiskLoadEstimator();
    this.#diskEstimators.set(service, estimator);
    return estimator;
  }

  /** Forgets workers that are no longer in the table. */
  dropRemovedWorkers(): void {
    for (const id of this.#states.keys()) if (this.#table.row(id) === undefined) this.#states.delete(id);
  }

  /** Whether a worker neither takes orders nor says what it holds: nobody can count on what it held. */
  isUnresponsive(row: WorkerRecord): boolean {
    return !row.confirmed && this.state(row).reportRequest.consecutiveUnanswered >= UNRESPONSIVE_REPORTS;
  }

  /** Takes a worker's own word on what it holds: from here on it may be ordered. */
  #confirm(row: WorkerRecord, report: WorkerReport): void {
    const state = this.state(row);
    state.applyReport(report);
    row.models = copyOf(report.holdings);
    row.confirmed = true;
    this.#table.touch(row);
  }

  /** Sends what is due to one worker: its next order, or the question what it holds. */
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

  /** The worker says of an order that it has taken before that it is at it: it has not taken another one. */
  #onStillRunning(step: Step, nowMs: number): void {
    step.busyMs = nowMs;
    this.#scheduleRetry(step, nowMs + RETRY_INITIAL_MS);
  }

  #onStarted(engine: Engine, row: WorkerRecord, state: WorkerState, step: Step, nowMs: number): void {
    // A worker does one order at a time: the next one is not taken before this is done.
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

  /** What the worker holds is no longer known for certain: nothing more is ordered until it has said it. */
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

  /** A worker that stays busy may have taken an order that nobody here knows of. */
  #verifySequence(row: WorkerRecord, state: WorkerState): void {
    const { lastAcceptedMs } = state;
    this.#sendReportRequest(row, (report, isSettled) => {
      const isUnchanged = row.confirmed && state.lastAcceptedMs === lastAcceptedMs;
      if (!isUnchanged || report.sequence === state.sequence || this.#isStale(state, report)) return;
      if (this.#isReliable(state, report, isSettled)) this.#confirm(row, report);
      else this.#invalidate(row, state);
    });
  }

  /** Whether a report is older than the last order that is known to be taken. */
  #isStale(state: WorkerState, report: WorkerReport): boolean {
    const isRecent = this.#dependencies.nowMs() - state.lastAcceptedMs < STALE_REPORT_MS;
    return isRecent && report.sequence < state.sequence;
  }

  /** Whether the models of a report are those of its count. */
  #isReliable(state: WorkerState, report: WorkerReport, isSettled: boolean): boolean {
    if (state.isConsistentWith(report)) return true;
    if (state.hasReported) this.counts.unexplained += 1;
    return isSettled;
  }

  /** Asks a worker that may be ordered what it holds, not too often. */
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

/** How long a step waits that a busy worker did not take. */
function retryDelayMs({ adapter, busyReplies }: Step): number {
  const firstMs = adapter === '' ? RETRY_INITIAL_MS : RETRY_INITIAL_MS * ADAPTER_RETRY_RATIO;
  return Math.min(RETRY_MAX_MS, firstMs * RETRY_GROWTH ** (busyReplies - 1));
}
