import type { HoldingTarget, Spec } from '@rainrun/marquee';

/** A worker as the placer sees it. */
export interface PlaceWorker {
  readonly name: string;
  readonly zone: string;
  readonly roomMb: number;
  readonly slots: number;
  /** Neither leaving, nor unreachable, nor in an emptied zone. */
  readonly usable: boolean;
  readonly holdings: readonly HoldingTarget[];
}

/** Smoothed demand for one model, with the adapters asked for. */
export interface ModelDemand {
  arrivalsPerS: number;
  backlog: number;
  readonly adapters: Map<string, number>;
}

/** Set points of placement. */
export interface PlaceSettings {
  /** Demand that one copy of a model should carry, in arrivals a second and slot. */
  readonly perSlotPerS: number;
  /** A copy more only above this multiple of the set point. */
  readonly above: number;
  /** A copy less only below this multiple. */
  readonly below: number;
  /** Changes decided in one step. */
  readonly steps: number;
  /** No copy is moved again before this. */
  readonly restMs: number;
}

export const PLACE_SETTINGS: PlaceSettings = { perSlotPerS: 0.5, above: 1.2, below: 0.4, steps: 2, restMs: 5000 };

interface Bench {
  readonly worker: PlaceWorker;
  readonly holdings: Map<string, Set<string>>;
  freeMb: number;
  touched: boolean;
}

/**
 * Decides what each worker should hold. It moves a few copies a step, leaves a
 * moved copy in peace for a while, and asks for a wider gap to remove a copy
 * than to add one, so that it does not hunt.
 * @example
 * const changes = new Placer(PLACE_SETTINGS).step(spec, workers, demands, nowMs);
 */
export class Placer {
  #settings: PlaceSettings;
  #movedMs = new Map<string, number>();
  #reasons = new Map<string, string>();

  constructor(settings: PlaceSettings) {
    this.#settings = settings;
  }

  /** Why a model stands where it does: the last decision about it. */
  reason(model: string): string | undefined {
    return this.#reasons.get(model);
  }

