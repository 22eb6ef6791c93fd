/** Counters of one group and kind of work since the last observation. */
export interface Measure {
  readonly group: string;
  readonly kind: string;
  served: number;
  refused: number;
  /** Requests whose first chunk came within the kind's target. */
  withinTarget: number;
  waitSumMs: number;
}

/** Demand for one model, or for one of its adapters, since the last observation. */
export interface Demand {
  readonly model: string;
  readonly adapter: string;
  readonly arrivals: number;
  /** Requests that wait for a worker at the time of the observation. */
  readonly backlog: number;
}

/** What one edge measured since its last observation. */
export interface Measurements {
  readonly measures: readonly Measure[];
  readonly demands: readonly Demand[];
  /** Failed sends by worker. */
  readonly faults: ReadonlyMap<string, number>;
}

/**
 * Counts arrivals, responses, refusals and failed sends at the gateway. Twice a second the counters are taken
 * as an observation and start again from zero.
 * @example
 * measures.recordRefused('technicians', 'question');
 * measures.take(new Map()).measures[0].refused; // 1
 */
export class Measures {
  #measures = new Map<string, Measure>();
  #arrivals = new Map<string, { model: string; adapter: string; arrivals: number }>();
  #faults = new Map<string, number>();

  recordArrival(model: string, adapter: string): void {
    const key = demandKey(model, adapter);
    const known = this.#arrivals.get(key) ?? { model, adapter, arrivals: 0 };
    known.arrivals += 1;
    this.#arrivals.set(key, known);
  }

  recordRefused(group: string, kind: string): void {
    this.#measureFor(group, kind).refused += 1;
  }

  recordServed(group: string, kind: string, waitMs: number, targetMs: number): void {
    const measure = this.#measureFor(group, kind);
    measure.served += 1;
    measure.waitSumMs += waitMs;
    if (waitMs <= targetMs) measure.withinTarget += 1;
  }

  recordFailedSend(worker: string): void {
    this.#faults.set(worker, (this.#faults.get(worker) ?? 0) + 1);
  }

  /** Returns and resets the counters; `backlogs` has the number of waiting requests by demand key. */
  take(backlogs: ReadonlyMap<string, number>): Measurements {
    const measures = [...this.#measures.values()];
    const demands = [...this.#arrivals].map(([key, arrival]) => ({
      ...arrival,
      backlog: backlogs.get(key) ?? 0,
    }));
    const faults = this.#faults;
    this.#measures = new Map();
    this.#arrivals = new Map(
      [...this.#arrivals]
        .filter(([key]) => backlogs.has(key))
        .map(([key, arrival]) => [key, { ...arrival, arrivals: 0 }]),
    );
    this.#faults = new Map();
    return { measures, demands, faults };
  }

  #measureFor(group: string, kind: string): Measure {
    const key = `${group}/${kind}`;
    let measure = this.#measures.get(key);
    if (measure === undefined) {
      measure = { group, kind, served: 0, refused: 0, withinTarget: 0, waitSumMs: 0 };
      this.#measures.set(key, measure);
    }
    return measure;
  }
}

/**
 * Key under which demand for a model and an adapter is counted.
 * @example
 * demandKey('model-1', ''); // 'model-1/'
 */
export function demandKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
