/** The requests that wait for a worker at one edge of the platform system. */
import type { RoutedRequest } from './request.js';
import { compareUrgency } from './tenant-priority.js';

/**
 * A queue ordered by the priority of the tenant, then of the route, then by arrival.
 * @example
 * queue.add(request);
 * for (const waiting of queue.inOrder(nowMs)) dispatch(waiting);
 */
export class WaitingQueue implements Iterable<RoutedRequest> {
  #requests = new Set<RoutedRequest>();

  get size(): number {
    return this.#requests.size;
  }

  add(request: RoutedRequest): void {
    this.#requests.add(request);
  }

  has(request: RoutedRequest): boolean {
    return this.#requests.has(request);
  }

  delete(request: RoutedRequest): void {
    this.#requests.delete(request);
  }

  /** A copy of the waiting requests, most urgent first. */
  inOrder(nowMs: number): RoutedRequest[] {
    return [...this.#requests].sort((one, other) => compareUrgency(one, other, nowMs));
  }

  /** The most urgent waiting request that precedes a new one with the same demand key; undefined if none. */
  mostUrgentAhead(newRequest: RoutedRequest, nowMs: number): RoutedRequest | undefined {
    let first: RoutedRequest | undefined;
    for (const request of this.#requests) {
      if (
        request.demandKey !== newRequest.demandKey ||
        request.responseStarted ||
        request.waitReason === 'no-permit'
      )
        continue;
      if (compareUrgency(request, first ?? newRequest, nowMs) < 0) first = request;
    }
    return first;
  }

  [Symbol.iterator](): Iterator<RoutedRequest> {
    return this.#requests.values();
  }
}
