/** Requests of the research groups that wait for a worker, shared fairly between the groups. */

/** One waiting request, by its key in the slab. */
export interface Waiting {
  readonly key: number;
  readonly group: number;
  /** When its first chunk should come. */
  readonly dueMs: number;
}

/**
 * Requests that wait for a worker, shared fairly: the group that has had least
 * for its weight goes first; within a group, whoever is due first.
 * @example
 * const backlog = new Backlog();
 * backlog.put({ key: 1, group: 0, dueMs: 900 });
 * backlog.order((group) => 1); // keys in the order in which to try them
 */
export class Backlog {
  #lanes: Waiting[][] = [];
  #used: number[] = [];
  #floor = 0;
  #count = 0;

  get count(): number {
    return this.#count;
  }

  countOf(group: number): number {
    return this.#lanes[group]?.length ?? 0;
  }

  put(waiting: Waiting): void {
    const lane = (this.#lanes[waiting.group] ??= []);
    if (lane.length === 0) this.#used[waiting.group] = Math.max(this.#used[waiting.group] ?? 0, this.#floor);
    let place = lane.length;
    while (place > 0 && (lane[place - 1]?.dueMs ?? 0) > waiting.dueMs) place -= 1;
    lane.splice(place, 0, waiting);
    this.#count += 1;
  }

  remove(key: number, group: number): boolean {
    const lane = this.#lanes[group] ?? [];
    const place = lane.findIndex((waiting) => waiting.key === key);
    if (place < 0) return false;
    lane.splice(place, 1);
    this.#count -= 1;
    return true;
  }

  /** Counts one send against a group's share. */
  charge(group: number, weight: number): void {
    const used = Math.max(this.#used[group] ?? 0, this.#floor);
    this.#used[group] = used + 1 / Math.max(weight, 0.001);
    const waiting = this.#used.filter((_, other) => (this.#lanes[other]?.length ?? 0) > 0);
    this.#floor = waiting.length > 0 ? Math.min(...waiting) : used;
  }

  /** Every lane that has someone waiting, least served first. */
  order(): readonly (readonly Waiting[])[] {
    return this.#lanes
      .map((lane, group) => ({ lane, used: this.#used[group] ?? 0 }))
      .filter(({ lane }) => lane.length > 0)
      .sort((one, other) => one.used - other.used)
      .map(({ lane }) => lane);
  }
}
