/**
 * Chooses the worker for a copy of a model of the platform system, and the copies that are evicted for it.
 */
import type { CopyDemand } from './copy-demand.js';
import { modelMb, usedMb } from './holdings.js';
import type { OrderSender } from './order-sender.js';
import {
  isActive,
  isObserved,
  MIN_RESIDENCE_MS,
  DRAIN_MS,
  type CopyNeed,
  type PlacementRound,
} from './placement-round.js';
import { PLACEMENT_POLICY } from './policy.js';
import type { Usage } from './usage.js';
import { newStep } from './worker-state.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';

const POLICY = PLACEMENT_POLICY.eviction;
const VALUE = POLICY.value;

/** Where the weights are loaded from. */
export type LoadSource = 'disk' | 'store';

/** A worker that can load a copy, and the copies to evict for it. */
interface LoadCandidate {
  readonly row: WorkerRecord;
  readonly cost: number;
  readonly victims: readonly string[];
}

/** Time that edges get to learn of an unload if requests for the model are running, in milliseconds. */
const DRAIN_ACTIVE_MS = 50;

/**
 * Chooses the worker for a needed copy, and evicts the copies of the lowest value there.
 * @example
 * placement.place(round, need, 'disk');
 */
export class ModelPlacement {
  #table: WorkerTable;
  #sender: OrderSender;
  #copyDemand: CopyDemand;
  #usage: Usage;

  constructor(table: WorkerTable, sender: OrderSender, copyDemand: CopyDemand, usage: Usage) {
    this.#table = table;
    this.#sender = sender;
    this.#copyDemand = copyDemand;
    this.#usage = usage;
  }

  /** Whether any worker can load a copy now; if not, no need has to be evaluated. */
  isAnyWorkerFree({ rows, nowMs }: PlacementRound): boolean {
    return rows.some((row) => this.#isFree(row, nowMs));
  }

  /**
   * Plans the copy at the best worker; returns the decision as text, or nothing if no worker can load it now.
   */
  place(round: PlacementRound, need: CopyNeed, source: LoadSource): string | undefined {
    const candidate = this.#bestCandidate(round, need, source);
    if (candidate === undefined) return undefined;
    const { row, victims } = candidate;
    for (const victim of victims) this.#unload(round, row, victim);
    for (const victim of victims) this.#table.touch(row, victim);
    this.#sender.state(row).add(newStep('load', need.model, '', round.nowMs));
    round.copies.set(need.model, (round.copies.get(need.model) ?? 0) + 1);
    const replacing = victims.length > 0 ? ` replacing ${victims.join(', ')}` : '';
    return `${row.id} loads ${need.model} from ${source}${replacing} (value ${need.value.toFixed(2)})`;
  }

  /**
   * Whether a worker with the model on its own disk will have loaded it sooner than a load from the store
   * takes.
   */
  isDiskLoadFaster({ engine, rows, nowMs }: PlacementRound, { model, ageMs }: CopyNeed): boolean {
    const loadMs = engine.models.get(model)?.loadMs ?? 0;
    if (ageMs > loadMs) return false;
    const diskRatio = this.#sender.diskLoadRatio(engine);
    return rows.some((row) => {
      const state = this.#sender.state(row);
      if (!state.onDisk.has(model) || state.planned.has(model) || state.steps.length === 0) return false;
      return state.queuedLoadMs(engine, diskRatio, nowMs) + state.loadMs(engine, model, diskRatio) < loadMs;
    });
  }

  #isFree(row: WorkerRecord, nowMs: number): boolean {
    const { steps, backoffUntilMs } = this.#sender.state(row);
    return steps.length === 0 && nowMs >= backoffUntilMs;
  }

