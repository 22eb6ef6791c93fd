import type { RoutedRequest } from './request.js';

/** What a model or an adapter of it is asked for at this edge. */
export interface EdgeDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  readonly waiting: number;
  readonly inFlight: number;
  readonly perS: number;
  /** Mean wait for a worker's first word, in parts of the target; 0 if none is known. */
  readonly waitToTargetRatio: number;
  /** Mean target latency of its requests: they can wait so long without loss. 0 if unknown. */
  readonly meanTargetMs: number;
}

const HALF_LIFE_S = 4;
const PRESSURE_PART = 0.15;
const PATIENCE_PART = 0.15;
const SELDOM_PER_S = 0.01;

interface Rate {
  perS: number;
  waitToTargetRatio: number;
  meanTargetMs: number;
  atMs: number;
}

/**
 * Counts what is asked for at this edge, by service, model and adapter.
 * @example
 * const demand = new Demand();
 * demand.arrived(request, nowMs);
 * demand.asked(waiting, nowMs);
 */
export class DemandMeter {
  #rates = new Map<string, Rate>();
  #inFlight = new Map<string, number>();

  recordArrival(request: RoutedRequest, nowMs: number): void {
    if (request.clientRequest.model === '') return;
    const { targetMs } = request.route;
    const rate = this.#rates.get(request.key) ?? {
      perS: 0,
      waitToTargetRatio: 0,
      meanTargetMs: targetMs,
      atMs: nowMs,
    };
    this.#rates.set(request.key, rate);
    decay(rate, nowMs);
    rate.perS += Math.LN2 / HALF_LIFE_S;
    rate.meanTargetMs += (targetMs - rate.meanTargetMs) * PATIENCE_PART;
  }

  attemptStarted(key: string): void {
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
  }

  attemptEnded(key: string): void {
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 1) - 1));
  }

  /** The first word of an answer came so long after the send. */
  recordResponseWait(request: RoutedRequest, waitMs: number): void {
    const rate = this.#rates.get(request.key);
    if (rate === undefined || request.route.targetMs <= 0) return;
    const pressure = waitMs / request.route.targetMs;
    rate.waitToTargetRatio =
      rate.waitToTargetRatio === 0
        ? pressure
        : rate.waitToTargetRatio + (pressure - rate.waitToTargetRatio) * PRESSURE_PART;
  }

  /** What is asked for now. */
  demands(waitingRequests: Iterable<RoutedRequest>, nowMs: number): EdgeDemand[] {
    const waiting = new Map<string, number>();
    for (const request of waitingRequests) waiting.set(request.key, (waiting.get(request.key) ?? 0) + 1);
    const asked: EdgeDemand[] = [];
    for (const [key, rate] of this.#rates) {
      decay(rate, nowMs);
      const now = { waiting: waiting.get(key) ?? 0, inFlight: this.#inFlight.get(key) ?? 0 };
      if (rate.perS < SELDOM_PER_S && now.waiting + now.inFlight === 0) {
        this.#rates.delete(key);
        continue;
      }
      const [service = '', model = '', adapter = ''] = key.split('/');
      const { perS, waitToTargetRatio: pressure, meanTargetMs: patienceMs } = rate;
      asked.push({
        service,
        model,
        adapter,
        ...now,
        perS,
        waitToTargetRatio: pressure,
        meanTargetMs: patienceMs,
      });
    }
    return asked;
  }
}

function decay(rate: Rate, nowMs: number): void {
  rate.perS *= 0.5 ** ((nowMs - rate.atMs) / 1000 / HALF_LIFE_S);
  rate.atMs = nowMs;
}
