/** Simulated time: runs callbacks in the order of their scheduled times. */

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * A queue of events ordered by time. Events with the same time run in the order in which they were scheduled.
 * @example
 * events.after(10, () => node.resume());
 * events.runUntil(30_000);
 */
export class EventQueue {
  nowMs = 0;
  /** A binary heap. */
  #heap: Event[] = [];
  #scheduled = 0;

  /** Schedules a callback to run after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    this.#scheduled += 1;
    this.#push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.#scheduled, run });
  }

  /** Runs all events due up to and including `endMs`. */
  runUntil(endMs: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= endMs; next = this.#heap[0]) {
      this.#pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  #push(event: Event): void {
    const heap = this.#heap;
    let at = heap.push(event) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(event, above)) break;
      heap[at] = above;
      at = parent;
    }
    heap[at] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let at = 0;
    for (;;) {
      const child = this.#earlierChild(at);
      const below = heap[child];
      if (below === undefined || !isBefore(below, last)) break;
      heap[at] = below;
      at = child;
    }
    heap[at] = last;
  }

  #earlierChild(at: number): number {
    const left = this.#heap[2 * at + 1];
    const right = this.#heap[2 * at + 2];
    return left !== undefined && right !== undefined && isBefore(right, left) ? 2 * at + 2 : 2 * at + 1;
  }
}

function isBefore(one: Event, other: Event): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}