  /** New targets, only for the workers whose target changes. */
  step(
    spec: Spec,
    workers: readonly PlaceWorker[],
    demands: ReadonlyMap<string, ModelDemand>,
    nowMs: number,
  ): Record<string, HoldingTarget[]> {
    const sizes = new Map(spec.models.map((model) => [model.name, model.sizeMb]));
    const adapterMb = new Map(spec.adapters.map((adapter) => [adapter.name, adapter.sizeMb]));
    const benches = workers.map((worker) => openBench(worker, sizes, adapterMb));
    let left = this.#settings.steps;
    for (const want of this.#wants(spec, benches, demands)) {
      if (left === 0) break;
      const sizeMb = (sizes.get(want.model) ?? 0) + (want.adapter === undefined ? 0 : (adapterMb.get(want.adapter) ?? 0));
      if (this.#grant(want, sizeMb, benches, demands, sizes, adapterMb, nowMs)) left -= 1;
    }
    const changes: Record<string, HoldingTarget[]> = {};
    for (const bench of benches) {
      if (bench.touched) changes[bench.worker.name] = toHoldings(bench);
    }
    return changes;
  }

  #wants(spec: Spec, benches: readonly Bench[], demands: ReadonlyMap<string, ModelDemand>): Want[] {
    const wants: Want[] = [];
    for (const { name: model } of spec.models) {
      const demand = demands.get(model);
      const copies = benches.filter((bench) => bench.worker.usable && bench.holdings.has(model));
      const pressure = this.#pressure(demand, copies);
      if (copies.length === 0) wants.push({ model, urgency: demand === undefined ? 0 : 10 + pressure, why: 'no copy' });
      else if (pressure > this.#settings.above) wants.push({ model, urgency: pressure, why: `pressure ${pressure.toFixed(2)}` });
      for (const [adapter, weight] of demand?.adapters ?? []) {
        if (weight < 0.01 || copies.length === 0 || copies.some((bench) => bench.holdings.get(model)?.has(adapter))) continue;
        wants.push({ model, adapter, urgency: 5 + weight, why: `adapter ${adapter} asked for` });
      }
    }
    for (const { name: adapter, model } of spec.adapters) {
      const copies = benches.filter((bench) => bench.worker.usable && bench.holdings.has(model));
      if (copies.length > 0 && !copies.some((bench) => bench.holdings.get(model)?.has(adapter))) {
        wants.push({ model, adapter, urgency: -1, why: 'room for an adapter' });
      }
    }
    return wants.sort((one, other) => other.urgency - one.urgency);
  }

  #pressure(demand: ModelDemand | undefined, copies: readonly Bench[]): number {
    if (demand === undefined) return 0;
    const slots = copies.reduce((sum, bench) => sum + bench.worker.slots / Math.max(1, bench.holdings.size / 2), 0);
    return (demand.arrivalsPerS + demand.backlog / 2) / (this.#settings.perSlotPerS * Math.max(1, slots));
  }

  #grant(
    want: Want,
    sizeMb: number,
    benches: readonly Bench[],
    demands: ReadonlyMap<string, ModelDemand>,
    sizes: ReadonlyMap<string, number>,
    adapterMb: ReadonlyMap<string, number>,
    nowMs: number,
  ): boolean {
    const { restMs } = this.#settings;
    const fits = benches
      .filter((bench) => bench.worker.usable && !bench.touched && bench.worker.roomMb >= sizeMb)
      .filter((bench) => bench.holdings.has(want.model) === (want.adapter !== undefined));
    const zones = new Set(benches.filter((bench) => bench.holdings.has(want.model)).map((bench) => bench.worker.zone));
    const needMb = want.adapter === undefined ? sizeMb : (adapterMb.get(want.adapter) ?? 0);
    const open = fits
      .filter((bench) => bench.freeMb >= needMb)
      .sort((one, other) => Number(zones.has(one.worker.zone)) - Number(zones.has(other.worker.zone)) || other.freeMb - one.freeMb)[0];
    if (open !== undefined) return this.#put(want, open, needMb, nowMs);
    if (want.urgency <= 0) return false;
    for (const bench of fits) {
      const victim = [...bench.holdings.keys()]
        .filter((model) => model !== want.model && nowMs - (this.#movedMs.get(`${bench.worker.name}/${model}`) ?? -Infinity) > restMs)
        .map((model) => ({ model, worth: this.#worth(model, bench, benches, demands) }))
        .sort((one, other) => one.worth - other.worth)[0];
      if (victim === undefined || victim.worth >= want.urgency * this.#settings.below) continue;
      bench.freeMb += heldMb(bench, victim.model, sizes, adapterMb);
      bench.holdings.delete(victim.model);
      bench.touched = true;
      this.#reasons.set(victim.model, `left ${bench.worker.name} for ${want.model}`);
      if (bench.freeMb >= needMb) return this.#put(want, bench, needMb, nowMs);
      return true;
    }
    return false;
  }

  #worth(model: string, bench: Bench, benches: readonly Bench[], demands: ReadonlyMap<string, ModelDemand>): number {
    const others = benches.filter((other) => other !== bench && other.worker.usable && other.holdings.has(model));
    const pressure = this.#pressure(demands.get(model), others);
    if (others.length === 0) return demands.has(model) ? 10 + pressure : 1;
    return pressure;
  }

  #put(want: Want, bench: Bench, needMb: number, nowMs: number): boolean {
    const adapters = bench.holdings.get(want.model) ?? new Set<string>();
    if (want.adapter !== undefined) adapters.add(want.adapter);
    bench.holdings.set(want.model, adapters);
    bench.freeMb -= needMb;
    bench.touched = true;
    this.#movedMs.set(`${bench.worker.name}/${want.model}`, nowMs);
    this.#reasons.set(want.model, `${want.why}, put on ${bench.worker.name}`);
    return true;
  }
}

interface Want {
  readonly model: string;
  readonly adapter?: string;
  readonly urgency: number;
  readonly why: string;
}

function heldMb(
  bench: Bench,
  model: string,
  sizes: ReadonlyMap<string, number>,
  adapterMb: ReadonlyMap<string, number>,
): number {
  let sumMb = sizes.get(model) ?? 0;
  for (const adapter of bench.holdings.get(model) ?? []) sumMb += adapterMb.get(adapter) ?? 0;
  return sumMb;
}

function openBench(worker: PlaceWorker, sizes: ReadonlyMap<string, number>, adapterMb: ReadonlyMap<string, number>): Bench {
  const holdings = new Map<string, Set<string>>();
  for (const { model, adapters } of worker.holdings) {
    if (sizes.has(model)) holdings.set(model, new Set(adapters.filter((adapter) => adapterMb.has(adapter))));
  }
  const bench: Bench = { worker, holdings, freeMb: worker.roomMb, touched: false };
  for (const model of holdings.keys()) bench.freeMb -= heldMb(bench, model, sizes, adapterMb);
  bench.touched = holdings.size !== worker.holdings.length || bench.freeMb < 0;
  for (const model of [...holdings.keys()].reverse()) {
    if (bench.freeMb >= 0) break;
    bench.freeMb += heldMb(bench, model, sizes, adapterMb);
    holdings.delete(model);
  }
  return bench;
}

function toHoldings(bench: Bench): HoldingTarget[] {
  return [...bench.holdings].map(([model, adapters]) => ({ model, adapters: [...adapters].sort() }));
}
