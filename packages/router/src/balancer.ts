import { spread } from '@rainrun/common';
import type { RoutedRequest, WorkerView } from './request.js';

/** What the balancer knows beyond the workers themselves. */
export interface BalancerDependencies {
  readonly zone: string;
  /** Different at every edge. */
  readonly salt: string;
  nowMs(): number;
  evacuated(): readonly string[];
  /** How many edges share the workers. */
  edges(): number;
  region(zone: string): string;
}

/** Why no worker was chosen. */
export type NoWorkerReason = 'not-held' | 'none' | 'full' | 'cold' | 'shunned';

interface Standing {
  inFlight: number;
  heardMs: number;
  /** Faults in a row; the worker is shunned the longer the more there were. */
  faults: number;
  shunnedUntilMs: number;
  /** Places left in the second that a cold worker is in. */
  cold: { places: number; atMs: number } | undefined;
  /** Models (and adapters) that it turned away, by the row that claimed them. */
  missing: Map<string, number>;
}

const EVERYONE = 100;
const SHUN_MS = 400;
const SHUN_MOST_MS = 6000;
const COLD_PART = 0.8;
const COLD_STEP_MS = 200;
/** A worker of another zone must be so many requests better. */
const ZONE_SLACK = 2;
/** A worker that kept the prompt may have so many requests more than the least loaded. */
const PREFIX_SLACK = 4;
const LONG_TOKENS = 1500;
/** The parts of a long prompt are kept at so many workers: edges choose alike among them without a word between them. */
const KEPT_AT = 2;

/**
 * Chooses a worker for a request: one that holds its model, takes more, and is
 * least loaded as far as this edge knows; prompts that share long parts go
 * where they went before, the same at every edge.
 * @example
 * const choice = balancer.choose(request, workers);
 */
export class Balancer {
  #dependencies: BalancerDependencies;
  #standings = new Map<string, Standing>();

  constructor(dependencies: BalancerDependencies) {
    this.#dependencies = dependencies;
  }

  inFlight(id: string): number {
    return this.#standings.get(id)?.inFlight ?? 0;
  }

  /** When a worker was last heard. */
  lastHeardMs(id: string): number {
    return this.#standings.get(id)?.heardMs ?? -Infinity;
  }

  recordHeard(id: string): void {
    this.#standing(id).heardMs = this.#dependencies.nowMs();
  }

