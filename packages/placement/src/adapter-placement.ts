/** Chooses the workers that load adapters of the platform system. */
import { spread } from '@rainrun/common';
import { adapterCount, usedMb } from './holdings.js';
import type { OrderSender } from './order-sender.js';
import { DRAIN_MS, type PlacementRound } from './placement-round.js';
import type { UnservedDemand } from './unserved-demand.js';
import type { Usage } from './usage.js';
import { newStep, type WorkerState } from './worker-state.js';
import type { WorkerRecord, WorkerTable } from './worker-table.js';

/** An adapter of a model. */
interface AdapterRef {
  readonly model: string;
  readonly adapter: string;
}

/** A worker with more queued steps than this gets no further adapter. */
const MAX_QUEUED_STEPS = 2;

/**
 * Loads adapters that requests wait for at workers that hold their model, those first that have been unserved
 * for the longest time.
 * @example
 * adapters.place(round);
 */
export class AdapterPlacement {
  #table: WorkerTable;
  #sender: OrderSender;
  #usage: Usage;
  #unserved: UnservedDemand;

  constructor(table: WorkerTable, sender: OrderSender, usage: Usage, unserved: UnservedDemand) {
    this.#table = table;
    this.#sender = sender;
    this.#usage = usage;
    this.#unserved = unserved;
  }

  place(round: PlacementRound): void {
    const { engine, nowMs } = round;
    const missing = this.#missing(round)
      .map((adapterRef) => ({
        adapterRef,
        ageMs: this.#unserved.ageMs(keyOf(engine.service, adapterRef), nowMs),
      }))
      .sort((one, other) => other.ageMs - one.ageMs);
    for (const { adapterRef } of missing) this.#placeOne(round, adapterRef);
  }

  /** Adapters that requests wait for and that no holder of their model has loaded or planned. */
  #missing(round: PlacementRound): AdapterRef[] {
    const { engine, demands, nowMs } = round;
    const missing: AdapterRef[] = [];
    for (const [model, demand] of demands) {
      for (const [adapter, { waiting, inFlight }] of demand.adapters) {
        const adapterRef = { model, adapter };
        const key = keyOf(engine.service, adapterRef);
        if (waiting + inFlight > 0) this.#usage.recordUse(key, nowMs);
        if (waiting === 0) continue;
        if (round.rows.some((row) => row.models.get(model)?.has(adapter) === true)) {
          this.#unserved.recordServed(key);
          continue;
        }
        this.#unserved.recordRequested(key, nowMs);
        if (!round.rows.some((row) => this.#isLoadPlanned(row, adapterRef))) missing.push(adapterRef);
      }
    }
    return missing;
  }

  #isLoadPlanned(row: WorkerRecord, { model, adapter }: AdapterRef): boolean {
    return (
      row.models.has(model) &&
      this.#sender
        .state(row)
        .steps.some((step) => step.action === 'load' && step.model === model && step.adapter === adapter)
    );
  }

  #placeOne(round: PlacementRound, adapterRef: AdapterRef): void {
    const { model, adapter } = adapterRef;
    const holders = round.rows
      .filter((row) => row.models.has(model))
      .sort(
        (one, other) =>
          this.#sender.state(one).steps.length - this.#sender.state(other).steps.length ||
          spread(`${adapter} ${one.id}`) - spread(`${adapter} ${other.id}`),
      );
    holders.some((row) => this.#placeAt(round, row, adapterRef));
  }

  /**
   * Plans an adapter at a worker; if all adapter places are taken, it replaces the least recently used one.
   */
  #placeAt(round: PlacementRound, row: WorkerRecord, { model, adapter }: AdapterRef): boolean {
    const { engine, nowMs } = round;
    const state = this.#sender.state(row);
    const sizeMb = engine.models.get(model)?.adapterMb ?? 0;
    if (state.steps.length > MAX_QUEUED_STEPS || nowMs < state.backoffUntilMs || !state.planned.has(model))
      return false;
    if (engine.roomMb - usedMb(engine, state.planned) < sizeMb) return false;
    if (adapterCount(state.planned) >= engine.adapterPlaces) {
      const victim = this.#longestUnused(round, state);
      if (victim === undefined) return false;
      row.models.get(victim.model)?.delete(victim.adapter);
      this.#table.touch(row, victim.model);
      state.add(newStep('unload', victim.model, victim.adapter, nowMs + DRAIN_MS));
    }
    state.add(newStep('load', model, adapter, nowMs));
    return true;
  }

  /** The least recently used adapter of a worker among those that are neither in use nor waited for. */
  #longestUnused({ engine, demands, nowMs }: PlacementRound, state: WorkerState): AdapterRef | undefined {
    let longest: (AdapterRef & { readonly idleMs: number }) | undefined;
    for (const [model, adapters] of state.planned) {
      for (const adapter of adapters) {
        const demand = demands.get(model)?.adapters.get(adapter);
        const inUse = demand !== undefined && demand.waiting + demand.inFlight > 0;
        if (inUse || state.holdings.get(model)?.has(adapter) !== true) continue;
        const idleMs = this.#usage.idleMs(keyOf(engine.service, { model, adapter }), nowMs);
        if (longest === undefined || idleMs > longest.idleMs) longest = { model, adapter, idleMs };
      }
    }
    return longest;
  }
}

function keyOf(service: string, { model, adapter }: AdapterRef): string {
  return `${service}/${model}/${adapter}`;
}
