export * from './errors.js';
export * from './clock.js';
export * from './backoff.js';
export * from './random.js';
export * from './hash.js';
export * from './slab.js';
export * from './name-index.js';
export * from './memory-budget.js';
