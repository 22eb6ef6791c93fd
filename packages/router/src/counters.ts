/** Named counters of one router, for its metrics. */

/**
 * Counts events by name.
 * @example
 * counters.increment('served');
 * counters.values; // { served: 1 }
 */
export class Counters {
  #counts = new Map<string, number>();

  get values(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }

  increment(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }
}
