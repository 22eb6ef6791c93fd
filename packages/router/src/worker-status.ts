/** What one edge knows of each worker from its own traffic: load, backoff, warm-up and missing models. */
import { spread } from '@rainrun/common';
import type { WorkerView } from './request.js';
import { BACKOFF_POLICY, WARM_UP_POLICY } from './routing-policy.js';

/** Token bucket that limits requests to a worker that is warming up. */
interface WarmUpBucket {
  tokens: number;
  refilledMs: number;
}

/** The status of one worker, as observed by this edge. */
export interface WorkerStatus {
  inFlight: number;
  /** When the last byte came from it, on the monotonic clock. */
  lastHeardMs: number;
  /** Consecutive failures; each doubles the backoff. */
  failures: number;
  backoffUntilMs: number;
  warmUp: WarmUpBucket | undefined;
  /** Models (`model/adapter`) that it reported missing, with the version of the row that listed them. */
  readonly missingModels: Map<string, number>;
}

/** What the table needs from its edge. */
export interface WorkerStatusDependencies {
  /** Hash salt that differs at every edge, so that edges do not act in step. */
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

  /** The status of a worker, created on first use. */
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

  /** When the last byte came from a worker; -Infinity if none has. */
  lastHeardMs(id: string): number {
    return this.#statuses.get(id)?.lastHeardMs ?? -Infinity;
  }

  recordHeard(id: string): void {
    this.status(id).lastHeardMs = this.#dependencies.nowMs();
  }

  /** Removes workers that are no longer listed and have no requests in flight. */
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

  /** Backs a worker off after a failed request, longer with each consecutive failure. */
  recordFailure(id: string): void {
    const status = this.status(id);
    const nowMs = this.#dependencies.nowMs();
    if (nowMs < status.backoffUntilMs) return;
    status.failures += 1;
    const { firstMs, maxMs } = BACKOFF_POLICY;
    status.backoffUntilMs = nowMs + Math.min(maxMs, firstMs * 2 ** (status.failures - 1));
  }

  /** Backs a worker that has no capacity off for at least `waitMs`. */
  backOff(id: string, waitMs: number): void {
    const status = this.status(id);
    status.backoffUntilMs = Math.max(status.backoffUntilMs, this.#dependencies.nowMs() + waitMs);
  }

  /** Records that a worker lacks a model that the current version of its row lists. */
  recordMissingModel(worker: WorkerView, model: string, adapter: string): void {
    this.status(worker.id).missingModels.set(`${model}/${adapter}`, worker.number);
  }

  /** Whether a worker reported a model missing and its row has not changed since. */
  lacksModel(worker: WorkerView, model: string, adapter: string): boolean {
    const missingModels = this.#statuses.get(worker.id)?.missingModels;
    return missingModels !== undefined && (missingModels.get(`${model}/${adapter}`) ?? -1) >= worker.number;
  }

  /** Takes a warm-up token, of which the fleet gets `perS` a second for a worker; false if none is left. */
  takeWarmUpToken(worker: WorkerView, perS: number): boolean {
    const nowMs = this.#dependencies.nowMs();
    if (nowMs >= worker.warmUpUntilMs || perS <= 0) return true;
    const status = this.status(worker.id);
    const rate = (perS * WARM_UP_POLICY.rateRatio) / Math.max(1, this.#dependencies.edges());
    const bucket = (status.warmUp ??= {
      tokens: spread(`${worker.id} ${this.#dependencies.salt}`) / 2 ** 32,
      refilledMs: nowMs,
    });
    // Refill is capped: tokens saved up while idle would let all edges spend theirs at once.
    const elapsedMs = Math.min(WARM_UP_POLICY.maxRefillMs, nowMs - bucket.refilledMs);
    bucket.tokens = Math.min(1, bucket.tokens + (rate * elapsedMs) / 1000);
    bucket.refilledMs = nowMs;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }
}
