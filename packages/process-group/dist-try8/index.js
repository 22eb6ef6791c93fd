export * from './acceptor.js';
export * from './causal.js';
export * from './claims.js';
export * from './coordinator.js';
export * from './grants.js';
export * from './group-dependencies.js';
export * from './group.js';
export * from './play.js';
export * from './times.js';
//# sourceMappingURL=index.js.map