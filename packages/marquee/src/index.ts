export * from './spec.js';
export * from './stage.js';
