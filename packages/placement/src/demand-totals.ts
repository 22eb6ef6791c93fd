/**
 * What all edges together ask for, by service and model, kept up to date edge by edge: a plan reads the totals
 * instead of adding up what every edge said.
 */

/** What one edge asks for of a model or of an adapter of it. */
export interface EdgeDemand {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests that wait for a worker, and those that run. */
  readonly waiting: number;
  readonly inFlight: number;
  /** Requests a second. */
  readonly perS: number;
  /** Mean wait for a worker's first word, in parts of the target; 0 if none is known. */
  readonly waitToTargetRatio: number;
  /** Mean target latency of its requests: they can wait so long without loss. 0 if unknown. */
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
  /** Sum of the pressures, each as often as it is asked for. */
  pressed: number;
  /** Sum of the patiences, each as often as it is asked for. */
  patient: number;
  readonly adapters: Map<string, AdapterDemand>;
  /** How many reports stand in it: with the last one it is gone, and with it all errors of rounding. */
  reports: number;
}

interface Report {
  atMs: number;
  /** By service, model and adapter. */
  readonly wants: Map<string, EdgeDemand>;
}

const NOTHING: ReadonlyMap<string, Demand> = new Map();

/**
 * Totals of what edges ask for.
 * @example
 * const totals = new DemandTotals();
 * totals.set('edge-1', wants, nowMs);
 * totals.of('assist').get('model-1')?.waiting;
 */
export class DemandTotals {
  #reports = new Map<string, Report>();
  #byService = new Map<string, Map<string, Demand>>();
  #waiting = 0;

  /** Requests that wait for a worker, at all edges. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Takes all that an edge asks for now; it replaces what it asked for before. */
  set(edge: string, wants: readonly EdgeDemand[], nowMs: number): void {
    this.#remove(edge);
    this.update(edge, wants, nowMs);
  }

  /** Takes what has changed at an edge; what else it asked for stays. */
  update(edge: string, wants: readonly EdgeDemand[], nowMs: number): void {
    const report: Report = this.#reports.get(edge) ?? { atMs: nowMs, wants: new Map<string, EdgeDemand>() };
    this.#reports.set(edge, report);
    report.atMs = nowMs;
    for (const want of wants) {
      const key = `${want.service}/${want.model}/${want.adapter}`;
      const before = report.wants.get(key);
      if (before !== undefined) this.#subtract(before);
      report.wants.set(key, want);
      this.#add(want);
    }
  }

  /** Forgets edges that were last heard before a time. */
  expire(beforeMs: number): void {
    for (const [edge, { atMs }] of this.#reports) if (atMs < beforeMs) this.#remove(edge);
  }

  /** What is asked for of a service, by model. */
  of(service: string): ReadonlyMap<string, Demand> {
    return this.#byService.get(service) ?? NOTHING;
  }

  #remove(edge: string): void {
    const report = this.#reports.get(edge);
    if (report === undefined) return;
    this.#reports.delete(edge);
    for (const want of report.wants.values()) this.#subtract(want);
  }

  #add(want: EdgeDemand): void {
    this.#waiting += want.waiting;
    let models = this.#byService.get(want.service);
    if (models === undefined) {
      models = new Map();
      this.#byService.set(want.service, models);
    }
    let demand = models.get(want.model);
    if (demand === undefined) {
      demand = { waiting: 0, inFlight: 0, perS: 0, pressed: 0, patient: 0, adapters: new Map(), reports: 0 };
      models.set(want.model, demand);
    }
    demand.reports += 1;
    demand.pressed += want.waitToTargetRatio * want.perS;
    demand.patient += want.meanTargetMs * want.perS;
    accumulate(demand, want, 1);
    if (want.adapter === '') return;
    let adapter = demand.adapters.get(want.adapter);
    if (adapter === undefined) {
      adapter = { waiting: 0, inFlight: 0, perS: 0 };
      demand.adapters.set(want.adapter, adapter);
    }
    accumulate(adapter, want, 1);
  }

  #subtract(want: EdgeDemand): void {
    this.#waiting -= want.waiting;
    const models = this.#byService.get(want.service);
    const demand = models?.get(want.model);
    if (demand === undefined) return;
    demand.reports -= 1;
    if (demand.reports === 0) {
      models?.delete(want.model);
      return;
    }
    demand.pressed -= want.waitToTargetRatio * want.perS;
    demand.patient -= want.meanTargetMs * want.perS;
    accumulate(demand, want, -1);
    const adapter = demand.adapters.get(want.adapter);
    if (adapter !== undefined) accumulate(adapter, want, -1);
  }
}

function accumulate(demand: AdapterDemand, want: EdgeDemand, sign: 1 | -1): void {
  demand.waiting += sign * want.waiting;
  demand.inFlight += sign * want.inFlight;
  demand.perS += sign * want.perS;
}
