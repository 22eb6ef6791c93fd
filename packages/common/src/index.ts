export * from './kinds.js';
export * from './chance.js';
export * from './hash.js';
export * from './slab.js';
export * from './register.js';

/** A clock that never goes back. */
export interface Clock {
  nowMs(): number;
}
