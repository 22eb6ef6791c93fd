/**
 * Outlier detection: finds workers that fail more often than their peers, by the outcomes that all edges
 * report. To a single edge, a worker that fails fast looks idle and so attracts requests. An outlier is
 * ejected for the zones whose requests it fails, and returns in steps. Platform family.
 */
import { backoffMs, type BackoffPolicy } from '@rainrun/common';
import type { WorkerRecord, WorkerTable } from '@rainrun/placement';

/** Outcomes of the requests of one edge to one worker. */
export interface WorkerOutcomeCounts {
  readonly worker: string;
  readonly answered: number;
  readonly failed: number;
}

/** Outcomes at one worker for the edges of one zone, with exponential decay. */
interface Tally {
  answered: number;
  failed: number;
  atMs: number;
}

/** The ejection of a worker for the edges of one zone; lifted in steps after it ends. */
interface Ejection {
  /** When the ejection ends and the first edges may send to the worker again. */
  readonly untilMs: number;
  /** Number of ejections in a row before this one. */
  readonly priorEjections: number;
}

/** The weight of an outcome halves in this time. */
const HALF_LIFE_MS = 2000;
const EVALUATION_INTERVAL_MS = 250;
/** A worker with fewer failures than this is not ejected, as they are too little evidence. */
const FAILURES_MIN = 4;
/** The same for a worker that is returning from an ejection. */
const FAILURES_MIN_ON_RETURN = 2;
/**
 * A worker is ejected if its failures exceed those expected at its peers' failure ratio by this many standard
 * deviations.
 */
const OUTLIER_DEVIATIONS = 4;
/**
 * Prior for the failure ratio of the peers: they count as having had this many more requests, of which one
 * failed. A ratio taken from few requests alone would be unreliable.
 */
const PRIOR_REQUESTS = 20;
/** Largest fraction of the workers of a service that may be ejected at once for the edges of one zone. */
const EJECTED_FRACTION_MAX = 0.34;
/** How long a worker stays ejected, by the number of ejections in a row before. */
const EJECTION_BACKOFF: BackoffPolicy = { firstMs: 2000, maxMs: 16_000 };
/**
 * Percentages of the edges that may send to a returning worker, step by step; after the last step all may.
 */
const RETURN_STEPS = [10, 40] as const;
const RETURN_STEP_MS = 700;
/**
 * The ejection backoff starts again from its first step for a worker whose last ejection ended this long ago.
 */
const EJECTION_RESET_MS = 10_000;
const ALL_EDGES_PERCENT = 100;

/**
 * Evaluates the health of workers by the outcomes that edges report.
 * @example
 * health.record('north', [{ worker: 'w1', answered: 1, failed: 4 }], nowMs);
 * health.evaluate(table, nowMs); // sets the limits in the rows of ejected workers
 */
export class WorkerHealth {
  /** Tallies by worker, then by zone of the edges that send to it. */
  #tallies = new Map<string, Map<string, Tally>>();
  #ejections = new Map<string, Map<string, Ejection>>();
  #evaluatedMs = -Infinity;

