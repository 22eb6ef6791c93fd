export * from './loop.js';
export * from './orderer.js';
export * from './placer.js';
