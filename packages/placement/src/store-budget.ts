/** The loads that the store of weights allows one service of the platform system. */
import { maxConcurrentLoads, type Engine } from './engine.js';
import { TokenBucket } from './token-bucket.js';

/** What a load from the store is for. */
export type LoadPurpose =
  /** A model that stands nowhere. */
  | 'first-copy'
  /** A further copy of one that does. */
  | 'further-copy';

/**
 * Loads that the store of weights of one service allows, shared by first copies
 * and further copies. While both are wanted neither gets more than half,
 * so that models in heavy use cannot keep the others from being loaded.
 * @example
 * budget.refill(engine, nowMs);
 * if (budget.isOpen) budget.take(budget.next);
 */
export class StoreBudget {
  #bucket: TokenBucket;
  /** First copies that were loaded beyond further ones, within a few loads. */
  #firstCopyLead = 0;

  constructor(nowMs: number) {
    this.#bucket = new TokenBucket(nowMs);
  }

  refill(engine: Engine, nowMs: number): void {
    this.#bucket.refill(engine.loadsPerS, maxConcurrentLoads(engine), nowMs);
  }

  /** Whether a load may begin now. */
  get mayLoad(): boolean {
    return this.#bucket.hasToken;
  }

  /** Which of the two has had fewer loads and comes first. */
  get next(): LoadPurpose {
    return this.#firstCopyLead > 0 ? 'further-copy' : 'first-copy';
  }

  take(purpose: LoadPurpose): void {
    this.#bucket.take();
    const firstCopyLead = this.#firstCopyLead + (purpose === 'first-copy' ? 1 : -1);
    this.#firstCopyLead = Math.max(-1, Math.min(1, firstCopyLead));
  }
}