  /** Records the outcomes that an edge of `zone` has seen since its last report. */
  record(zone: string, outcomes: readonly WorkerOutcomeCounts[], nowMs: number): void {
    for (const { worker, answered, failed } of outcomes) {
      const tally = decayed(zoneMapOf(this.#tallies, worker).get(zone), nowMs);
      tally.answered += answered;
      tally.failed += failed;
      zoneMapOf(this.#tallies, worker).set(zone, tally);
    }
  }

  /**
   * Ejects workers that fail more often than their peers, and updates the limits of ejected and returning
   * workers.
   */
  evaluate(table: WorkerTable, nowMs: number): void {
    if (nowMs - this.#evaluatedMs < EVALUATION_INTERVAL_MS) return;
    this.#evaluatedMs = nowMs;
    this.#removeUnlisted(table);
    const rowsByService = new Map<string, WorkerRecord[]>();
    for (const row of table.rows)
      if (!row.removed) rowsByService.set(row.service, [...(rowsByService.get(row.service) ?? []), row]);
    for (const rows of rowsByService.values()) this.#evaluateService(rows, nowMs);
    for (const row of table.rows) this.#applyLimits(table, row, nowMs);
  }

  #evaluateService(rows: readonly WorkerRecord[], nowMs: number): void {
    const zones = new Set(rows.flatMap((row) => [...(this.#tallies.get(row.id)?.keys() ?? [])]));
    for (const zone of zones) {
      const tallies = rows.map((row) => ({
        row,
        tally: decayed(this.#tallies.get(row.id)?.get(zone), nowMs),
      }));
      const requests = tallies.reduce((sum, { tally }) => sum + tally.answered + tally.failed, 0);
      const failed = tallies.reduce((sum, { tally }) => sum + tally.failed, 0);
      let remainingEjections =
        Math.floor(EJECTED_FRACTION_MAX * rows.length) - this.#limitedCount(rows, zone, nowMs);
      const worstFirst = tallies.sort((one, other) => other.tally.failed - one.tally.failed);
      for (const { row, tally } of worstFirst) {
        if (!this.#isOutlier(row, zone, tally, requests, failed, nowMs)) continue;
        const isNew = this.#allowedPercent(row.id, zone, nowMs) === ALL_EDGES_PERCENT;
        if (isNew && remainingEjections <= 0) continue;
        if (isNew) remainingEjections -= 1;
        this.#eject(row, zone, nowMs);
      }
    }
  }

  /** Whether a worker fails a significantly larger part of its requests than its peers together. */
  #isOutlier(
    row: WorkerRecord,
    zone: string,
    { answered, failed }: Tally,
    requestsOfAll: number,
    failedOfAll: number,
    nowMs: number,
  ): boolean {
    const percent = this.#allowedPercent(row.id, zone, nowMs);
    if (percent === 0) return false;
    if (failed < (percent < ALL_EDGES_PERCENT ? FAILURES_MIN_ON_RETURN : FAILURES_MIN) - 0.5) return false;
    const requests = answered + failed;
    const peerFailureRatio = (failedOfAll - failed + 1) / (requestsOfAll - requests + PRIOR_REQUESTS);
    const expected = requests * peerFailureRatio;
    return failed - expected > OUTLIER_DEVIATIONS * Math.sqrt(expected * Math.max(0, 1 - peerFailureRatio));
  }

  #eject(row: WorkerRecord, zone: string, nowMs: number): void {
    const known = this.#ejections.get(row.id)?.get(zone);
    const isBackoffReset = known === undefined || nowMs - known.untilMs > EJECTION_RESET_MS;
    const priorEjections = isBackoffReset ? 0 : known.priorEjections + 1;
    const untilMs = nowMs + backoffMs(EJECTION_BACKOFF, priorEjections);
    zoneMapOf(this.#ejections, row.id).set(zone, { untilMs, priorEjections });
    this.#tallies.get(row.id)?.delete(zone);
  }

  #limitedCount(rows: readonly WorkerRecord[], zone: string, nowMs: number): number {
    return rows.filter((row) => this.#allowedPercent(row.id, zone, nowMs) < ALL_EDGES_PERCENT).length;
  }

  /** The percentage of the edges of a zone that may currently send to a worker. */
  #allowedPercent(worker: string, zone: string, nowMs: number): number {
    const ejection = this.#ejections.get(worker)?.get(zone);
    if (ejection === undefined) return ALL_EDGES_PERCENT;
    if (nowMs < ejection.untilMs) return 0;
    return RETURN_STEPS[Math.floor((nowMs - ejection.untilMs) / RETURN_STEP_MS)] ?? ALL_EDGES_PERCENT;
  }

  #applyLimits(table: WorkerTable, row: WorkerRecord, nowMs: number): void {
    const limits = new Map<string, number>();
    for (const zone of this.#ejections.get(row.id)?.keys() ?? []) {
      const percent = this.#allowedPercent(row.id, zone, nowMs);
      if (percent < ALL_EDGES_PERCENT) limits.set(zone, percent);
    }
    const isSame =
      limits.size === row.limits.size &&
      [...limits].every(([zone, percent]) => row.limits.get(zone) === percent);
    if (isSame) return;
    row.limits = limits;
    table.touch(row);
  }

  #removeUnlisted(table: WorkerTable): void {
    for (const known of [this.#tallies, this.#ejections])
      for (const worker of known.keys()) if (table.row(worker) === undefined) known.delete(worker);
  }
}

function zoneMapOf<T>(byWorker: Map<string, Map<string, T>>, worker: string): Map<string, T> {
  const known = byWorker.get(worker) ?? new Map<string, T>();
  byWorker.set(worker, known);
  return known;
}

function decayed(tally: Tally | undefined, nowMs: number): Tally {
  if (tally === undefined) return { answered: 0, failed: 0, atMs: nowMs };
  const decay = 0.5 ** ((nowMs - tally.atMs) / HALF_LIFE_MS);
  return { answered: tally.answered * decay, failed: tally.failed * decay, atMs: nowMs };
}
