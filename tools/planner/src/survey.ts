import type { HoldingTarget, Spec } from '@rainrun/configuration';
import type { Call } from '@rainrun/workloads';
import {
  SpecPlacer,
  SPEC_PLACER_SETTINGS,
  type SpecModelDemand,
  type SpecPlacerWorker,
} from '@rainrun/placement';

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

const MAX_STEPS = 500;
const STEP_MS = 10_000;

type Placement = ReadonlyMap<string, readonly HoldingTarget[]>;

function demandOf(calls: readonly Call[]): Map<string, SpecModelDemand> {
  const seconds = Math.max(1, (calls.at(-1)?.atMs ?? 0) / 1000);
  const demands = new Map<string, SpecModelDemand>();
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
function placeUntilStable(
  spec: Spec,
  workers: readonly SpecPlacerWorker[],
  demands: ReadonlyMap<string, SpecModelDemand>,
): Placement {
  const placer = new SpecPlacer(SPEC_PLACER_SETTINGS);
  const placement = new Map<string, readonly HoldingTarget[]>(
    workers.map((worker) => [worker.name, worker.holdings]),
  );
  for (let step = 0; step < MAX_STEPS; step += 1) {
    const seen = workers.map((worker) => ({ ...worker, holdings: placement.get(worker.name) ?? [] }));
    const changes = Object.entries(placer.step(spec, seen, demands, step * STEP_MS));
    for (const [name, holdings] of changes) placement.set(name, holdings);
    if (changes.length === 0) break;
  }
  return placement;
}

function heldParts(placement: Placement, usable: ReadonlySet<string>): string[] {
  const parts: string[] = [];
  for (const [worker, holdings] of placement) {
    if (!usable.has(worker)) continue;
    for (const { model, adapters } of holdings)
      parts.push(model, ...adapters.map((adapter) => `${model}/${adapter}`));
  }
  return parts;
}

/** Names of what is asked for: models, and adapters as `model/adapter`. */
function requestedParts(demands: ReadonlyMap<string, SpecModelDemand>): string[] {
  return [...demands].flatMap(([model, { adapters }]) => [
    model,
    ...[...adapters.keys()].map((adapter) => `${model}/${adapter}`),
  ]);
}

function catalogueParts(spec: Spec): Set<string> {
  return new Set([
    ...spec.models.map(({ name }) => name),
    ...spec.adapters.map(({ name, model }) => `${model}/${name}`),
  ]);
}

function emptyWorkers(spec: Spec, listed: readonly ListedWorker[]): SpecPlacerWorker[] {
  return listed
    .filter((worker) => worker.kind === 'model')
    .map(({ name, zone }) => {
      const { roomMb, slots } = spec.workers.named.find((named) => named.name === name) ?? spec.workers;
      return { name, zone, roomMb, slots, usable: true, holdings: [] };
    });
}

/** What a worker holds after a change and did not hold before. */
function countPulls(worker: string, before: Placement, after: Placement): number {
  const usable = new Set([worker]);
  const held = new Set(heldParts(new Map([[worker, before.get(worker) ?? []]]), usable));
  return heldParts(new Map([[worker, after.get(worker) ?? []]]), usable).filter((part) => !held.has(part))
    .length;
}

/** What holds for every finding of one survey. */
interface SurveyContext {
  readonly spec: Spec;
  readonly workers: readonly SpecPlacerWorker[];
  readonly demands: ReadonlyMap<string, SpecModelDemand>;
  /** Known parts that are asked for. */
  readonly requestedKnownParts: readonly string[];
  readonly coreZones: readonly string[];
  /** Where everything stands while all zones are there. */
  readonly fullPlacement: Placement;
}

/** Whether the cores that are left are a majority; undefined if none are known. */
function isMajorityLeft(coreZones: readonly string[], without: string | undefined): boolean | undefined {
  if (coreZones.length === 0) return undefined;
  return coreZones.filter((zone) => zone !== without).length > coreZones.length / 2;
}

function findingOf(
  context: SurveyContext,
  without: string | undefined,
  before: Placement,
  after: Placement,
): Finding {
  const { spec, workers, requestedKnownParts, coreZones, fullPlacement } = context;
  const remainingWorkers = workers.filter((worker) => worker.zone !== without);
  const usable = new Set(remainingWorkers.map((worker) => worker.name));
  const stillHeld = new Set(heldParts(fullPlacement, usable));
  const held = new Set(heldParts(after, usable));
  const pulls = remainingWorkers.reduce((sum, worker) => sum + countPulls(worker.name, before, after), 0);
  return {
    without: without ?? 'all',
    slots: remainingWorkers.reduce((sum, worker) => sum + worker.slots, 0),
    roomMb: remainingWorkers.reduce((sum, worker) => sum + worker.roomMb, 0),
    unplaced: requestedKnownParts.filter((part) => !held.has(part)),
    interrupted: requestedKnownParts.filter((part) => !stillHeld.has(part)),
    pulls,
    pullS: Math.ceil((pulls * 60) / spec.store.pullsPerMinute),
    agrees: isMajorityLeft(coreZones, without),
  };
}

/** All zones are there, and everything is pulled for the first time; so nothing is interrupted. */
function findingForAllZones(context: SurveyContext): Finding {
  const finding = findingOf(context, undefined, new Map(), context.fullPlacement);
  return { ...finding, interrupted: [] };
}

/** One zone is lost, and what it held is placed elsewhere. */
function findingWithoutZone(context: SurveyContext, zone: string): Finding {
  const { spec, workers, demands, fullPlacement } = context;
  const workersAfterLoss = workers.map((worker) => ({
    ...worker,
    usable: worker.zone !== zone,
    holdings: fullPlacement.get(worker.name) ?? [],
  }));
  return findingOf(context, zone, fullPlacement, placeUntilStable(spec, workersAfterLoss, demands));
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
  const requested = requestedParts(demands);
  const catalogue = catalogueParts(spec);
  const workers = emptyWorkers(spec, listed);
  const context: SurveyContext = {
    spec,
    workers,
    demands,
    requestedKnownParts: requested.filter((part) => catalogue.has(part)),
    coreZones,
    fullPlacement: placeUntilStable(spec, workers, demands),
  };
  return {
    catalogueMb: [...spec.models, ...spec.adapters].reduce((sum, { sizeMb }) => sum + sizeMb, 0),
    unknown: requested.filter((part) => !catalogue.has(part)),
    findings: [findingForAllZones(context), ...spec.zones.map((zone) => findingWithoutZone(context, zone))],
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
