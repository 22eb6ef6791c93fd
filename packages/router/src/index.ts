export * from './route-table.js';
export * from './request.js';
export * from './event-splitter.js';
export * from './balancer.js';
export * from './attempt.js';
export * from './router.js';
export * from './demand-meter.js';
export * from './outcome-counter.js';
