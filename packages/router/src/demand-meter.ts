/** Measures the demand at one edge of the platform system, as input for placement. */
import type { RoutedRequest } from './request.js';

/** The demand for a model, or an adapter of it, at this edge. */
export interface EdgeDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  readonly waiting: number;
  readonly inFlight: number;
  /** Arrivals a second, exponentially smoothed. */
  readonly perS: number;
  /** Mean wait for the head of a response, as a ratio of the target latency; 0 if none is known. */
  readonly waitToTargetRatio: number;
  /** Mean target latency of its requests, in milliseconds; 0 if unknown. */
  readonly meanTargetMs: number;
}

/** Half-life of the arrival rate, in seconds. */
const HALF_LIFE_S = 4;
/** Weight of the newest value in the smoothed wait ratio. */
const WAIT_SMOOTHING = 0.15;
/** Weight of the newest value in the mean target latency. */
const TARGET_SMOOTHING = 0.15;
/** Demand below this rate is dropped while nothing waits or runs, in arrivals a second. */
const MIN_PER_S = 0.01;

interface Rate {
  perS: number;
  waitToTargetRatio: number;
  meanTargetMs: number;
  atMs: number;
}

/**
 * Measures the demand at this edge, by service, model and adapter.
 * @example
 * const demand = new DemandMeter();
 * demand.recordArrival(request, nowMs);
 * demand.demands(waiting, nowMs);
 */
export class DemandMeter {
  #rates = new Map<string, Rate>();
  #inFlight = new Map<string, number>();

  recordArrival(request: RoutedRequest, nowMs: number): void {
    if (request.clientRequest.model === '') return;
    const { targetMs } = request.route;
    const rate = this.#rates.get(request.demandKey) ?? {
      perS: 0,
      waitToTargetRatio: 0,
      meanTargetMs: targetMs,
      atMs: nowMs,
    };
    this.#rates.set(request.demandKey, rate);
    decay(rate, nowMs);
    rate.perS += Math.LN2 / HALF_LIFE_S;
    rate.meanTargetMs += (targetMs - rate.meanTargetMs) * TARGET_SMOOTHING;
  }

  attemptStarted(key: string): void {
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
  }

  attemptEnded(key: string): void {
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 1) - 1));
  }

  /** Records the time between the start of an attempt and the head of its response. */
  recordResponseWait(request: RoutedRequest, waitMs: number): void {
    const rate = this.#rates.get(request.demandKey);
    if (rate === undefined || request.route.targetMs <= 0) return;
    const ratio = waitMs / request.route.targetMs;
    rate.waitToTargetRatio =
      rate.waitToTargetRatio === 0
        ? ratio
        : rate.waitToTargetRatio + (ratio - rate.waitToTargetRatio) * WAIT_SMOOTHING;
  }

  /** The current demand; drops keys whose rate has decayed and that have no requests. */
  demands(waitingRequests: Iterable<RoutedRequest>, nowMs: number): EdgeDemand[] {
    const waiting = new Map<string, number>();
    for (const request of waitingRequests)
      waiting.set(request.demandKey, (waiting.get(request.demandKey) ?? 0) + 1);
    const demands: EdgeDemand[] = [];
    for (const [key, rate] of this.#rates) {
      decay(rate, nowMs);
      const now = { waiting: waiting.get(key) ?? 0, inFlight: this.#inFlight.get(key) ?? 0 };
      if (rate.perS < MIN_PER_S && now.waiting + now.inFlight === 0) {
        this.#rates.delete(key);
        continue;
      }
      const [service = '', model = '', adapter = ''] = key.split('/');
      const { perS, waitToTargetRatio, meanTargetMs } = rate;
      demands.push({
        service,
        model,
        adapter,
        ...now,
        perS,
        waitToTargetRatio,
        meanTargetMs,
      });
    }
    return demands;
  }
}

function decay(rate: Rate, nowMs: number): void {
  rate.perS *= 0.5 ** ((nowMs - rate.atMs) / 1000 / HALF_LIFE_S);
  rate.atMs = nowMs;
}
