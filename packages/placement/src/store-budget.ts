import { loadsAtOnce, type StockEngine } from './engine.js';

/** What a load from the store is for. */
export type LoadPurpose =
  /** A model that stands nowhere. */
  | 'first-copy'
  /** A further copy of one that does. */
  | 'further-copy';

/**
 * Loads that the store of weights of one service allows: a token bucket that
 * starts empty, so that a new holder of the duty waits, and that first copies
 * and further copies share. While both are wanted neither gets more than half,
 * so that models in heavy use cannot keep the others from being loaded.
 * @example
 * budget.refill(engine, nowMs);
 * if (budget.allows('first-copy', bothWanted)) budget.take('first-copy');
 */
export class StoreBudget {
  #tokens = 0;
  #filledMs: number;
  /** First copies that were loaded beyond further ones, within a few loads. */
  #lead = 0;

  constructor(nowMs: number) {
    this.#filledMs = nowMs;
  }

  refill(engine: StockEngine, nowMs: number): void {
    const gained = (engine.loadsPerS * (nowMs - this.#filledMs)) / 1000;
    this.#tokens = Math.min(loadsAtOnce(engine), this.#tokens + gained);
    this.#filledMs = nowMs;
  }

  /** Whether a load may begin now. */
  get isOpen(): boolean {
    return this.#tokens >= 1;
  }

  /** Which of the two has had fewer loads and comes first. */
  get next(): LoadPurpose {
    return this.#lead > 0 ? 'further-copy' : 'first-copy';
  }

  take(purpose: LoadPurpose): void {
    this.#tokens -= 1;
    const lead = this.#lead + (purpose === 'first-copy' ? 1 : -1);
    this.#lead = Math.max(-1, Math.min(1, lead));
  }
}
