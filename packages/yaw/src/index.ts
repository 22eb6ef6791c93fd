export * from './loop.js';
export * from './orderer.js';
export * from './placer.js';
export * from './book.js';
export * from './stocker.js';
