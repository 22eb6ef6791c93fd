export * from './routes.js';
export * from './request.js';
export * from './events.js';
export * from './balancer.js';
export * from './attempt.js';
export * from './router.js';
export * from './demand-meter.js';
export * from './outcomes.js';
