export * from './answers.js';
export * from './stand-in-workers.js';
export * from './report.js';
export * from './worker.js';
