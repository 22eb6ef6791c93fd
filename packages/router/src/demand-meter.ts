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
  pressure: number;
  patienceMs: number;
  atMs: number;
}

/**
 * Counts what is asked for at this edge, by service, model and adapter.
 * @example
 * const demand = new Demand();
 * demand.arrived(passage, nowMs);
 * demand.asked(waiting, nowMs);
 */
export class DemandMeter {
  #rates = new Map<string, Rate>();
  #inFlight = new Map<string, number>();

  arrived(passage: RoutedRequest, nowMs: number): void {
    if (passage.request.model === '') return;
    const { targetMs } = passage.route;
    const rate = this.#rates.get(passage.key) ?? { perS: 0, pressure: 0, patienceMs: targetMs, atMs: nowMs };
    this.#rates.set(passage.key, rate);
    fade(rate, nowMs);
    rate.perS += Math.LN2 / HALF_LIFE_S;
    rate.patienceMs += (targetMs - rate.patienceMs) * PATIENCE_PART;
  }

  sent(key: string): void {
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
  }

  ended(key: string): void {
    this.#inFlight.set(key, Math.max(0, (this.#inFlight.get(key) ?? 1) - 1));
  }

  /** The first word of an answer came so long after the send. */
  answered(passage: RoutedRequest, waitMs: number): void {
    const rate = this.#rates.get(passage.key);
    if (rate === undefined || passage.route.targetMs <= 0) return;
    const pressure = waitMs / passage.route.targetMs;
    rate.pressure =
      rate.pressure === 0 ? pressure : rate.pressure + (pressure - rate.pressure) * PRESSURE_PART;
  }

  /** What is asked for now. */
  asked(waitingPassages: Iterable<RoutedRequest>, nowMs: number): EdgeDemand[] {
    const waiting = new Map<string, number>();
    for (const passage of waitingPassages) waiting.set(passage.key, (waiting.get(passage.key) ?? 0) + 1);
    const asked: EdgeDemand[] = [];
    for (const [key, rate] of this.#rates) {
      fade(rate, nowMs);
      const now = { waiting: waiting.get(key) ?? 0, inFlight: this.#inFlight.get(key) ?? 0 };
      if (rate.perS < SELDOM_PER_S && now.waiting + now.inFlight === 0) {
        this.#rates.delete(key);
        continue;
      }
      const [service = '', model = '', adapter = ''] = key.split('/');
      const { perS, pressure, patienceMs } = rate;
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

function fade(rate: Rate, nowMs: number): void {
  rate.perS *= 0.5 ** ((nowMs - rate.atMs) / 1000 / HALF_LIFE_S);
  rate.atMs = nowMs;
}
