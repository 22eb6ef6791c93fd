/**
 * Demand for models, and measures of research groups, aggregated over the observations of all edges. Spec
 * family.
 */
import type { GroupMeasure, Observation } from '@rainrun/messages';
import type { SpecModelDemand } from '@rainrun/placement';

const HALF_LIFE_S = 10;

/**
 * Measures of one kind of request of a research group over all edges; waits are smoothed, in milliseconds.
 */
export interface GroupStatus {
  readonly group: string;
  readonly kind: string;
  served: number;
  refused: number;
  prompt: number;
  waitMs: number;
  inFlight: number;
  backlog: number;
}

/**
 * Aggregates the observations of all edges into smoothed demand per model and measures per group.
 * @example
 * demand.record('incarnation-1', observation, nowMs);
 * demand.models(nowMs).get('gearbox-7b')?.arrivalsPerS;
 */
export class DemandTable {
  #models = new Map<string, { perS: number; adapters: Map<string, number>; atMs: number }>();
  #backlogsBySender = new Map<string, Map<string, number>>();
  #measuresBySender = new Map<string, Map<string, GroupMeasure>>();
  #totals = new Map<string, GroupStatus>();

  /** Adds the observation of one edge, which covers the time since its previous one. */
  record(sender: string, observation: Observation, nowMs: number): void {
    const backlogs = new Map<string, number>();
    for (const { model, adapter, arrivals, backlog } of observation.demands) {
      backlogs.set(model, (backlogs.get(model) ?? 0) + backlog);
      if (arrivals === 0) continue;
      const known = this.#decayedModel(model, nowMs);
      const perS = (arrivals * Math.LN2) / HALF_LIFE_S;
      known.perS += perS;
      if (adapter !== '') known.adapters.set(adapter, (known.adapters.get(adapter) ?? 0) + perS);
    }
    this.#backlogsBySender.set(sender, backlogs);
    this.#measuresBySender.set(
      sender,
      new Map(observation.groups.map((measure) => [`${measure.group}/${measure.kind}`, measure])),
    );
    for (const measure of observation.groups) this.#addToTotals(measure);
  }

  /** Drops the observations of nodes that are no longer in the view. */
  retainOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#backlogsBySender.keys())
      if (!incarnations.has(incarnation)) this.#backlogsBySender.delete(incarnation);
    for (const incarnation of this.#measuresBySender.keys())
      if (!incarnations.has(incarnation)) this.#measuresBySender.delete(incarnation);
  }

  /** Demand by model; arrivals are per second and decay with a half-life of ten seconds. */
  models(nowMs: number): Map<string, SpecModelDemand> {
    const demands = new Map<string, SpecModelDemand>();
    for (const model of this.#models.keys()) {
      const known = this.#decayedModel(model, nowMs);
      if (known.perS < 0.001) continue;
      demands.set(model, { arrivalsPerS: known.perS, backlog: 0, adapters: known.adapters });
    }
    for (const backlogs of this.#backlogsBySender.values()) {
      for (const [model, backlog] of backlogs) {
        const demand = demands.get(model);
        if (demand !== undefined) demand.backlog += backlog;
        else if (backlog > 0) demands.set(model, { arrivalsPerS: 0, backlog, adapters: new Map() });
      }
    }
    return demands;
  }

  /** Totals since this node joined, with the current requests in flight and backlog. */
  groups(): GroupStatus[] {
    const statuses = new Map<string, GroupStatus>();
    for (const [key, total] of this.#totals) statuses.set(key, { ...total, inFlight: 0, backlog: 0 });
    for (const measures of this.#measuresBySender.values()) {
      for (const [key, measure] of measures) {
        const status = statuses.get(key);
        if (status === undefined) continue;
        status.inFlight += measure.inFlight;
        status.backlog += measure.backlog;
      }
    }
    return [...statuses.values()];
  }

  #addToTotals(measure: GroupMeasure): void {
    const { group, kind } = measure;
    const key = `${group}/${kind}`;
    const known = this.#totals.get(key) ?? {
      group,
      kind,
      served: 0,
      refused: 0,
      prompt: 0,
      waitMs: 0,
      inFlight: 0,
      backlog: 0,
    };
    known.served += measure.served;
    known.refused += measure.refused;
    known.prompt += measure.withinTarget;
    if (measure.served > 0)
      known.waitMs += (measure.waitMs - known.waitMs) * Math.min(1, measure.served / 20);
    this.#totals.set(key, known);
  }

  #decayedModel(model: string, nowMs: number): { perS: number; adapters: Map<string, number>; atMs: number } {
    let known = this.#models.get(model);
    if (known === undefined) {
      known = { perS: 0, adapters: new Map(), atMs: nowMs };
      this.#models.set(model, known);
    }
    const decay = 0.5 ** ((nowMs - known.atMs) / 1000 / HALF_LIFE_S);
    known.perS *= decay;
    for (const [adapter, weight] of known.adapters) known.adapters.set(adapter, weight * decay);
    known.atMs = nowMs;
    return known;
  }
}
