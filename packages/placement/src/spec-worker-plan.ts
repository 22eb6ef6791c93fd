/** What one worker of the research groups' deployment is to load, while the placer changes it. */
import type { HoldingTarget, Spec } from '@rainrun/configuration';

/** A worker as the placer sees it. */
export interface SpecPlacerWorker {
  readonly name: string;
  readonly zone: string;
  readonly roomMb: number;
  /** Requests that it can run at once. */
  readonly slots: number;
  /** Neither draining, nor unreachable, nor in an evacuated zone. */
  readonly usable: boolean;
  readonly holdings: readonly HoldingTarget[];
}

/** What models and adapters of a spec take up, in MB, by name. */
export interface SpecSizes {
  readonly modelMb: ReadonlyMap<string, number>;
  readonly adapterMb: ReadonlyMap<string, number>;
}

/** The target of one worker in the making. */
export interface WorkerPlan {
  readonly worker: SpecPlacerWorker;
  /** Adapters by model. */
  readonly holdings: Map<string, Set<string>>;
  freeMb: number;
  /** Whether the target differs from the one in force. */
  changed: boolean;
  /** Whether a copy was evicted in this step. */
  evicted: boolean;
}

/**
 * The sizes that a spec gives.
 * @example
 * sizesOf(spec).modelMb.get('gearbox-7b'); // 14000
 */
export function sizesOf(spec: Spec): SpecSizes {
  return {
    modelMb: new Map(spec.models.map((model) => [model.name, model.sizeMb])),
    adapterMb: new Map(spec.adapters.map((adapter) => [adapter.name, adapter.sizeMb])),
  };
}

/**
 * What a model takes up at a worker with its adapters there, in MB.
 * @example
 * plan.freeMb += plannedMb(plan, 'gearbox-7b', sizes);
 */
export function modelWithAdaptersMb(
  plan: WorkerPlan,
  model: string,
  { modelMb, adapterMb }: SpecSizes,
): number {
  let sumMb = modelMb.get(model) ?? 0;
  for (const adapter of plan.holdings.get(model) ?? []) sumMb += adapterMb.get(adapter) ?? 0;
  return sumMb;
}

/**
 * The plan of a worker as it is now: without what the spec does not know, and without the last models if they
 * exceed its room.
 * @example
 * const plan = newWorkerPlan(worker, sizesOf(spec));
 */
export function newWorkerPlan(worker: SpecPlacerWorker, sizes: SpecSizes): WorkerPlan {
  const { modelMb, adapterMb } = sizes;
  const holdings = new Map<string, Set<string>>();
  for (const { model, adapters } of worker.holdings) {
    if (modelMb.has(model))
      holdings.set(model, new Set(adapters.filter((adapter) => adapterMb.has(adapter))));
  }
  const plan: WorkerPlan = { worker, holdings, freeMb: worker.roomMb, changed: false, evicted: false };
  for (const model of holdings.keys()) plan.freeMb -= modelWithAdaptersMb(plan, model, sizes);
  plan.changed = holdings.size !== worker.holdings.length || plan.freeMb < 0;
  for (const model of [...holdings.keys()].reverse()) {
    if (plan.freeMb >= 0) break;
    plan.freeMb += modelWithAdaptersMb(plan, model, sizes);
    holdings.delete(model);
  }
  return plan;
}

/**
 * The target that a plan comes to.
 * @example
 * changes[plan.worker.name] = targetOf(plan);
 */
export function targetOf(plan: WorkerPlan): HoldingTarget[] {
  return [...plan.holdings].map(([model, adapters]) => ({ model, adapters: [...adapters].sort() }));
}
