/**
 * Selects the demand that an edge reports to the coordinator, in full or as an increment. Platform family.
 */
import type { ModelDemand } from '@rainrun/messages';

/**
 * Reads the demand of this edge, and tracks which of it was reported as waiting.
 * @example
 * const reporter = new DemandReporter(() => meter.demands());
 * reporter.full();
 * reporter.increment(); // demand that waits now, or waited when it was last reported
 */
export class DemandReporter {
  #read: () => readonly ModelDemand[];
  /** Keys of the demand that was reported as waiting in the last full report or since. */
  #reportedWaiting = new Set<string>();

  constructor(read: () => readonly ModelDemand[]) {
    this.#read = read;
  }

  /** All demand, for a regular renewal of the subscription. */
  full(): ModelDemand[] {
    const demands = this.#read();
    this.#reportedWaiting = new Set(demands.filter(({ waiting }) => waiting > 0).map(keyOf));
    return [...demands];
  }

  /** The demand to report between two full reports: what waits now, or waited when it was last reported. */
  increment(): ModelDemand[] {
    const demands = this.#read().filter(
      (demand) => demand.waiting > 0 || this.#reportedWaiting.has(keyOf(demand)),
    );
    for (const demand of demands) this.#reportedWaiting.add(keyOf(demand));
    return demands;
  }
}

function keyOf({ service, model, adapter }: ModelDemand): string {
  return `${service}/${model}/${adapter}`;
}
