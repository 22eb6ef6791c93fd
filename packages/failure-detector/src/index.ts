export * from './failure-detector.js';
