import type { HoldingTarget, Spec } from '@rainrun/configuration';
import { TokenBucket } from './token-bucket.js';
import { UnservedDemand } from './unserved-demand.js';

/** A worker as the placer sees it. */
export interface SpecPlacerWorker {
  readonly name: string;
  readonly zone: string;
  readonly roomMb: number;
  readonly slots: number;
  /** Neither leaving, nor unreachable, nor in an emptied zone. */
  readonly usable: boolean;
  readonly holdings: readonly HoldingTarget[];
}

/** Smoothed demand for one model, with the adapters asked for. */
export interface SpecModelDemand {
  arrivalsPerS: number;
  backlog: number;
  readonly adapters: Map<string, number>;
}

/** Set points of placement. */
export interface SpecPlacerSettings {
  /** Demand that one copy of a model should carry, in arrivals a second and slot. */
  readonly perSlotPerS: number;
  /** A copy more only above this multiple of the set point. */
  readonly above: number;
  /** A copy less only below this multiple. */
  readonly below: number;
  /** Changes decided in one step that take something away from a worker. */
  readonly steps: number;
  /** Changes decided in one step that only fill free room. */
  readonly fills: number;
  /** No copy is moved again before this. */
  readonly restMs: number;
}

/** The usual set points and bounds. */
export const SPEC_PLACER_SETTINGS: SpecPlacerSettings = {
  perSlotPerS: 0.5,
  above: 1.2,
  below: 0.4,
  steps: 2,
  fills: 24,
  restMs: 5000,
};

/** Part of the store's pulls that may go to models whose turn it is. */
const TURN_PART = 0.5;

const NONE = new Map<string, number>();

interface WorkerPlan {
  readonly worker: SpecPlacerWorker;
  readonly holdings: Map<string, Set<string>>;
  freeMb: number;
  changed: boolean;
  evicted: boolean;
}

interface Parts {
  readonly sizes: ReadonlyMap<string, number>;
  readonly adapterMb: ReadonlyMap<string, number>;
  readonly demands: ReadonlyMap<string, SpecModelDemand>;
}

/**
 * Decides what each worker should hold. It moves a few copies a step, leaves a
 * moved copy in peace for a while, and asks for a wider gap to remove a copy
 * than to add one, so that it does not hunt. Room that nobody asks for goes to
 * copies in a second zone, but not while something asked for still lacks room.
 * A model that is asked for and stands nowhere counts for more the longer that
 * lasts, until it takes the place of one that is asked for alike: where there
 * are more of them than places they take turns, no faster than half the store.
 * @example
 * const changes = new SpecPlacer(SPEC_PLACER_SETTINGS).step(spec, workers, demands, nowMs);
 */
export class SpecPlacer {
  #settings: SpecPlacerSettings;
  #movedMs = new Map<string, number>();
  #reasons = new Map<string, string>();
  /** Models that are asked for and stand nowhere. */
  #unserved = new UnservedDemand();
  /** Places that may change hands now because of how long a model was asked for in vain. */
  #turns: TokenBucket | undefined;

  constructor(settings: SpecPlacerSettings) {
    this.#settings = settings;
  }

  /** Why a model stands where it does: the last decision about it. */
  reason(model: string): string | undefined {
    return this.#reasons.get(model);
  }

  /** New targets, only for the workers whose target changes. */
  step(
    spec: Spec,
    workers: readonly SpecPlacerWorker[],
    demands: ReadonlyMap<string, SpecModelDemand>,
    nowMs: number,
  ): Record<string, HoldingTarget[]> {
    const sizes = new Map(spec.models.map((model) => [model.name, model.sizeMb]));
    const adapterMb = new Map(spec.adapters.map((adapter) => [adapter.name, adapter.sizeMb]));
    const benches = workers.map((worker) => openBench(worker, sizes, adapterMb));
    const parts: Parts = { sizes, adapterMb, demands };
    this.#refillTurns(spec, nowMs);
    let { steps, fills } = this.#settings;
    let short = false;
    for (const want of this.#wants(spec, benches, demands, nowMs)) {
      if (short && want.urgency <= 0) break;
      if (fills > 0 && this.#fill(want, benches, parts, nowMs)) {
        fills -= 1;
        continue;
      }
      short ||= want.urgency > 0;
      if (steps > 0 && this.#clear(want, benches, parts, nowMs)) steps -= 1;
    }
    const changes: Record<string, HoldingTarget[]> = {};
    for (const bench of benches) {
      if (bench.changed) changes[bench.worker.name] = toHoldings(bench);
    }
    return changes;
  }

  #refillTurns(spec: Spec, nowMs: number): void {
    this.#turns ??= new TokenBucket(nowMs);
    this.#turns.refill((TURN_PART * spec.store.pullsPerMinute) / 60, 1, nowMs);
  }

