export * from './load-generator.js';
