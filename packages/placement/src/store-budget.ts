/** The rate limit for loads from the model store of one service of the platform system. */
import { maxConcurrentLoads, type Engine } from './engine.js';
import { TokenBucket } from './token-bucket.js';

/** The purpose of a load from the store. */
export type LoadPurpose =
  /** The first copy of a model that is loaded nowhere. */
  | 'first-copy'
  /** A further copy of a loaded model. */
  | 'further-copy';

/**
 * A rate limit for loads from the model store of one service, shared by first and further copies. While both
 * are needed each gets at most half, so that models in heavy use cannot starve the others.
 * @example
 * budget.refill(engine, nowMs);
 * if (budget.mayLoad) budget.take(budget.next);
 */
export class StoreBudget {
  #bucket: TokenBucket;
  /** How many more first copies than further ones were loaded, clamped to -1 to 1. */
  #firstCopyLead = 0;

  constructor(nowMs: number) {
    this.#bucket = new TokenBucket(nowMs);
  }

  refill(engine: Engine, nowMs: number): void {
    this.#bucket.refill(engine.loadsPerS, maxConcurrentLoads(engine), nowMs);
  }

  /** Whether a load may start now. */
  get mayLoad(): boolean {
    return this.#bucket.hasToken;
  }

  /** The purpose with fewer recent loads, which comes next. */
  get next(): LoadPurpose {
    return this.#firstCopyLead > 0 ? 'further-copy' : 'first-copy';
  }

  take(purpose: LoadPurpose): void {
    this.#bucket.take();
    const firstCopyLead = this.#firstCopyLead + (purpose === 'first-copy' ? 1 : -1);
    this.#firstCopyLead = Math.max(-1, Math.min(1, firstCopyLead));
  }
}
