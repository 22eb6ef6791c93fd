export * from './edge-under-test.js';
export * from './raw-client.js';
export * from './stand-in-worker.js';
export * from './trial.js';
export * from './waiters.js';
export * from './stand-in-names.js';
