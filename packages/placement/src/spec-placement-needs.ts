/**
 * The missing copies and adapters in the placement of the research groups' deployment, with their urgencies.
 */
import type { Spec } from '@rainrun/configuration';
import type { SpecPlacerSettings } from './spec-placer-settings.js';
import type { WorkerPlan } from './spec-worker-plan.js';
import { UnservedDemand } from './unserved-demand.js';

/** Smoothed demand for one model and its adapters. */
export interface SpecModelDemand {
  arrivalsPerS: number;
  backlog: number;
  /** Arrivals a second by adapter. */
  readonly adapters: Map<string, number>;
}

/** A copy of a model, or an adapter of one, that is to be placed. */
export interface PlacementNeed {
  readonly model: string;
  readonly adapter?: string;
  /** Needs of higher urgency are met first. */
  readonly urgency: number;
  /** The pressure that it relieves; compared with the value of the copy to evict for it. */
  readonly gain: number;
  /** The gain, increased with the time for which the model was requested without being loaded. */
  readonly agedGain?: number;
  readonly reason: string;
  /** Whether to place it only in a zone without one, so that it survives the loss of a zone. */
  readonly newZoneOnly?: boolean;
}

/** Demand by model. */
export type SpecDemands = ReadonlyMap<string, SpecModelDemand>;

/** Minimum demand for an adapter to be placed, in arrivals a second. */
const MIN_ADAPTER_PER_S = 0.01;

/** Base urgencies, to which the pressure is added; needs below 0 only fill free memory. */
const URGENCY = { missingModel: 10, missingAdapter: 5, secondZone: -0.5, adapterSecondZone: -0.6, spare: -1 };

const NO_ADAPTERS = new Map<string, number>();

/**
 * Determines what is to be placed.
 * @example
 * const needs = new SpecPlacementNeeds(settings).find(spec, plans, demands, nowMs);
 */
export class SpecPlacementNeeds {
  #settings: SpecPlacerSettings;
  /** Models that are requested and loaded nowhere. */
  #unserved = new UnservedDemand();

  constructor(settings: SpecPlacerSettings) {
    this.#settings = settings;
  }

  /** Returns all needs, the most urgent first. */
  find(spec: Spec, plans: readonly WorkerPlan[], demands: SpecDemands, nowMs: number): PlacementNeed[] {
    const rotationMs = this.#rotationMs(spec, plans, demands, nowMs);
    const needs: PlacementNeed[] = [];
    for (const { name: model } of spec.models) {
      const demand = demands.get(model);
      const copies = usableHolders(model, plans);
      needs.push(...this.#copyNeeds(model, demand, copies, this.#unserved.ageMs(model, nowMs) / rotationMs));
      needs.push(...this.#adapterNeeds(model, demand, copies));
    }
    needs.push(...fillerNeeds(spec, plans));
    return needs.sort((one, other) => other.urgency - one.urgency);
  }

  /** The demand for a model as a multiple of the set point of its copies. */
  pressure(demand: SpecModelDemand | undefined, copies: readonly WorkerPlan[]): number {
    if (demand === undefined) return 0;
    const slots = copies.reduce(
      (sum, plan) => sum + plan.worker.slots / Math.max(1, plan.holdings.size / 2),
      0,
    );
    return (demand.arrivalsPerS + demand.backlog / 2) / (this.#settings.perSlotPerS * Math.max(1, slots));
  }

  /** @param rotations - the number of rotation intervals for which the model was requested and not loaded */
  #copyNeeds(
    model: string,
    demand: SpecModelDemand | undefined,
    copies: readonly WorkerPlan[],
    rotations: number,
  ): PlacementNeed[] {
    const needs: PlacementNeed[] = [];
    const pressure = this.pressure(demand, copies);
    if (copies.length === 0)
      needs.push({
        model,
        urgency: demand === undefined ? 0 : URGENCY.missingModel + pressure + rotations,
        gain: pressure,
        agedGain: pressure * (1 + rotations),
        reason: 'no copy',
      });
    else if (pressure > this.#settings.addCopyAbove)
      needs.push({ model, urgency: pressure, gain: pressure, reason: `pressure ${pressure.toFixed(2)}` });
    if (demand !== undefined && isInOneZone(copies))
      needs.push({ model, urgency: URGENCY.secondZone, gain: 0, reason: 'one zone only', newZoneOnly: true });
    return needs;
  }

  #adapterNeeds(
    model: string,
    demand: SpecModelDemand | undefined,
    copies: readonly WorkerPlan[],
  ): PlacementNeed[] {
    const needs: PlacementNeed[] = [];
    for (const [adapter, perS] of demand?.adapters ?? []) {
      if (perS < MIN_ADAPTER_PER_S) continue;
      const loaded = copies.filter((plan) => plan.holdings.get(model)?.has(adapter));
      if (isInOneZone(loaded))
        needs.push({
          model,
          adapter,
          urgency: URGENCY.adapterSecondZone,
          gain: 0,
          reason: `adapter ${adapter} in one zone only`,
          newZoneOnly: true,
        });
      if (copies.length === 0 || loaded.length > 0) continue;
      needs.push({
        model,
        adapter,
        urgency: URGENCY.missingAdapter + perS,
        gain: this.pressure({ arrivalsPerS: perS, backlog: 0, adapters: NO_ADAPTERS }, []),
        reason: `adapter ${adapter} requested`,
      });
    }
    return needs;
  }

  /**
   * Records unserved models; returns the rotation interval, within which the store can deliver all of them.
   */
  #rotationMs(spec: Spec, plans: readonly WorkerPlan[], demands: SpecDemands, nowMs: number): number {
    this.#unserved.expire(nowMs);
    let missing = 0;
    for (const { name: model } of spec.models) {
      if (usableHolders(model, plans).length > 0) this.#unserved.recordServed(model);
      else if (demands.has(model)) {
        this.#unserved.recordRequested(model, nowMs);
        missing += 1;
      }
    }
    return Math.max(this.#settings.dwellMs, missing * pullIntervalMs(spec));
  }
}

/** Adapters that no copy of their model has, to fill free memory. */
function fillerNeeds(spec: Spec, plans: readonly WorkerPlan[]): PlacementNeed[] {
  const needs: PlacementNeed[] = [];
  for (const { name: adapter, model } of spec.adapters) {
    const copies = usableHolders(model, plans);
    if (copies.length > 0 && !copies.some((plan) => plan.holdings.get(model)?.has(adapter)))
      needs.push({ model, adapter, urgency: URGENCY.spare, gain: 0, reason: 'free memory for an adapter' });
  }
  return needs;
}

/** Usable workers whose plan includes a model. */
function usableHolders(model: string, plans: readonly WorkerPlan[]): WorkerPlan[] {
  return plans.filter((plan) => plan.worker.usable && plan.holdings.has(model));
}

function pullIntervalMs(spec: Spec): number {
  return 60_000 / spec.store.pullsPerMinute;
}

function isInOneZone(plans: readonly WorkerPlan[]): boolean {
  return new Set(plans.map((plan) => plan.worker.zone)).size === 1;
}
