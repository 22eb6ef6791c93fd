/** Counts how requests to workers ended, for the outlier detection of the platform system's coordinator. */

/** How many requests to one worker were answered, and how many failed. */
export interface WorkerOutcomes {
  readonly worker: string;
  readonly answered: number;
  readonly failed: number;
}

/**
 * Counts how requests to each worker ended, between two reports to the coordinator. One edge sends too few
 * requests to a worker to detect that it fails; the counts of all edges together show it within a second.
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

  /** Returns the counts since the last call, and resets them. */
  take(): WorkerOutcomes[] {
    const taken = [...this.#counts].map(([worker, counts]) => ({ worker, ...counts }));
    this.#counts.clear();
    return taken;
  }
}
