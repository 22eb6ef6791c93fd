export * from './allocator-choice.js';
export * from './permits.js';
