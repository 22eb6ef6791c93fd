/** A model's absence that nobody has asked about for so many loads has ended unseen; the next one begins anew. */
const FORGET_LOADS = 3;
/** A model that is still absent when a load should be done takes about this part of one more. */
const OVERDUE_PART = 0.25;

interface Absence {
  readonly sinceMs: number;
  askedMs: number;
}

/**
 * Models that no worker holds, by service and model, and when they can be expected: a load begins about when a model
 * is first asked for in vain.
 * @example
 * absent.missed('assist/model-1', 4000, 1000);
 * absent.expectedInMs('assist/model-1', 4000, 2500); // 2500
 */
export class AbsentModels {
  #absences = new Map<string, Absence>();

  /** It was asked for, and no worker holds it. */
  missed(key: string, loadMs: number, nowMs: number): void {
    const known = this.#absences.get(key);
    if (known === undefined || nowMs - known.askedMs > FORGET_LOADS * loadMs)
      this.#absences.set(key, { sinceMs: nowMs, askedMs: nowMs });
    else known.askedMs = nowMs;
  }

  /** A worker holds it. */
  found(key: string): void {
    this.#absences.delete(key);
  }

  /** In how many milliseconds it can be expected. */
  expectedInMs(key: string, loadMs: number, nowMs: number): number {
    const sinceMs = this.#absences.get(key)?.sinceMs ?? nowMs;
    return Math.max(OVERDUE_PART * loadMs, sinceMs + loadMs - nowMs);
  }
}
