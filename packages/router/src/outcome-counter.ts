/** Counts how requests to workers ended, for the outlier detection of the platform system's coordinator. */

/** How requests to one worker ended. */
export interface WorkerOutcomes {
  readonly worker: string;
  readonly answered: number;
  readonly failed: number;
}

/**
 * Counts how requests to each worker ended, between two reports to the coordinator. One edge sends a worker too
 * little to judge it by; what all edges saw together says within a second which worker fails.
 * @example
 * const outcomes = new OutcomeCounter();
 * outcomes.add('worker-1', false);
 * outcomes.take(); // [{ worker: 'worker-1', answered: 0, failed: 1 }]
 */
export class OutcomeCounter {
  #counts = new Map<string, { answered: number; failed: number }>();

  add(worker: string, succeeded: boolean): void {
    const counts = this.#counts.get(worker) ?? { answered: 0, failed: 0 };
    this.#counts.set(worker, counts);
    if (succeeded) counts.answered += 1;
    else counts.failed += 1;
  }

  /** Everything since the last call. */
  take(): WorkerOutcomes[] {
    const taken = [...this.#counts].map(([worker, counts]) => ({ worker, ...counts }));
    this.#counts.clear();
    return taken;
  }
}
