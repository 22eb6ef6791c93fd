/** The requests that wait for a worker at one edge of the platform system. */
import type { RoutedRequest } from './request.js';

/**
 * A queue by the priority of the route, then by arrival.
 * @example
 * queue.add(request);
 * for (const waiting of queue.inOrder()) dispatch(waiting);
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

  /** A copy, most urgent first. */
  inOrder(): RoutedRequest[] {
    return [...this.#requests].sort(
      (one, other) => one.route.priority - other.route.priority || one.arrivedMs - other.arrivedMs,
    );
  }

  [Symbol.iterator](): Iterator<RoutedRequest> {
    return this.#requests.values();
  }
}
