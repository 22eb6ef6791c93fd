/** Plans what each worker of the research groups' deployment is to load. */
import type { HoldingTarget, Spec } from '@rainrun/configuration';
import { SpecPlacementNeeds, type PlacementNeed, type SpecDemands } from './spec-placement-needs.js';
import type { SpecPlacerSettings } from './spec-placer-settings.js';
import {
  newWorkerPlan,
  modelWithAdaptersMb,
  sizesOf,
  targetOf,
  type SpecPlacerWorker,
  type SpecSizes,
  type WorkerPlan,
} from './spec-worker-plan.js';
import { TokenBucket } from './token-bucket.js';

/** Fraction of the store's pulls that rotation between equally requested models may use. */
const ROTATION_PULL_RATIO = 0.5;

/** The input of one planning step. */
interface PlacerStepInput {
  readonly plans: readonly WorkerPlan[];
  readonly sizes: SpecSizes;
  readonly demands: SpecDemands;
  readonly nowMs: number;
}

/**
 * Plans what each worker should hold. To avoid oscillation, it moves only a few copies in each step, does not
 * move a copy again within `dwellMs`, and applies different thresholds for adding and removing a copy. Free
 * memory goes to copies in a second zone, but not while a requested item lacks memory. The gain of a model
 * that is requested and loaded nowhere grows with time, until it replaces a model of equal demand: if such
 * models exceed the memory, they rotate, with at most half of the store's pulls.
 * @example
 * const changes = new SpecPlacer(SPEC_PLACER_SETTINGS).step(spec, workers, demands, nowMs);
 */
export class SpecPlacer {
  #settings: SpecPlacerSettings;
  #needs: SpecPlacementNeeds;
  /** When each copy was placed, by `worker/model`. */
  #placedMs = new Map<string, number>();
  #reasons = new Map<string, string>();
  /** Limits evictions that only the aged gain of a model justifies. */
  #rotationBucket: TokenBucket | undefined;

  constructor(settings: SpecPlacerSettings) {
    this.#settings = settings;
    this.#needs = new SpecPlacementNeeds(settings);
  }

  /** The reason for the last placement decision on a model. */
  reason(model: string): string | undefined {
    return this.#reasons.get(model);
  }

  /** Returns new targets for the workers whose target changes. */
  step(
    spec: Spec,
    workers: readonly SpecPlacerWorker[],
    demands: SpecDemands,
    nowMs: number,
  ): Record<string, HoldingTarget[]> {
    const sizes = sizesOf(spec);
    const plans = workers.map((worker) => newWorkerPlan(worker, sizes));
    this.#refillRotationBucket(spec, nowMs);
    this.#meetNeeds(this.#needs.find(spec, plans, demands, nowMs), { plans, sizes, demands, nowMs });
    const changes: Record<string, HoldingTarget[]> = {};
    for (const plan of plans) {
      if (plan.changed) changes[plan.worker.name] = targetOf(plan);
    }
    return changes;
  }

