/**
 * The total demand of all edges of the platform system, by service and model. It is updated incrementally
 * with each edge's report, so that a plan need not sum up the reports.
 */

/** The demand of one edge for a model, or for an adapter of it. */
export interface EdgeDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests that wait for a worker, and requests that run. */
  readonly waiting: number;
  readonly inFlight: number;
  /** Requests a second. */
  readonly perS: number;
  /** Mean wait for the head of a response, as a ratio of the target latency; 0 if unknown. */
  readonly waitToTargetRatio: number;
  /** Mean target latency of its requests, in milliseconds; 0 if unknown. */
  readonly meanTargetMs: number;
}

/** Requests for an adapter. */
export interface AdapterDemand {
  waiting: number;
  inFlight: number;
  perS: number;
}

/** Requests for a model, adapters included. */
export interface Demand extends AdapterDemand {
  /** Sum of the waits relative to the target, weighted by arrivals a second. */
  weightedWaitRatio: number;
  /** Sum of the target latencies, weighted by arrivals a second. */
  weightedTargetMs: number;
  readonly adapters: Map<string, AdapterDemand>;
  /**
   * Number of reports in the sums. The entry is dropped with the last one, so that no rounding errors
   * accumulate.
   */
  reportCount: number;
}

interface EdgeDemandReport {
  atMs: number;
  /** By service, model and adapter. */
  readonly demands: Map<string, EdgeDemand>;
}

const NO_DEMAND: ReadonlyMap<string, Demand> = new Map();

/**
 * Totals of the demand that edges report.
 * @example
 * const totals = new DemandTotals();
 * totals.set('edge-1', edgeDemands, nowMs);
 * totals.of('assist').get('model-1')?.waiting;
 */
export class DemandTotals {
  #reports = new Map<string, EdgeDemandReport>();
  #byService = new Map<string, Map<string, Demand>>();
  #waiting = 0;

  /** Requests that wait for a worker at any edge. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Replaces all demand that an edge reported before. */
  set(edge: string, edgeDemands: readonly EdgeDemand[], nowMs: number): void {
    this.#remove(edge);
    this.update(edge, edgeDemands, nowMs);
  }

  /** Takes the demand that has changed at an edge; the rest of its report stays. */
  update(edge: string, edgeDemands: readonly EdgeDemand[], nowMs: number): void {
    const report: EdgeDemandReport = this.#reports.get(edge) ?? {
      atMs: nowMs,
      demands: new Map<string, EdgeDemand>(),
    };
    this.#reports.set(edge, report);
    report.atMs = nowMs;
    for (const edgeDemand of edgeDemands) {
      const key = `${edgeDemand.service}/${edgeDemand.model}/${edgeDemand.adapter}`;
      const previous = report.demands.get(key);
      if (previous !== undefined) this.#subtract(previous);
      report.demands.set(key, edgeDemand);
      this.#add(edgeDemand);
    }
  }

  /** Drops the demand of edges whose last report is older than a time. */
  expire(beforeMs: number): void {
    for (const [edge, { atMs }] of this.#reports) if (atMs < beforeMs) this.#remove(edge);
  }

  /** The demand for a service, by model. */
  of(service: string): ReadonlyMap<string, Demand> {
    return this.#byService.get(service) ?? NO_DEMAND;
  }

  #remove(edge: string): void {
    const report = this.#reports.get(edge);
    if (report === undefined) return;
    this.#reports.delete(edge);
    for (const edgeDemand of report.demands.values()) this.#subtract(edgeDemand);
  }

  #add(edgeDemand: EdgeDemand): void {
    this.#waiting += edgeDemand.waiting;
    let models = this.#byService.get(edgeDemand.service);
    if (models === undefined) {
      models = new Map();
      this.#byService.set(edgeDemand.service, models);
    }
    let demand = models.get(edgeDemand.model);
    if (demand === undefined) {
      demand = {
        waiting: 0,
        inFlight: 0,
        perS: 0,
        weightedWaitRatio: 0,
        weightedTargetMs: 0,
        adapters: new Map(),
        reportCount: 0,
      };
      models.set(edgeDemand.model, demand);
    }
    demand.reportCount += 1;
    demand.weightedWaitRatio += edgeDemand.waitToTargetRatio * edgeDemand.perS;
    demand.weightedTargetMs += edgeDemand.meanTargetMs * edgeDemand.perS;
    accumulate(demand, edgeDemand, 1);
    if (edgeDemand.adapter === '') return;
    let adapter = demand.adapters.get(edgeDemand.adapter);
    if (adapter === undefined) {
      adapter = { waiting: 0, inFlight: 0, perS: 0 };
      demand.adapters.set(edgeDemand.adapter, adapter);
    }
    accumulate(adapter, edgeDemand, 1);
  }

  #subtract(edgeDemand: EdgeDemand): void {
    this.#waiting -= edgeDemand.waiting;
    const models = this.#byService.get(edgeDemand.service);
    const demand = models?.get(edgeDemand.model);
    if (demand === undefined) return;
    demand.reportCount -= 1;
    if (demand.reportCount === 0) {
      models?.delete(edgeDemand.model);
      return;
    }
    demand.weightedWaitRatio -= edgeDemand.waitToTargetRatio * edgeDemand.perS;
    demand.weightedTargetMs -= edgeDemand.meanTargetMs * edgeDemand.perS;
    accumulate(demand, edgeDemand, -1);
    const adapter = demand.adapters.get(edgeDemand.adapter);
    if (adapter !== undefined) accumulate(adapter, edgeDemand, -1);
  }
}

function accumulate(demand: AdapterDemand, edgeDemand: EdgeDemand, sign: 1 | -1): void {
  demand.waiting += sign * edgeDemand.waiting;
  demand.inFlight += sign * edgeDemand.inFlight;
  demand.perS += sign * edgeDemand.perS;
}
