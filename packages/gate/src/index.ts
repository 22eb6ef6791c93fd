export * from './assign.js';
export * from './backlog.js';
export * from './budget.js';
export * from './gate.js';
export * from './sender.js';
export * from './stream.js';
export * from './visit.js';
