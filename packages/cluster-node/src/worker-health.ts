/**
 * Outlier detection: which workers fail more than their peers do, by the outcomes that all edges report. A worker that
 * fails looks idle to each edge by itself, and draws requests; here it is ejected, for the callers that it fails, and
 * comes back in steps. Platform family.
 */
import { backoffMs, type BackoffPolicy } from '@rainrun/common';
import type { WorkerRecord, WorkerTable } from '@rainrun/placement';

/** How requests of one edge to one worker ended. */
export interface WorkerOutcomeCounts {
  readonly worker: string;
  readonly answered: number;
  readonly failed: number;
}

/** Recent outcomes at one worker for the edges of one zone, decayed. */
interface Tally {
  answered: number;
  failed: number;
  atMs: number;
}

/** A worker that gets none or few of the requests of one zone. */
interface Ejection {
  /** From then on a few edges try it again. */
  readonly untilMs: number;
  /** How often it was ejected in a row. */
  readonly priorEjections: number;
}

/** Outcomes count half after so long. */
const HALF_LIFE_MS = 2000;
const EVALUATION_INTERVAL_MS = 250;
/** Fewer failures than this say nothing; of a worker that is tried again, fewer than the second number. */
const FAILURES_MIN = 4;
const FAILURES_MIN_ON_RETURN = 2;
/** A worker is ejected when its failures are so many standard deviations above what its peers' would make of them. */
const OUTLIER_DEVIATIONS = 4;
/** Peers are taken to have had so many requests more, one of them failed: few say nothing for certain. */
const PRIOR_REQUESTS = 20;
/** At most this fraction of the workers of a service is ejected for the edges of one zone. */
const EJECTED_FRACTION_MAX = 0.34;
/** How long a worker stays ejected, by how often it was ejected in a row before. */
const EJECTION_BACKOFF: BackoffPolicy = { firstMs: 2000, maxMs: 16_000 };
/** Percentages of the edges that try a worker again, one step after the other; then all do. */
const RETURN_STEPS = [10, 40] as const;
const RETURN_STEP_MS = 700;
/** A worker that has been back for so long starts anew. */
const EJECTION_RESET_MS = 10_000;
const ALL_EDGES_PERCENT = 100;

/**
 * Evaluates workers by the outcomes that edges report.
 * @example
 * health.record('north', [{ worker: 'w1', answered: 1, failed: 4 }], nowMs);
 * health.evaluate(table, nowMs); // limits who may send to it, in its row of the table
 */
export class WorkerHealth {
  /** By worker, and by zone of the callers. */
  #tallies = new Map<string, Map<string, Tally>>();
  #ejections = new Map<string, Map<string, Ejection>>();
  #evaluatedMs = -Infinity;

  /** Records the outcomes at one edge since its last report. */
  record(zone: string, outcomes: readonly WorkerOutcomeCounts[], nowMs: number): void {
    for (const { worker, answered, failed } of outcomes) {
      const tally = decayed(zoneMapOf(this.#tallies, worker).get(zone), nowMs);
      tally.answered += answered;
      tally.failed += failed;
      zoneMapOf(this.#tallies, worker).set(zone, tally);
    }
  }

  /** Ejects workers that fail more than their peers, and lets ejected ones come back. */
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

  /** Whether a worker fails clearly more of its requests than its peers together. */
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

  /** How many in a hundred edges of a zone may send to a worker now. */
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
