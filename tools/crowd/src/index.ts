export * from './crowd.js';
