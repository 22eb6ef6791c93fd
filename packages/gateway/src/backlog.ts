/** Weighted fair queueing of the requests that wait for a worker. */

/** A waiting request, given by its key in the slab. */
export interface WaitingRequest {
  readonly key: number;
  readonly group: number;
  /** When the first chunk of its response is due. */
  readonly dueMs: number;
}

/**
 * Requests that wait for a worker, in weighted fair order: the group that has been served least for its
 * weight comes first; within a group, the request with the earliest due time.
 * @example
 * const backlog = new Backlog();
 * backlog.put({ key: 1, group: 0, dueMs: 900 });
 * backlog.queuesInOrder(); // queues in the order in which to try them
 */
export class Backlog {
  #queues: WaitingRequest[][] = [];
  /** Sends of each group divided by its weight. */
  #virtualTimes: number[] = [];
  /** Least virtual time of the waiting groups. A group that was idle starts from it, so it has no credit. */
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

  /** Charges one send to a group's virtual time. */
  charge(group: number, weight: number): void {
    const virtualTime = Math.max(this.#virtualTimes[group] ?? 0, this.#minVirtualTime);
    this.#virtualTimes[group] = virtualTime + 1 / Math.max(weight, 0.001);
    const waitingTimes = this.#virtualTimes.filter((_, other) => (this.#queues[other]?.length ?? 0) > 0);
    this.#minVirtualTime = waitingTimes.length > 0 ? Math.min(...waitingTimes) : virtualTime;
  }

  /** The queues of all groups with waiting requests, the least served group first. */
  queuesInOrder(): readonly (readonly WaitingRequest[])[] {
    return this.#queues
      .map((queue, group) => ({ queue, virtualTime: this.#virtualTimes[group] ?? 0 }))
      .filter(({ queue }) => queue.length > 0)
      .sort((one, other) => one.virtualTime - other.virtualTime)
      .map(({ queue }) => queue);
  }
}
