export * from './node.js';
export * from './operators.js';
export * from './platform.js';
export * from './program.js';
export * from './settings.js';
export * from './visitors.js';
export * from './wire.js';