  /** Forgets workers that are gone. */
  retainOnly(workers: ReadonlyMap<string, unknown>): void {
    for (const [id, standing] of this.#standings)
      if (!workers.has(id) && standing.inFlight === 0) this.#standings.delete(id);
  }

  attemptStarted(worker: WorkerView): void {
    this.#standing(worker.id).inFlight += 1;
  }

  attemptEnded(worker: WorkerView, well: boolean): void {
    const standing = this.#standing(worker.id);
    standing.inFlight = Math.max(0, standing.inFlight - 1);
    if (well) standing.faults = 0;
  }

  /** The worker failed a request: it is left alone for a while. */
  recordFailure(worker: WorkerView): void {
    const standing = this.#standing(worker.id);
    const nowMs = this.#dependencies.nowMs();
    if (nowMs < standing.shunnedUntilMs) return;
    standing.faults += 1;
    standing.shunnedUntilMs = nowMs + Math.min(SHUN_MOST_MS, SHUN_MS * 2 ** (standing.faults - 1));
  }

  /** The worker had no room: it is left alone for a moment. */
  backOff(worker: WorkerView, waitMs: number): void {
    const standing = this.#standing(worker.id);
    standing.shunnedUntilMs = Math.max(standing.shunnedUntilMs, this.#dependencies.nowMs() + waitMs);
  }

  /** The worker does not hold this, whatever its row says. */
  recordMissingModel(worker: WorkerView, model: string, adapter: string): void {
    this.#standing(worker.id).missing.set(`${model}/${adapter}`, worker.number);
  }

  /** Takes a place at a cold worker; false when it may have no more in this second. */
  takeWarmUpToken(worker: WorkerView, perS: number): boolean {
    const nowMs = this.#dependencies.nowMs();
    if (nowMs >= worker.warmUpUntilMs || perS <= 0) return true;
    const standing = this.#standing(worker.id);
    const rate = (perS * COLD_PART) / Math.max(1, this.#dependencies.edges());
    const cold = (standing.cold ??= {
      places: spread(`${worker.id} ${this.#dependencies.salt}`) / 2 ** 32,
      atMs: nowMs,
    });
    // Places are not saved up while none is asked for: all edges would come with theirs at once.
    cold.places = Math.min(1, cold.places + (rate * Math.min(COLD_STEP_MS, nowMs - cold.atMs)) / 1000);
    cold.atMs = nowMs;
    if (cold.places < 1) return false;
    cold.places -= 1;
    return true;
  }

  choose(request: RoutedRequest, workers: Iterable<WorkerView>): WorkerView | NoWorkerReason {
    const { clientRequest, service, route } = request;
    const nowMs = this.#dependencies.nowMs();
    const evacuated = this.#dependencies.evacuated();
    const mostHere = this.#mostHere(service.connections);
    const able: WorkerView[] = [];
    const limited: WorkerView[] = [];
    let why: NoWorkerReason = 'none';
    for (const worker of workers) {
      if (worker.service !== service.name || worker.draining || evacuated.includes(worker.zone)) continue;
      if (
        route.regions !== undefined &&
        route.regions !== null &&
        route.regions.length > 0 &&
        !route.regions.includes(this.#dependencies.region(worker.zone))
      )
        continue;
      if (!this.hasModel(worker, clientRequest.model, clientRequest.adapter)) {
        if (why === 'none') why = 'not-held';
        continue;
      }
      const standing = this.#standing(worker.id);
      if (request.excludedWorkers.has(worker.id) || nowMs < standing.shunnedUntilMs) {
        why = 'shunned';
        continue;
      }
      if (standing.inFlight >= Math.min(mostHere, Math.max(2, worker.slots))) {
        why = 'full';
        continue;
      }
      if (this.#maySend(worker)) able.push(worker);
      else limited.push(worker);
    }
    // A worker that fails some of its requests is better than none.
    const chosen = able.length > 0 ? able : limited;
    if (chosen.length === 0) return why;
    const ranked = this.#ranked(request, chosen);
    return ranked.find((worker) => this.takeWarmUpToken(worker, service.warmupPerS)) ?? 'cold';
  }

  hasModel(worker: WorkerView, model: string, adapter: string): boolean {
    if (model === '' || worker.models.size === 0) return model === '';
    const adapters = worker.models.get(model);
    if (adapters === undefined || (adapter !== '' && !adapters.has(adapter))) return false;
    const missing = this.#standings.get(worker.id)?.missing;
    return missing === undefined || (missing.get(`${model}/${adapter}`) ?? -1) < worker.number;
  }

  /** Whether this edge is among those that may send to a worker. */
  #maySend({ id, sharePercent }: WorkerView): boolean {
    if (sharePercent >= EVERYONE) return true;
    return spread(`${id} ${this.#dependencies.salt}`) % EVERYONE < sharePercent;
  }

  /** This edge's part of the connections that a worker bears. */
  #mostHere(connections: number): number {
    return connections <= 0
      ? Infinity
      : Math.max(2, Math.floor((connections * 0.9) / Math.max(1, this.#dependencies.edges())));
  }

  #ranked(request: RoutedRequest, able: WorkerView[]): WorkerView[] {
    const { clientRequest } = request;
    const loads = new Map(
      able.map((worker) => [
        worker.id,
        this.inFlight(worker.id) + (worker.zone === this.#dependencies.zone ? 0 : ZONE_SLACK),
      ]),
    );
    const least = Math.min(...loads.values());
    const shared = clientRequest.prefix.at(-1);
    const long = shared !== undefined && clientRequest.promptTokens >= LONG_TOKENS;
    function load(worker: WorkerView): number {
      return loads.get(worker.id) ?? 0;
    }
    // Ties are broken anew for each request: by its shared parts every edge would choose the same worker.
    able.sort(
      (one, other) =>
        load(one) - load(other) ||
        spread(`${clientRequest.id} ${other.id}`) - spread(`${clientRequest.id} ${one.id}`),
    );
    if (!long) return able;
    const key = `${clientRequest.model}/${clientRequest.adapter}/${shared}`;
    const kept = [...able]
      .sort((one, other) => spread(`${key} ${other.id}`) - spread(`${key} ${one.id}`))
      .slice(0, KEPT_AT);
    const near = able.filter(
      (worker) => kept.includes(worker) && load(worker) <= least + ZONE_SLACK + PREFIX_SLACK,
    );
    return [...near, ...able.filter((worker) => !near.includes(worker))];
  }

  #standing(id: string): Standing {
    let standing = this.#standings.get(id);
    if (standing === undefined) {
      standing = {
        inFlight: 0,
        heardMs: -Infinity,
        faults: 0,
        shunnedUntilMs: -Infinity,
        cold: undefined,
        missing: new Map(),
      };
      this.#standings.set(id, standing);
    }
    return standing;
  }
}
