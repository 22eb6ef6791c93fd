/** Requests of the research groups that wait for a worker, shared fairly between the groups. */

/** One waiting request, by its key in the slab. */
export interface WaitingRequest {
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
 * backlog.queuesInOrder(); // keys in the order in which to try them
 */
export class Backlog {
  #queues: WaitingRequest[][] = [];
  #virtualTimes: number[] = [];
  #minVirtualTime = 0;
  #count = 0;

  get count(): number {
    return this.#count;
  }

  countOf(group: number): number {
    return this.#queues[group]?.length ?? 0;
  }

  put(waiting: WaitingRequest): void {
    const queue = (this.#queues[waiting.group] ??= []);
    if (queue.length === 0)
      this.#virtualTimes[waiting.group] = Math.max(
        this.#virtualTimes[waiting.group] ?? 0,
        this.#minVirtualTime,
      );
    let position = queue.length;
    while (position > 0 && (queue[position - 1]?.dueMs ?? 0) > waiting.dueMs) position -= 1;
    queue.splice(position, 0, waiting);
    this.#count += 1;
  }

  remove(key: number, group: number): boolean {
    const queue = this.#queues[group] ?? [];
    const position = queue.findIndex((waiting) => waiting.key === key);
    if (position < 0) return false;
    queue.splice(position, 1);
    this.#count -= 1;
    return true;
  }

  /** Counts one send against a group's share. */
  charge(group: number, weight: number): void {
    const virtualTime = Math.max(this.#virtualTimes[group] ?? 0, this.#minVirtualTime);
    this.#virtualTimes[group] = virtualTime + 1 / Math.max(weight, 0.001);
    const waitingTimes = this.#virtualTimes.filter((_, other) => (this.#queues[other]?.length ?? 0) > 0);
    this.#minVirtualTime = waitingTimes.length > 0 ? Math.min(...waitingTimes) : virtualTime;
  }

  /** Every lane that has someone waiting, least served first. */
  queuesInOrder(): readonly (readonly WaitingRequest[])[] {
    return this.#queues
      .map((queue, group) => ({ queue, virtualTime: this.#virtualTimes[group] ?? 0 }))
      .filter(({ queue }) => queue.length > 0)
      .sort((one, other) => one.virtualTime - other.virtualTime)
      .map(({ queue }) => queue);
  }
}
