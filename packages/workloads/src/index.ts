export * from './day.js';
export * from './shapes.js';
