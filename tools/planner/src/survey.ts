import type { HoldingTarget, Spec } from '@rainrun/configuration';
import type { Call } from '@rainrun/workloads';
import { Placer, PLACE_SETTINGS, type ModelDemand, type PlaceWorker } from '@rainrun/placement';

/** A worker of the platform's list, as far as a survey needs it. */
export interface ListedWorker {
  readonly name: string;
  readonly zone: string;
  readonly kind: string;
}

/** What a survey found about one state of the site. */
export interface Finding {
  /** `all`, or the zone that is gone. */
  readonly without: string;
  readonly slots: number;
  readonly roomMb: number;
  /** Asked for, and held nowhere once placement has come to rest. */
  readonly unplaced: readonly string[];
  /** Asked for, and without a copy until they are loaded elsewhere. */
  readonly interrupted: readonly string[];
  readonly pulls: number;
  readonly pullS: number;
  /** Whether most cores are still there; undefined when no cores were named. */
  readonly agrees: boolean | undefined;
}

/** A whole survey. */
export interface Survey {
  readonly catalogueMb: number;
  /** Asked for in the day, and not in the catalogue. */
  readonly unknown: readonly string[];
  readonly findings: readonly Finding[];
}

const STEPS_MOST = 500;
const STEP_MS = 10_000;

type Placement = ReadonlyMap<string, readonly HoldingTarget[]>;

function demandOf(calls: readonly Call[]): Map<string, ModelDemand> {
  const seconds = Math.max(1, (calls.at(-1)?.atMs ?? 0) / 1000);
  const demands = new Map<string, ModelDemand>();
  for (const { model, adapter } of calls) {
    if (model === '') continue;
    const demand = demands.get(model) ?? { arrivalsPerS: 0, backlog: 0, adapters: new Map<string, number>() };
    demand.arrivalsPerS += 1 / seconds;
    if (adapter !== '') demand.adapters.set(adapter, (demand.adapters.get(adapter) ?? 0) + 1 / seconds);
    demands.set(model, demand);
  }
  return demands;
}

/** Steps of the placer itself until it rests. */
function settle(
  spec: Spec,
  workers: readonly PlaceWorker[],
  demands: ReadonlyMap<string, ModelDemand>,
): Placement {
  const placer = new Placer(PLACE_SETTINGS);
  const placement = new Map<string, readonly HoldingTarget[]>(
    workers.map((worker) => [worker.name, worker.holdings]),
  );
  for (let step = 0; step < STEPS_MOST; step += 1) {
    const seen = workers.map((worker) => ({ ...worker, holdings: placement.get(worker.name) ?? [] }));
    const changes = Object.entries(placer.step(spec, seen, demands, step * STEP_MS));
    for (const [name, holdings] of changes) placement.set(name, holdings);
    if (changes.length === 0) break;
  }
  return placement;
}

function partsOf(placement: Placement, usable: ReadonlySet<string>): string[] {
  const parts: string[] = [];
  for (const [worker, holdings] of placement) {
    if (!usable.has(worker)) continue;
    for (const { model, adapters } of holdings)
      parts.push(model, ...adapters.map((adapter) => `${model}/${adapter}`));
  }
  return parts;
}

/**
 * Whether all that a day asks for fits a site, and what is lost with each
 * zone. Placement is decided by the placer that the nodes run.
 * @example
 * survey(spec, workers, day.calls, ['coast', 'ridge', 'harbour']).findings[0].unplaced; // []
 */
export function survey(
  spec: Spec,
  listed: readonly ListedWorker[],
  calls: readonly Call[],
  coreZones: readonly string[],
): Survey {
  const demands = demandOf(calls);
  const asked = [...demands].flatMap(([model, { adapters }]) => [
    model,
    ...[...adapters.keys()].map((adapter) => `${model}/${adapter}`),
  ]);
  const catalogue = new Set([
    ...spec.models.map(({ name }) => name),
    ...spec.adapters.map(({ name, model }) => `${model}/${name}`),
  ]);
  const unknown = asked.filter((part) => !catalogue.has(part));
  const wanted = asked.filter((part) => catalogue.has(part));
  const workers = listed
    .filter((worker) => worker.kind === 'model')
    .map(({ name, zone }): PlaceWorker => {
      const { roomMb, slots } = spec.workers.named.find((named) => named.name === name) ?? spec.workers;
      return { name, zone, roomMb, slots, usable: true, holdings: [] };
    });
  const whole = settle(spec, workers, demands);
  function find(without: string): Finding {
    const staying = workers.filter((worker) => worker.zone !== without);
    const usable = new Set(staying.map((worker) => worker.name));
    const left = new Set(partsOf(whole, usable));
    const began =
      without === ''
        ? workers
        : workers.map((worker) => ({
            ...worker,
            usable: usable.has(worker.name),
            holdings: whole.get(worker.name) ?? [],
          }));
    const settled = without === '' ? whole : settle(spec, began, demands);
    const held = new Set(partsOf(settled, usable));
    let pulls = 0;
    for (const worker of staying) {
      const before = new Set(
        without === '' ? [] : partsOf(new Map([[worker.name, whole.get(worker.name) ?? []]]), usable),
      );
      pulls += partsOf(new Map([[worker.name, settled.get(worker.name) ?? []]]), usable).filter(
        (part) => !before.has(part),
      ).length;
    }
    const cores = coreZones.filter((zone) => zone !== without).length;
    return {
      without: without === '' ? 'all' : without,
      slots: staying.reduce((sum, worker) => sum + worker.slots, 0),
      roomMb: staying.reduce((sum, worker) => sum + worker.roomMb, 0),
      unplaced: wanted.filter((part) => !held.has(part)),
      interrupted: without === '' ? [] : wanted.filter((part) => !left.has(part)),
      pulls,
      pullS: Math.ceil((pulls * 60) / spec.store.pullsPerMinute),
      agrees: coreZones.length === 0 ? undefined : cores > coreZones.length / 2,
    };
  }
  return {
    catalogueMb: [...spec.models, ...spec.adapters].reduce((sum, { sizeMb }) => sum + sizeMb, 0),
    unknown,
    findings: ['', ...spec.zones].map(find),
  };
}

/**
 * Whether a survey found nothing missing.
 * @example
 * isSound(survey(spec, workers, [], [])); // true: nothing is asked for
 */
export function isSound({ unknown, findings }: Survey): boolean {
  return (
    unknown.length === 0 &&
    findings.every(({ unplaced, agrees }) => unplaced.length === 0 && agrees !== false)
  );
}
