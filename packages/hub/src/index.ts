export * from './demand.js';
export * from './edge.js';
export * from './hub.js';
export * from './roster.js';
export * from './follower.js';
export * from './keeper.js';