  #unload(round: PlacementRound, row: WorkerRecord, victim: string): void {
    const { copies, demands, nowMs } = round;
    const state = this.#sender.state(row);
    if (state.retired.delete(victim)) return state.add(newStep('unload', victim, '', nowMs));
    row.models.delete(victim);
    copies.set(victim, (copies.get(victim) ?? 1) - 1);
    const inUse = (demands.get(victim)?.inFlight ?? 0) > 0;
    state.add(newStep('unload', victim, '', nowMs + (inUse ? DRAIN_ACTIVE_MS : DRAIN_MS)));
  }

  #bestCandidate(round: PlacementRound, need: CopyNeed, source: LoadSource): LoadCandidate | undefined {
    const { engine, rows, nowMs } = round;
    const model = engine.models.get(need.model);
    if (model === undefined || model.sizeMb > engine.roomMb) return undefined;
    let best: LoadCandidate | undefined;
    for (const row of rows) {
      if (!this.#isFree(row, nowMs)) continue;
      const state = this.#sender.state(row);
      if (state.holdings.has(need.model) || state.onDisk.has(need.model) !== (source === 'disk')) continue;
      const candidate = this.#candidateAt(round, need, row, model.sizeMb);
      if (candidate !== undefined && (best === undefined || candidate.cost < best.cost)) best = candidate;
    }
    return best;
  }

  /**
   * The copies to evict at a worker, the lowest value first, until the copy fits; nothing if that would evict
   * a copy that is worth as much as the need.
   */
  #candidateAt(
    round: PlacementRound,
    need: CopyNeed,
    row: WorkerRecord,
    sizeMb: number,
  ): LoadCandidate | undefined {
    const { engine } = round;
    const { holdings } = this.#sender.state(row);
    const valued = [...holdings.keys()]
      .map((model) => ({ model, value: this.#valueOf(round, row, model, need) }))
      .sort((one, other) => one.value - other.value);
    let freeMb = engine.roomMb - usedMb(engine, holdings);
    let cost = 0;
    const victims: string[] = [];
    for (const { model, value } of valued) {
      if (freeMb >= sizeMb || value >= need.value) break;
      victims.push(model);
      freeMb += modelMb(engine, model, holdings.get(model)?.size ?? 0);
      cost += value;
    }
    return freeMb >= sizeMb ? { row, cost, victims } : undefined;
  }

  /**
   * The value of a loaded copy. A further copy of one busy model is evicted for a copy of another only if the
   * load of the other is clearly higher, so that the two do not evict each other in turn.
   */
  #valueOf(round: PlacementRound, row: WorkerRecord, model: string, need: CopyNeed): number {
    const { nowMs } = round;
    const state = this.#sender.state(row);
    const copies = round.copies.get(model) ?? 0;
    if (state.retired.has(model)) return VALUE.retired;
    if (state.loadedForMs(model, nowMs) < MIN_RESIDENCE_MS)
      return copies > 1 ? VALUE.further : VALUE.newlyLoaded;
    const active = isActive(round, model);
    if (copies > 1) return this.#valueOfReplicated(round, model, copies, need);
    if (active) return VALUE.active + Math.min(1, (round.demands.get(model)?.inFlight ?? 0) / 100);
    return this.#valueOfIdle(round, model);
  }

  /**
   * The value of an idle copy: lower with the time since its last use, and if its requests can wait for a
   * load.
   */
  #valueOfIdle({ engine, observedMs, nowMs }: PlacementRound, model: string): number {
    const key = `${engine.service}/${model}`;
    const idleMs = this.#usage.idleMs(key, nowMs);
    if (idleMs < POLICY.recentUseMs) return VALUE.justUsed;
    const observedIdleMs = Math.min(idleMs, observedMs);
    const isDelayTolerant =
      this.#usage.meanTargetMs(key) >=
      POLICY.delayTolerantTargetLoads * (engine.models.get(model)?.loadMs ?? Infinity);
    const recencyWeight = isDelayTolerant ? POLICY.delayTolerantRecencyWeight : 1;
    return VALUE.idle + (VALUE.recentUseBonus * recencyWeight) / (1 + observedIdleMs / 1000);
  }

  /** The value of a copy of a model that has further copies. */
  #valueOfReplicated(round: PlacementRound, model: string, copies: number, need: CopyNeed): number {
    const active = isActive(round, model);
    if (!isObserved(round, model)) return active ? VALUE.further : VALUE.unobserved;
    if (copies > Math.max(1, round.targets.get(model)?.retained ?? 0))
      return active ? VALUE.surplusActive : VALUE.surplus;
    return this.#valueOfFurther(round, model, copies, need);
  }

  #valueOfFurther(round: PlacementRound, model: string, copies: number, need: CopyNeed): number {
    if (!isActive(round, model)) return VALUE.idle;
    const remainingLoad = this.#copyDemand.recent(round.engine, model) / (copies - 1);
    if (need.loadPerCopy === Infinity) {
      const perCopy = round.targets.get(model)?.perCopy ?? Infinity;
      return remainingLoad < perCopy * POLICY.maxRemainingLoadRatio
        ? VALUE.removableForFirstCopy
        : VALUE.furtherForFirstCopy;
    }
    return remainingLoad < need.loadPerCopy * POLICY.maxVictimLoadRatio ? VALUE.lessLoaded : VALUE.further;
  }
}