  #wants(
    spec: Spec,
    benches: readonly WorkerPlan[],
    demands: ReadonlyMap<string, SpecModelDemand>,
    nowMs: number,
  ): PlacementNeed[] {
    const wants: PlacementNeed[] = [];
    const turnMs = this.#turnMs(spec, benches, demands, nowMs);
    for (const { name: model } of spec.models) {
      const demand = demands.get(model);
      const copies = benches.filter((bench) => bench.worker.usable && bench.holdings.has(model));
      const pressure = this.#pressure(demand, copies);
      if (copies.length === 0)
        wants.push({
          model,
          urgency: demand === undefined ? 0 : 10 + pressure + this.#unserved.ageMs(model, nowMs) / turnMs,
          gain: pressure,
          agedGain: pressure * (1 + this.#unserved.ageMs(model, nowMs) / turnMs),
          why: 'no copy',
        });
      else if (pressure > this.#settings.above)
        wants.push({ model, urgency: pressure, gain: pressure, why: `pressure ${pressure.toFixed(2)}` });
      if (demand !== undefined && isInOneZone(copies))
        wants.push({ model, urgency: -0.5, gain: 0, why: 'one zone only', elsewhere: true });
      for (const [adapter, weight] of demand?.adapters ?? []) {
        const held = copies.filter((bench) => bench.holdings.get(model)?.has(adapter));
        if (weight >= 0.01 && isInOneZone(held))
          wants.push({
            model,
            adapter,
            urgency: -0.6,
            gain: 0,
            why: `adapter ${adapter} in one zone only`,
            elsewhere: true,
          });
        if (
          weight < 0.01 ||
          copies.length === 0 ||
          copies.some((bench) => bench.holdings.get(model)?.has(adapter))
        )
          continue;
        wants.push({
          model,
          adapter,
          urgency: 5 + weight,
          gain: this.#pressure({ arrivalsPerS: weight, backlog: 0, adapters: NONE }, []),
          why: `adapter ${adapter} asked for`,
        });
      }
    }
    for (const { name: adapter, model } of spec.adapters) {
      const copies = benches.filter((bench) => bench.worker.usable && bench.holdings.has(model));
      if (copies.length > 0 && !copies.some((bench) => bench.holdings.get(model)?.has(adapter))) {
        wants.push({ model, adapter, urgency: -1, gain: 0, why: 'room for an adapter' });
      }
    }
    return wants.sort((one, other) => other.urgency - one.urgency);
  }

  /** Notes what stands nowhere; how long one turn lasts, so that all of it can be pulled meanwhile. */
  #turnMs(
    spec: Spec,
    benches: readonly WorkerPlan[],
    demands: ReadonlyMap<string, SpecModelDemand>,
    nowMs: number,
  ): number {
    this.#unserved.expire(nowMs);
    let missing = 0;
    for (const { name: model } of spec.models) {
      const stands = benches.some((bench) => bench.worker.usable && bench.holdings.has(model));
      if (stands) this.#unserved.recordServed(model);
      else if (demands.has(model)) {
        this.#unserved.recordRequested(model, nowMs);
        missing += 1;
      }
    }
    return Math.max(this.#settings.restMs, missing * msPerPull(spec));
  }

  #pressure(demand: SpecModelDemand | undefined, copies: readonly WorkerPlan[]): number {
    if (demand === undefined) return 0;
    const slots = copies.reduce(
      (sum, bench) => sum + bench.worker.slots / Math.max(1, bench.holdings.size / 2),
      0,
    );
    return (demand.arrivalsPerS + demand.backlog / 2) / (this.#settings.perSlotPerS * Math.max(1, slots));
  }

  /** Puts what is wanted where there is room, in a zone that lacks it if there is one. */
  #fill(want: PlacementNeed, benches: readonly WorkerPlan[], parts: Parts, nowMs: number): boolean {
    const needMb = partMb(want, parts);
    const zones = new Set(
      benches.filter((bench) => bench.holdings.has(want.model)).map((bench) => bench.worker.zone),
    );
    const taken = new Set(
      benches
        .filter((bench) =>
          want.adapter === undefined
            ? bench.holdings.has(want.model)
            : bench.holdings.get(want.model)?.has(want.adapter),
        )
        .map((bench) => bench.worker.zone),
    );
    const open = fitting(want, benches)
      .filter((bench) => bench.freeMb >= needMb && !(want.elsewhere === true && taken.has(bench.worker.zone)))
      .sort(
        (one, other) =>
          Number(zones.has(one.worker.zone)) - Number(zones.has(other.worker.zone)) ||
          other.freeMb - one.freeMb,
      )[0];
    if (open === undefined) return false;
    const adapters = open.holdings.get(want.model) ?? new Set<string>();
    if (want.adapter !== undefined) adapters.add(want.adapter);
    open.holdings.set(want.model, adapters);
    open.freeMb -= needMb;
    open.changed = true;
    this.#movedMs.set(`${open.worker.name}/${want.model}`, nowMs);
    this.#reasons.set(want.model, `${want.why}, put on ${open.worker.name}`);
    return true;
  }

  /** Takes away the copy that is worth least, if the want is worth much more. */
  #clear(want: PlacementNeed, benches: readonly WorkerPlan[], parts: Parts, nowMs: number): boolean {
    if (want.urgency <= 0) return false;
    const needMb = partMb(want, parts);
    const victims = fitting(want, benches)
      .filter((bench) => !bench.evicted && bench.worker.roomMb >= needMb)
      .flatMap((bench) =>
        [...bench.holdings.keys()]
          .filter((model) => model !== want.model && this.#rested(bench, model, nowMs))
          .map((model) => ({ bench, model, worth: this.#worth(model, bench, benches, parts.demands) })),
      )
      .sort((one, other) => one.worth - other.worth);
    const victim = victims[0];
    if (victim === undefined) return false;
    if (victim.worth >= want.gain * this.#settings.below) {
      const isTurn = victim.worth < (want.agedGain ?? 0) * this.#settings.below;
      if (!isTurn || this.#turns?.isOpen !== true) return false;
      this.#turns.take();
    }
    const { bench, model } = victim;
    bench.freeMb += heldMb(bench, model, parts.sizes, parts.adapterMb);
    bench.holdings.delete(model);
    bench.changed = true;
    bench.evicted = true;
    this.#reasons.set(model, `left ${bench.worker.name} for ${want.model}`);
    this.#fill(want, [bench], parts, nowMs);
    return true;
  }

  #rested(bench: WorkerPlan, model: string, nowMs: number): boolean {
    return nowMs - (this.#movedMs.get(`${bench.worker.name}/${model}`) ?? -Infinity) > this.#settings.restMs;
  }

  #worth(
    model: string,
    bench: WorkerPlan,
    benches: readonly WorkerPlan[],
    demands: ReadonlyMap<string, SpecModelDemand>,
  ): number {
    const others = benches.filter(
      (other) => other !== bench && other.worker.usable && other.holdings.has(model),
    );
    return this.#pressure(demands.get(model), others);
  }
}

interface PlacementNeed {
  readonly model: string;
  readonly adapter?: string;
  /** Decides who is first. */
  readonly urgency: number;
  /** The pressure that it takes away: what a copy that gives way is held against. */
  readonly gain: number;
  /** The same, grown by how long its model was asked for in vain. */
  readonly agedGain?: number;
  readonly why: string;
  /** Only in a zone that has none yet, so that it outlives the loss of a zone. */
  readonly elsewhere?: boolean;
}

function msPerPull(spec: Spec): number {
  return 60_000 / spec.store.pullsPerMinute;
}

function isInOneZone(benches: readonly WorkerPlan[]): boolean {
  return new Set(benches.map((bench) => bench.worker.zone)).size === 1;
}

/** Workers on which a want could be met: those with the model for an adapter, those without it for a copy. */
function fitting(want: PlacementNeed, benches: readonly WorkerPlan[]): WorkerPlan[] {
  return benches.filter((bench) => {
    const adapters = bench.holdings.get(want.model);
    return (
      bench.worker.usable &&
      (want.adapter === undefined ? adapters === undefined : adapters?.has(want.adapter) === false)
    );
  });
}

function partMb(want: PlacementNeed, parts: Parts): number {
  return (
    (want.adapter === undefined ? parts.sizes.get(want.model) : parts.adapterMb.get(want.adapter)) ?? Infinity
  );
}

function heldMb(
  bench: WorkerPlan,
  model: string,
  sizes: ReadonlyMap<string, number>,
  adapterMb: ReadonlyMap<string, number>,
): number {
  let sumMb = sizes.get(model) ?? 0;
  for (const adapter of bench.holdings.get(model) ?? []) sumMb += adapterMb.get(adapter) ?? 0;
  return sumMb;
}

function openBench(
  worker: SpecPlacerWorker,
  sizes: ReadonlyMap<string, number>,
  adapterMb: ReadonlyMap<string, number>,
): WorkerPlan {
  const holdings = new Map<string, Set<string>>();
  for (const { model, adapters } of worker.holdings) {
    if (sizes.has(model)) holdings.set(model, new Set(adapters.filter((adapter) => adapterMb.has(adapter))));
  }
  const bench: WorkerPlan = { worker, holdings, freeMb: worker.roomMb, changed: false, evicted: false };
  for (const model of holdings.keys()) bench.freeMb -= heldMb(bench, model, sizes, adapterMb);
  bench.changed = holdings.size !== worker.holdings.length || bench.freeMb < 0;
  for (const model of [...holdings.keys()].reverse()) {
    if (bench.freeMb >= 0) break;
    bench.freeMb += heldMb(bench, model, sizes, adapterMb);
    holdings.delete(model);
  }
  return bench;
}

function toHoldings(bench: WorkerPlan): HoldingTarget[] {
  return [...bench.holdings].map(([model, adapters]) => ({ model, adapters: [...adapters].sort() }));
}
