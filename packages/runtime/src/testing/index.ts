export * from './edge-under-test.js';
export * from './raw-client.js';
export * from './stand-in-worker.js';
export * from './routing-harness.js';
export * from './async-queue.js';
export * from './stand-in-names.js';
export * from './loopback-host.js';
