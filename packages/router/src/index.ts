export * from './routes.js';
export * from './request.js';
export * from './events.js';
export * from './balance.js';
export * from './run.js';
export * from './router.js';
export * from './demand.js';
export * from './outcomes.js';
