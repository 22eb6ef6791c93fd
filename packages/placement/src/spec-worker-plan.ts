/** The planned holdings of one worker of the research groups' deployment during a planning step. */
import type { HoldingTarget, Spec } from '@rainrun/configuration';

/** A worker as the placer sees it. */
export interface SpecPlacerWorker {
  readonly name: string;
  readonly zone: string;
  readonly roomMb: number;
  /** Number of requests that the worker can run at once. */
  readonly slots: number;
  /** Whether the worker is neither draining, nor unreachable, nor in an evacuated zone. */
  readonly usable: boolean;
  readonly holdings: readonly HoldingTarget[];
}

/** Sizes of the models and adapters of a spec, in MB, by name. */
export interface SpecSizes {
  readonly modelMb: ReadonlyMap<string, number>;
  readonly adapterMb: ReadonlyMap<string, number>;
}

/** The target of one worker, changed during a planning step. */
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
 * Returns the sizes of a spec's models and adapters.
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
 * The memory that a model uses at a worker with its planned adapters, in MB.
 * @example
 * plan.freeMb += modelWithAdaptersMb(plan, 'gearbox-7b', sizes);
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
 * Creates the plan of a worker from its current target, without items that are missing in the spec, and
 * without the last models if they exceed the worker's memory.
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
 * Converts a plan to a target.
 * @example
 * changes[plan.worker.name] = targetOf(plan);
 */
export function targetOf(plan: WorkerPlan): HoldingTarget[] {
  return [...plan.holdings].map(([model, adapters]) => ({ model, adapters: [...adapters].sort() }));
}
