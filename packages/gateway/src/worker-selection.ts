/** Chooses the worker for a request of the research groups' deployment. */
import { hashText } from '@rainrun/common';
import type { GatewayWorker } from './dependencies.js';

const MAX_PREFIXES = 4096;
const WARM_UP_STEP_MS = 500;
/** Part of a worker's slots that a group beyond its share does not take. */
const RESERVED_SLOT_RATIO = 0.25;
const BACKOFF_FIRST_MS = 500;
const BACKOFF_MAX_MS = 8000;

/** What the selector keeps for each worker. */
interface WorkerStatus {
  inFlight: number;
  failures: number;
  backoffUntilMs: number;
  /** When it last failed a request or took none: it may have started anew since. */
  failedMs: number;
}

/** What a request requires of a worker. */
export interface WorkerRequirement {
  readonly pool: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefix: number;
  /** Its group has its part of the slots already: it may not take a worker's last ones. */
  readonly overShare: boolean;
}

/** Where a request goes, or why nowhere now. */
export type Selection =
  | { readonly worker: GatewayWorker; readonly why: string }
  | { readonly worker: undefined; readonly why: string };

function score(name: string, self: string): number {
  return hashText(`${name}|${self}`);
}

/**
 * Chooses the worker for a request: it must hold model and adapter and have a
 * slot free; then the prefix kept, the own zone and the load decide. While a
 * copy is warming, the whole fleet sends it only a few at a time.
 * @example
 * const selector = new WorkerSelector('edge-1', 'north');
 * selector.select(need, workers, edges, nowMs);
 */
export class WorkerSelector {
  #self: string;
  #zone: string;
  #statuses = new Map<string, WorkerStatus>();
  #prefixes = new Map<number, string>();

  constructor(self: string, zone: string) {
    this.#self = self;
    this.#zone = zone;
  }

  inFlight(worker: string): number {
    return this.#status(worker).inFlight;
  }

  select(
    need: WorkerRequirement,
    workers: readonly GatewayWorker[],
    edges: readonly string[],
    nowMs: number,
  ): Selection {
    let best: GatewayWorker | undefined;
    let bestScore = -Infinity;
    let why = 'no worker holds it';
    for (const worker of workers) {
      if (!this.#serves(worker, need)) continue;
      const standing = this.#status(worker.name);
      if (nowMs < standing.backoffUntilMs) {
        why = 'its workers failed lately';
        continue;
      }
      const most = this.#limit(worker, need, edges, nowMs);
      if (standing.inFlight >= most) {
        why = 'no slot is free';
        continue;
      }
      if (
        need.overShare &&
        standing.inFlight + worker.othersInFlight >=
          worker.slots - Math.ceil(worker.slots * RESERVED_SLOT_RATIO)
      ) {
        why = 'the last slots are kept for groups below their share';
        continue;
      }
      const load = (standing.inFlight + worker.othersInFlight) / worker.slots;
      const kept = this.#prefixes.get(need.prefix) === worker.name ? 0.5 : 0;
      const near = worker.zone === this.#zone ? 0.25 : 0;
      const points = kept + near - load + score(worker.name, this.#self) / 2 ** 36;
      if (points > bestScore) {
        best = worker;
        bestScore = points;
      }
    }
    if (best === undefined) return { worker: undefined, why };
    return { worker: best, why: `${best.name} in ${best.zone}, score ${bestScore.toFixed(2)}` };
  }

  sendStarted(worker: string, prefix: number): void {
    this.#status(worker).inFlight += 1;
    this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, worker);
    const oldest = this.#prefixes.keys().next();
    if (this.#prefixes.size > MAX_PREFIXES && oldest.done !== true) this.#prefixes.delete(oldest.value);
  }

  /** A send that was not answered: from here on the worker counts as warming. */
  recordRestartRisk(worker: string, nowMs: number): void {
    this.#status(worker).failedMs = nowMs;
  }

  sendEnded(worker: string, well: boolean, nowMs: number): void {
    const standing = this.#status(worker);
    standing.inFlight = Math.max(0, standing.inFlight - 1);
    if (well) standing.failures = 0;
    else {
      standing.failures += 1;
      const waitMs = Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** (standing.failures - 1));
      if (standing.failures >= 2) standing.backoffUntilMs = nowMs + waitMs;
    }
  }

  /** Whether a worker may get this at all, load aside. */
  #serves(worker: GatewayWorker, need: WorkerRequirement): boolean {
    if (worker.draining || worker.evacuated || !worker.reachable || worker.pool !== need.pool) return false;
    if (need.model === '') return true;
    const holding = worker.holdings.find((held) => held.model === need.model);
    return holding !== undefined && (need.adapter === '' || holding.adapters.includes(need.adapter));
  }

  /** How many this edge may have in flight there: its part of the slots, of few while a copy warms. */
  #limit(worker: GatewayWorker, need: WorkerRequirement, edges: readonly string[], nowMs: number): number {
    const free = worker.slots - worker.othersInFlight;
    const part = Math.ceil(worker.slots / Math.max(1, edges.length));
    const usual = Math.max(part, Math.floor(free / 2));
    if (need.model === '') return usual;
    const since = [need.model, ...(need.adapter === '' ? [] : [`${need.model}/${need.adapter}`])].map(
      (key) => worker.sinceMs.get(key) ?? nowMs,
    );
    const warmMs = nowMs - Math.max(...since, this.#status(worker.name).failedMs);
    const allowed = 2 ** Math.floor(warmMs / WARM_UP_STEP_MS);
    if (allowed >= worker.slots) return usual;
    const rank = edges.filter((edge) => score(worker.name, edge) > score(worker.name, this.#self)).length;
    return Math.min(usual, Math.floor((allowed + edges.length - 1 - rank) / Math.max(1, edges.length)));
  }

  #status(worker: string): WorkerStatus {
    let standing = this.#statuses.get(worker);
    if (standing === undefined) {
      standing = { inFlight: 0, failures: 0, backoffUntilMs: -Infinity, failedMs: -Infinity };
      this.#statuses.set(worker, standing);
    }
    return standing;
  }
}
