export * from './compare.js';
