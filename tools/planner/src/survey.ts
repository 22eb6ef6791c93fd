import type { HoldingTarget, Spec } from '@rainrun/configuration';
import type { RecordedCall } from '@rainrun/workloads';
import {
  SpecPlacer,
  SPEC_PLACER_SETTINGS,
  type SpecModelDemand,
  type SpecPlacerWorker,
} from '@rainrun/placement';

/** The fields of an entry in the platform's worker list that a survey needs. */
export interface ListedWorker {
  readonly name: string;
  readonly zone: string;
  readonly kind: string;
}

/** Capacity and placement of one site state: all zones present, or one zone lost. */
export interface Finding {
  /** Name of the lost zone, or `all` while every zone is present. */
  readonly without: string;
  readonly slots: number;
  readonly roomMb: number;
  /** Requested models and adapters that no worker holds once placement is stable. */
  readonly unplaced: readonly string[];
  /** Requested models and adapters without a copy until a worker in another zone has loaded them. */
  readonly interrupted: readonly string[];
  readonly pulls: number;
  readonly pullS: number;
  /** Whether a majority of the cores remains; undefined if no core zones were given. */
  readonly agrees: boolean | undefined;
}

/** The result of a survey: the catalogue's size and one finding for each site state. */
export interface Survey {
  readonly catalogueMb: number;
  /** Models and adapters that the day requests and the catalogue lacks. */
  readonly unknown: readonly string[];
  readonly findings: readonly Finding[];
}

const MAX_STEPS = 500;
const STEP_MS = 10_000;

type Placement = ReadonlyMap<string, readonly HoldingTarget[]>;

function demandOf(calls: readonly RecordedCall[]): Map<string, SpecModelDemand> {
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

/** Runs the placer until a step changes nothing, for at most `MAX_STEPS` steps. */
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

/** Names of the requested models, and of the requested adapters as `model/adapter`. */
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

/** Counts the models and adapters that a worker holds after a change and did not hold before. */
function countPulls(worker: string, before: Placement, after: Placement): number {
  const usable = new Set([worker]);
  const held = new Set(heldParts(new Map([[worker, before.get(worker) ?? []]]), usable));
  return heldParts(new Map([[worker, after.get(worker) ?? []]]), usable).filter((part) => !held.has(part))
    .length;
}

/** Input that all findings of one survey share. */
interface SurveyContext {
  readonly spec: Spec;
  readonly workers: readonly SpecPlacerWorker[];
  readonly demands: ReadonlyMap<string, SpecModelDemand>;
  /** Requested models and adapters that are in the catalogue. */
  readonly requestedKnownParts: readonly string[];
  readonly coreZones: readonly string[];
  /** The stable placement while all zones are present. */
  readonly fullPlacement: Placement;
}

/** Whether the cores outside the lost zone are a majority; undefined if no core zones were given. */
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

/** Finding with all zones present. Every pull is a first one, so nothing is interrupted. */
function findingForAllZones(context: SurveyContext): Finding {
  const finding = findingOf(context, undefined, new Map(), context.fullPlacement);
  return { ...finding, interrupted: [] };
}

/** Finding after the loss of one zone, whose models and adapters are placed in the other zones. */
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
 * Checks whether all models and adapters that a day requests fit a site, and
 * what the loss of each zone interrupts. Placement is computed by the placer
 * that the nodes run.
 * @example
 * survey(spec, workers, day.calls, ['coast', 'ridge', 'harbour']).findings[0].unplaced; // []
 */
export function survey(
  spec: Spec,
  listed: readonly ListedWorker[],
  calls: readonly RecordedCall[],
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
 * Whether the catalogue has everything requested, everything fits in every site
 * state, and no zone's loss takes the majority of cores.
 * @example
 * isSound(survey(spec, workers, [], [])); // true: nothing is requested
 */
export function isSound({ unknown, findings }: Survey): boolean {
  return (
    unknown.length === 0 &&
    findings.every(({ unplaced, agrees }) => unplaced.length === 0 && agrees !== false)
  );
}
