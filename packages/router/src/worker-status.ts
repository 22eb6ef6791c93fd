/** What one edge of the platform system knows of each worker from its own traffic: load, backoff, warm-up, misses. */
import { spread } from '@rainrun/common';
import type { WorkerView } from './request.js';
import { BACKOFF_POLICY, WARM_UP_POLICY } from './routing-policy.js';

/** Tokens for requests to a worker that warms up. */
interface WarmUpBucket {
  tokens: number;
  refilledMs: number;
}

/** One worker as this edge experienced it. */
export interface WorkerStatus {
  inFlight: number;
  /** When any byte came from it last, on the monotonic clock. */
  lastHeardMs: number;
  /** Failures in a row; each doubles the backoff. */
  failures: number;
  backoffUntilMs: number;
  warmUp: WarmUpBucket | undefined;
  /** Models (`model/adapter`) that it said it lacks, with the version of the row that had claimed them. */
  readonly missingModels: Map<string, number>;
}

/** What the table needs of its edge. */
export interface WorkerStatusDependencies {
  /** Different at every edge, so that edges do not act in step. */
  readonly salt: string;
  /** Monotonic, in milliseconds. */
  nowMs(): number;
  /** How many edges share the workers. */
  edges(): number;
}

/**
 * The status of every worker that this edge sent to.
 * @example
 * const statuses = new WorkerStatusTable(dependencies);
 * statuses.recordFailure(worker);
 * statuses.status(worker.id).backoffUntilMs; // later than now
 */
export class WorkerStatusTable {
  #dependencies: WorkerStatusDependencies;
  #statuses = new Map<string, WorkerStatus>();

  constructor(dependencies: WorkerStatusDependencies) {
    this.#dependencies = dependencies;
  }

  /** The status of a worker, created at the first look. */
  status(id: string): WorkerStatus {
    let status = this.#statuses.get(id);
    if (status === undefined) {
      status = {
        inFlight: 0,
        lastHeardMs: -Infinity,
        failures: 0,
        backoffUntilMs: -Infinity,
        warmUp: undefined,
        missingModels: new Map(),
      };
      this.#statuses.set(id, status);
    }
    return status;
  }

  /** Requests of this edge that are in flight at a worker. */
  inFlight(id: string): number {
    return this.#statuses.get(id)?.inFlight ?? 0;
  }

  /** When any byte came from a worker last; -Infinity if never. */
  lastHeardMs(id: string): number {
    return this.#statuses.get(id)?.lastHeardMs ?? -Infinity;
  }

  recordHeard(id: string): void {
    this.status(id).lastHeardMs = this.#dependencies.nowMs();
  }

  /** Forgets workers that are not listed any more and have nothing in flight. */
  retainOnly(workers: ReadonlyMap<string, unknown>): void {
    for (const [id, status] of this.#statuses)
      if (!workers.has(id) && status.inFlight === 0) this.#statuses.delete(id);
  }

  attemptStarted(id: string): void {
    this.status(id).inFlight += 1;
  }

  attemptEnded(id: string, succeeded: boolean): void {
    const status = this.status(id);
    status.inFlight = Math.max(0, status.inFlight - 1);
    if (succeeded) status.failures = 0;
  }

  /** A request failed: the worker is backed off, longer with each failure in a row. */
  recordFailure(id: string): void {
    const status = this.status(id);
    const nowMs = this.#dependencies.nowMs();
    if (nowMs < status.backoffUntilMs) return;
    status.failures += 1;
    const { firstMs, maxMs } = BACKOFF_POLICY;
    status.backoffUntilMs = nowMs + Math.min(maxMs, firstMs * 2 ** (status.failures - 1));
  }

  /** The worker had no capacity: it is backed off for so long at least. */
  backOff(id: string, waitMs: number): void {
    const status = this.status(id);
    status.backoffUntilMs = Math.max(status.backoffUntilMs, this.#dependencies.nowMs() + waitMs);
  }

  /** The worker lacks a model that this version of its row claims. */
  recordMissingModel(worker: WorkerView, model: string, adapter: string): void {
    this.status(worker.id).missingModels.set(`${model}/${adapter}`, worker.number);
  }

  /** Whether the worker said that it lacks a model, and its row has not changed since. */
  lacksModel(worker: WorkerView, model: string, adapter: string): boolean {
    const missingModels = this.#statuses.get(worker.id)?.missingModels;
    return missingModels !== undefined && (missingModels.get(`${model}/${adapter}`) ?? -1) >= worker.number;
  }

  /** Takes a token for a worker that warms up, at `perS` a second for the whole fleet; false if none is left. */
  takeWarmUpToken(worker: WorkerView, perS: number): boolean {
    const nowMs = this.#dependencies.nowMs();
    if (nowMs >= worker.warmUpUntilMs || perS <= 0) return true;
    const status = this.status(worker.id);
    const rate = (perS * WARM_UP_POLICY.rateRatio) / Math.max(1, this.#dependencies.edges());
    const bucket = (status.warmUp ??= {
      tokens: spread(`${worker.id} ${this.#dependencies.salt}`) / 2 ** 32,
      refilledMs: nowMs,
    });
    // Tokens are not saved up while none is asked for: all edges would spend theirs at once.
    const elapsedMs = Math.min(WARM_UP_POLICY.maxRefillMs, nowMs - bucket.refilledMs);
    bucket.tokens = Math.min(1, bucket.tokens + (rate * elapsedMs) / 1000);
    bucket.refilledMs = nowMs;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }
}
