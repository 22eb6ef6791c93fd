export * from './errors.js';
export * from './backoff.js';
export * from './random.js';
export * from './hash.js';
export * from './slab.js';
export * from './name-index.js';

/** A clock that never goes back. */
export interface Clock {
  nowMs(): number;
}
