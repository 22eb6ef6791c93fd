/** The breaches that the stand-ins observed, the runs of each request, and other counts. */
export interface Report {
  readonly breaches: readonly string[];
  readonly runs: Readonly<Record<string, number>>;
  readonly counts: Readonly<Record<string, number>>;
}

/**
 * Collects the breaches, runs and counts of all stand-in workers of one process.
 * @example
 * log.ran('id-1');
 * log.report().runs['id-1']; // 1
 */
export class RequestLog {
  #breaches: string[] = [];
  #runs = new Map<string, number>();
  #counts = new Map<string, number>();
  #pulls: number[] = [];
  readonly pullsPerMinute: number;

  constructor(pullsPerMinute: number) {
    this.pullsPerMinute = pullsPerMinute;
  }

  breach(text: string): void {
    if (this.#breaches.length < 100) this.#breaches.push(text);
    this.count('breaches');
  }

  count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  /** Keeps the largest value seen under a name. */
  recordMax(name: string, value: number): void {
    this.#counts.set(name, Math.max(this.#counts.get(name) ?? 0, Math.round(value)));
  }

  ran(id: string, repeatable: boolean): void {
    const runs = (this.#runs.get(id) ?? 0) + 1;
    this.#runs.set(id, runs);
    if (runs > 1 && !repeatable) this.breach(`request ${id} ran ${runs} times`);
  }

  /** Records a pull from the model store; more than `pullsPerMinute` within a minute are a breach. */
  pulled(nowMs: number): void {
    this.count('pulls');
    this.#pulls = this.#pulls.filter((atMs) => nowMs - atMs < 60_000);
    this.#pulls.push(nowMs);
    if (this.#pulls.length > this.pullsPerMinute) this.breach(`${this.#pulls.length} pulls within a minute`);
  }

  report(): Report {
    return {
      breaches: this.#breaches,
      runs: Object.fromEntries(this.#runs),
      counts: Object.fromEntries(this.#counts),
    };
  }
}
