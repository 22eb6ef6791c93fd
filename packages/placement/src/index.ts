export * from './feedback-loop.js';
export * from './spec-order-sender.js';
export * from './spec-placer.js';
export * from './worker-table.js';
export * from './engine.js';
export { copyOf, type Holdings } from './holdings.js';
export * from './orders.js';
export * from './planner.js';
export * from './demand-totals.js';
