export * from './demand.js';
export * from './edge.js';
export * from './cluster-node.js';
export * from './roster.js';
export * from './follower.js';
export * from './core-replica.js';
export * from './operator-service.js';
export * from './core-status.js';
