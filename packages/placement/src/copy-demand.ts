/** How many copies each model of the platform system needs for its load. */
import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';
import { Loop } from './feedback-loop.js';
import { PLACEMENT_POLICY } from './policy.js';

const POLICY = PLACEMENT_POLICY.copies;

/** How many copies a model needs. */
export interface CopyTarget {
  /** Copies that the forecast load needs; a further one is loaded below this. */
  readonly desired: number;
  /** Copies that the model may keep; surplus ones beyond this are retired. */
  readonly retained: number;
  /** Moving average of the running and waiting requests. */
  readonly recent: number;
  /** Forecast of that average for the end of a load that starts now, if the trend continues. */
  readonly expected: number;
  /** Concurrent requests that one copy should carry. */
  readonly perCopy: number;
}

/** Moving averages of the concurrent requests of a model, running and waiting. */
interface Concurrency {
  /** Over `smoothingMs`. */
  recent: number;
  /** Over about a quarter of the load time and over all of it; their difference is the trend. */
  short: number;
  long: number;
  /** A slowly decaying peak. */
  peak: number;
  atMs: number;
}

/**
 * Tracks the concurrent requests of each model and computes how many copies it needs.
 * @example
 * copies.targetOf(engine, 'model-1', demand, nowMs).desired;
 */
export class CopyDemand {
  #concurrency = new Map<string, Concurrency>();
  #controllers = new Map<string, { readonly controller: Loop; atMs: number }>();

  targetOf(engine: Engine, model: string, demand: Demand, nowMs: number): CopyTarget {
    const key = `${engine.service}/${model}`;
    const loadMs = engine.models.get(model)?.loadMs ?? 0;
    const concurrency = this.#smooth(key, demand.inFlight + demand.waiting, loadMs, nowMs);
    const { recent } = concurrency;
    const expected = forecast(loadMs, concurrency);
    concurrency.peak = Math.max(concurrency.peak, expected);
    const setPoint = Math.max(
      1,
      Math.min(POLICY.targetInFlight, engine.slots * POLICY.targetSlotUtilization),
    );
    const perCopy = setPoint / this.#correction(key, demand, nowMs);
    return {
      desired: Math.ceil(expected / perCopy - POLICY.deadBand),
      retained: Math.ceil(concurrency.peak / perCopy),
      recent,
      expected,
      perCopy,
    };
  }

  /** Moving average of the concurrent requests for a model, running and waiting. */
  recent(engine: Engine, model: string): number {
    return this.#concurrency.get(`${engine.service}/${model}`)?.recent ?? 0;
  }

  #smooth(key: string, concurrent: number, loadMs: number, nowMs: number): Concurrency {
    const known = this.#concurrency.get(key) ?? {
      recent: concurrent,
      short: concurrent,
      long: concurrent,
      peak: concurrent,
      atMs: nowMs,
    };
    this.#concurrency.set(key, known);
    const elapsedMs = nowMs - known.atMs;
    const { shortMs, longMs } = averagingWindows(loadMs);
    known.recent += (concurrent - known.recent) * (1 - Math.exp(-elapsedMs / POLICY.smoothingMs));
    known.short += (concurrent - known.short) * (1 - Math.exp(-elapsedMs / shortMs));
    known.long += (concurrent - known.long) * (1 - Math.exp(-elapsedMs / longMs));
    known.peak = Math.max(known.recent, known.peak * Math.exp(-elapsedMs / POLICY.peakDecayMs));
    known.atMs = nowMs;
    return known;
  }

  /**
   * The factor by which a model needs more copies than its set point, controlled by how long its requests
   * wait.
   */
  #correction(key: string, demand: Demand, nowMs: number): number {
    const known = this.#controllers.get(key) ?? { controller: new Loop(POLICY.controller), atMs: nowMs };
    this.#controllers.set(key, known);
    const elapsedMs = nowMs - known.atMs;
    if (elapsedMs >= POLICY.controlIntervalMs) {
      known.atMs = nowMs;
      const waitRatio = demand.perS < POLICY.minControlledPerS ? 0 : demand.weightedWaitRatio / demand.perS;
      if (waitRatio > 0)
        known.controller.move(waitRatio / POLICY.targetWaitRatio, Math.min(1, elapsedMs / 1000));
    }
    return known.controller.output;
  }
}

function averagingWindows(loadMs: number): { shortMs: number; longMs: number } {
  return {
    shortMs: Math.max(POLICY.minShortWindowMs, loadMs * POLICY.shortWindowLoads),
    longMs: Math.max(POLICY.minLongWindowMs, loadMs * POLICY.longWindowLoads),
  };
}

/**
 * The concurrent requests at the end of a load that starts now. A falling trend is ignored until it shows.
 */
function forecast(loadMs: number, { recent, short, long }: Concurrency): number {
  const { shortMs, longMs } = averagingWindows(loadMs);
  const risePerMs = Math.max(0, (short - long) / (longMs - shortMs));
  return Math.max(
    recent,
    Math.min(POLICY.maxGrowth * recent, short + risePerMs * loadMs * POLICY.trendHorizonLoads),
  );
}
