export * from './grounds.js';
export * from './oracle.js';
export * from './script.js';
export * from './site.js';
export * from './timeline.js';
export * from './trial.js';
export * from './world.js';
export * from './matinee.js';
