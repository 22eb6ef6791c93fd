export * from './answers.js';
export * from './grandstand.js';
export * from './report.js';
export * from './worker.js';
