import { mixedHash } from '@rainrun/common';
import { EdgeUnderTest, type EdgeOptions } from './edge-under-test.js';
import type { ClientResponse, RawClient } from './raw-client.js';
import { StandInWorker, type WorkerCall } from './stand-in-worker.js';
import { AsyncQueue } from './async-queue.js';

/**
 * Connects an edge under test with stand-in workers and one client.
 * @example
 * const harness = await RoutingHarness.open(2);
 * harness.client.request({ id: harness.requestIdFor('w1'), path: '/once/x' });
 * (await harness.nextCall()).respond();
 */
export class RoutingHarness {
  readonly edge: EdgeUnderTest;
  readonly client: RawClient;
  readonly workers: readonly StandInWorker[];
  #calls: AsyncQueue<WorkerCall>;
  #requestCount = 0;

  private constructor(
    edge: EdgeUnderTest,
    client: RawClient,
    workers: readonly StandInWorker[],
    calls: AsyncQueue<WorkerCall>,
  ) {
    this.edge = edge;
    this.client = client;
    this.workers = workers;
    this.#calls = calls;
  }

  static async open(workerCount: number, options: EdgeOptions = {}): Promise<RoutingHarness> {
    const calls = new AsyncQueue<WorkerCall>();
    const names = Array.from({ length: workerCount }, (_, index) => `w${index}`);
    const workers = await Promise.all(names.map((name) => StandInWorker.open(name, calls)));
    const edge = await EdgeUnderTest.open(workers, options);
    return new RoutingHarness(edge, await edge.connect(), workers, calls);
  }

  worker(name: string): StandInWorker {
    return this.workers.find((worker) => worker.name === name) as StandInWorker;
  }

  /** The next complete request that any worker receives. */
  nextCall(): Promise<WorkerCall> {
    return this.#calls.next();
  }

  /** A new request id that the balancer sends to this worker while all workers have the same load. */
  requestIdFor(name: string): string {
    for (;;) {
      this.#requestCount += 1;
      const id = `r${this.#requestCount}`;
      const [first] = [...this.workers].sort(
        (one, other) => mixedHash(`${id} ${other.name}`) - mixedHash(`${id} ${one.name}`),
      );
      if (first?.name === name) return id;
    }
  }

  /** How many times workers received this request completely. */
  calls(id: string): number {
    return this.workers.flatMap(({ received }) => received).filter((call) => call.id === id).length;
  }

  /** Sends a request that this worker answers with 200, so that there is a connection to be reused. */
  async warmUpConnection(name: string): Promise<void> {
    this.client.request({ id: this.requestIdFor(name), path: '/once/warm' });
    (await this.nextCall()).respond();
    await this.client.next();
  }

  /** Sends this many requests that are answered with 200, each of which adds to the retry budget. */
  async earnRetryBudget(count: number): Promise<void> {
    for (let done = 0; done < count; done += 1) await this.warmUpConnection('w0');
  }

  /**
   * Sends a request on another connection; its response shows that the edge has processed what was sent
   * before.
   */
  async roundTrip(): Promise<void> {
    const other = await this.edge.connect();
    other.request({ id: 'round-trip', path: '/missing/x' });
    await other.next();
  }

  /**
   * Sends a request to this worker on a client connection, answers it with 200 and returns the client's
   * response.
   */
  async sendNextRequest(name: string, client = this.client): Promise<ClientResponse> {
    const id = this.requestIdFor(name);
    client.request({ id, path: '/once/after' });
    (await this.nextCall()).respond();
    return client.next();
  }

  async close(): Promise<void> {
    await this.edge.close();
    for (const worker of this.workers) worker.close();
  }
}
