/** Selection of the worker for a request. */
import { hashText } from '@rainrun/common';
import type { GatewayWorker } from './dependencies.js';

const MAX_REMEMBERED_PREFIXES = 4096;
/** The number of requests that the fleet may have in flight at a warming copy doubles with each step. */
const WARM_UP_STEP_MS = 500;
/** Fraction of a worker's slots that a group beyond its share may not use. */
const RESERVED_SLOT_RATIO = 0.25;
const BACKOFF_FIRST_MS = 500;
const BACKOFF_MAX_MS = 8000;

/** The selector's state of one worker. */
interface WorkerStatus {
  inFlight: number;
  failures: number;
  backoffUntilMs: number;
  /** When it last failed or rejected a request; it may have restarted since then and be warming up again. */
  lastFailureMs: number;
}

/** What a request requires of its worker. */
export interface WorkerRequirement {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefix: number;
  /** Whether the request's group has reached its share, so that it may not use a worker's reserved slots. */
  readonly overShare: boolean;
}

/** The selected worker and why it was chosen, or why no worker can take the request now. */
export type Selection =
  | { readonly worker: GatewayWorker; readonly reason: string }
  | { readonly worker: undefined; readonly reason: string };

/**
 * Rendezvous hash of a worker and an edge: breaks ties between workers, and ranks the edges of a warming
 * copy.
 */
function rendezvousHash(name: string, self: string): number {
  return hashText(`${name}|${self}`);
}

/**
 * Selects the worker for a request. A candidate must hold the model and the adapter and have a free slot. The
 * score of a candidate adds a bonus for having served the same prompt prefix last and one for being in this
 * edge's zone, and subtracts the load. While a copy is warming up, the whole fleet sends it only a few
 * requests at a time.
 * @example
 * const selector = new WorkerSelector('edge-1', 'north');
 * selector.select(required, workers, edges, nowMs);
 */
export class WorkerSelector {
  #self: string;
  #zone: string;
  #statuses = new Map<string, WorkerStatus>();
  #lastWorkerByPrefix = new Map<number, string>();

  constructor(self: string, zone: string) {
    this.#self = self;
    this.#zone = zone;
  }

  inFlight(worker: string): number {
    return this.#status(worker).inFlight;
  }

  select(
    required: WorkerRequirement,
    workers: readonly GatewayWorker[],
    edges: readonly string[],
    nowMs: number,
  ): Selection {
    let best: GatewayWorker | undefined;
    let bestScore = -Infinity;
    let reason = 'no worker holds it';
    for (const worker of workers) {
      if (!this.#serves(worker, required)) continue;
      const status = this.#status(worker.name);
      if (nowMs < status.backoffUntilMs) {
        reason = 'the workers that hold it are in backoff after failures';
        continue;
      }
      const limit = this.#limit(worker, required, edges, nowMs);
      if (status.inFlight >= limit) {
        reason = 'no slot is free';
        continue;
      }
      if (
        required.overShare &&
        status.inFlight + worker.othersInFlight >=
          worker.slots - Math.ceil(worker.slots * RESERVED_SLOT_RATIO)
      ) {
        reason = 'the last slots are reserved for groups below their share';
        continue;
      }
      const load = (status.inFlight + worker.othersInFlight) / worker.slots;
      const prefixBonus = this.#lastWorkerByPrefix.get(required.prefix) === worker.name ? 0.5 : 0;
      const zoneBonus = worker.zone === this.#zone ? 0.25 : 0;
      const score = prefixBonus + zoneBonus - load + rendezvousHash(worker.name, this.#self) / 2 ** 36;
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    if (best === undefined) return { worker: undefined, reason };
    return { worker: best, reason: `${best.name} in ${best.zone}, score ${bestScore.toFixed(2)}` };
  }

  sendStarted(worker: string, prefix: number): void {
    this.#status(worker).inFlight += 1;
    this.#lastWorkerByPrefix.delete(prefix);
    this.#lastWorkerByPrefix.set(prefix, worker);
    const oldest = this.#lastWorkerByPrefix.keys().next();
    if (this.#lastWorkerByPrefix.size > MAX_REMEMBERED_PREFIXES && oldest.done !== true)
      this.#lastWorkerByPrefix.delete(oldest.value);
  }

  /** Records an unanswered send: the worker may have restarted, and counts as warming up from now on. */
  recordRestartRisk(worker: string, nowMs: number): void {
    this.#status(worker).lastFailureMs = nowMs;
  }

  sendEnded(worker: string, succeeded: boolean, nowMs: number): void {
    const status = this.#status(worker);
    status.inFlight = Math.max(0, status.inFlight - 1);
    if (succeeded) status.failures = 0;
    else {
      status.failures += 1;
      const waitMs = Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** (status.failures - 1));
      if (status.failures >= 2) status.backoffUntilMs = nowMs + waitMs;
    }
  }

  /** Whether a worker is eligible for a request, regardless of its load. */
  #serves(worker: GatewayWorker, required: WorkerRequirement): boolean {
    if (worker.draining || worker.evacuated || !worker.reachable || worker.pool !== required.pool)
      return false;
    if (required.model === '') return true;
    const holding = worker.holdings.find((held) => held.model === required.model);
    return holding !== undefined && (required.adapter === '' || holding.adapters.includes(required.adapter));
  }

  /**
   * How many requests this edge may have in flight at a worker: its part of the slots, fewer during warm-up.
   */
  #limit(
    worker: GatewayWorker,
    required: WorkerRequirement,
    edges: readonly string[],
    nowMs: number,
  ): number {
    const free = worker.slots - worker.othersInFlight;
    const part = Math.ceil(worker.slots / Math.max(1, edges.length));
    const steadyLimit = Math.max(part, Math.floor(free / 2));
    if (required.model === '') return steadyLimit;
    const readySinceMs = [
      required.model,
      ...(required.adapter === '' ? [] : [`${required.model}/${required.adapter}`]),
    ].map((key) => worker.sinceMs.get(key) ?? nowMs);
    const warmMs = nowMs - Math.max(...readySinceMs, this.#status(worker.name).lastFailureMs);
    const warmUpLimit = 2 ** Math.floor(warmMs / WARM_UP_STEP_MS);
    if (warmUpLimit >= worker.slots) return steadyLimit;
    const rank = edges.filter(
      (edge) => rendezvousHash(worker.name, edge) > rendezvousHash(worker.name, this.#self),
    ).length;
    return Math.min(
      steadyLimit,
      Math.floor((warmUpLimit + edges.length - 1 - rank) / Math.max(1, edges.length)),
    );
  }

  #status(worker: string): WorkerStatus {
    let status = this.#statuses.get(worker);
    if (status === undefined) {
      status = { inFlight: 0, failures: 0, backoffUntilMs: -Infinity, lastFailureMs: -Infinity };
      this.#statuses.set(worker, status);
    }
    return status;
  }
}