  #refillRotationBucket(spec: Spec, nowMs: number): void {
    this.#rotationBucket ??= new TokenBucket(nowMs);
    this.#rotationBucket.refill((ROTATION_PULL_RATIO * spec.store.pullsPerMinute) / 60, 1, nowMs);
  }

  /** Meets needs in order, as far as memory and the bounds of one step allow. */
  #meetNeeds(needs: readonly PlacementNeed[], step: PlacerStepInput): void {
    let { steps, fillBudget } = this.#settings;
    let isRoomShort = false;
    for (const need of needs) {
      if (isRoomShort && need.urgency <= 0) return;
      if (fillBudget > 0 && this.#placeInFreeMemory(need, step.plans, step)) {
        fillBudget -= 1;
        continue;
      }
      isRoomShort ||= need.urgency > 0;
      if (steps > 0 && this.#evictFor(need, step)) steps -= 1;
    }
  }

  /** Places a need at a worker with enough free memory, preferably in a zone without the model. */
  #placeInFreeMemory(
    need: PlacementNeed,
    plans: readonly WorkerPlan[],
    { sizes, nowMs }: PlacerStepInput,
  ): boolean {
    const needMb = neededMb(need, sizes);
    const modelZones = zonesWith(plans, ({ holdings }) => holdings.has(need.model));
    const occupiedZones = zonesWith(plans, (plan) => isAlreadyMet(plan, need));
    const plan = eligiblePlans(need, plans)
      .filter(({ freeMb }) => freeMb >= needMb)
      .filter(({ worker }) => need.newZoneOnly !== true || !occupiedZones.has(worker.zone))
      .sort(
        (one, other) =>
          Number(modelZones.has(one.worker.zone)) - Number(modelZones.has(other.worker.zone)) ||
          other.freeMb - one.freeMb,
      )[0];
    if (plan === undefined) return false;
    const adapters = plan.holdings.get(need.model) ?? new Set<string>();
    if (need.adapter !== undefined) adapters.add(need.adapter);
    plan.holdings.set(need.model, adapters);
    plan.freeMb -= needMb;
    plan.changed = true;
    this.#placedMs.set(`${plan.worker.name}/${need.model}`, nowMs);
    this.#reasons.set(need.model, `${need.reason}, placed on ${plan.worker.name}`);
    return true;
  }

  /** Evicts the copy of the lowest value if the gain of the need is clearly higher. */
  #evictFor(need: PlacementNeed, step: PlacerStepInput): boolean {
    if (need.urgency <= 0) return false;
    const needMb = neededMb(need, step.sizes);
    const victim = eligiblePlans(need, step.plans)
      .filter((plan) => !plan.evicted && plan.worker.roomMb >= needMb)
      .flatMap((plan) => this.#candidates(need, plan, step))
      .sort((one, other) => one.value - other.value)[0];
    if (victim === undefined || !this.#mayEvict(victim.value, need)) return false;
    const { plan, model } = victim;
    plan.freeMb += modelWithAdaptersMb(plan, model, step.sizes);
    plan.holdings.delete(model);
    plan.changed = true;
    plan.evicted = true;
    this.#reasons.set(model, `evicted from ${plan.worker.name} for ${need.model}`);
    this.#placeInFreeMemory(need, [plan], step);
    return true;
  }

  /** Copies at a worker that may be evicted for a need. */
  #candidates(
    need: PlacementNeed,
    plan: WorkerPlan,
    step: PlacerStepInput,
  ): { readonly plan: WorkerPlan; readonly model: string; readonly value: number }[] {
    return [...plan.holdings.keys()]
      .filter((model) => model !== need.model && this.#mayMove(plan, model, step.nowMs))
      .map((model) => ({ plan, model, value: this.#valueOf(model, plan, step) }));
  }

  /**
   * Whether a need justifies evicting a copy of a value, by its gain or, at the rotation rate, by its aged
   * gain.
   */
  #mayEvict(value: number, need: PlacementNeed): boolean {
    const { removeCopyBelow } = this.#settings;
    if (value < need.gain * removeCopyBelow) return true;
    if (value >= (need.agedGain ?? 0) * removeCopyBelow || this.#rotationBucket?.hasToken !== true)
      return false;
    this.#rotationBucket.take();
    return true;
  }

  #mayMove(plan: WorkerPlan, model: string, nowMs: number): boolean {
    return nowMs - (this.#placedMs.get(`${plan.worker.name}/${model}`) ?? -Infinity) > this.#settings.dwellMs;
  }

  /** The pressure on the other copies of a model without this one. */
  #valueOf(model: string, plan: WorkerPlan, { plans, demands }: PlacerStepInput): number {
    const others = plans.filter(
      (other) => other !== plan && other.worker.usable && other.holdings.has(model),
    );
    return this.#needs.pressure(demands.get(model), others);
  }
}

/**
 * Usable workers for a need: without the model for a copy, with the model and without the adapter for an
 * adapter.
 */
function eligiblePlans(need: PlacementNeed, plans: readonly WorkerPlan[]): WorkerPlan[] {
  return plans.filter((plan) => {
    const adapters = plan.holdings.get(need.model);
    return (
      plan.worker.usable &&
      (need.adapter === undefined ? adapters === undefined : adapters?.has(need.adapter) === false)
    );
  });
}

function isAlreadyMet({ holdings }: WorkerPlan, { model, adapter }: PlacementNeed): boolean {
  return adapter === undefined ? holdings.has(model) : holdings.get(model)?.has(adapter) === true;
}

function zonesWith(plans: readonly WorkerPlan[], isMatch: (plan: WorkerPlan) => boolean): Set<string> {
  return new Set(plans.filter(isMatch).map((plan) => plan.worker.zone));
}

function neededMb(need: PlacementNeed, { modelMb, adapterMb }: SpecSizes): number {
  return (need.adapter === undefined ? modelMb.get(need.model) : adapterMb.get(need.adapter)) ?? Infinity;
}
