export * from './allocation.js';
export * from './allocator-choice.js';
export * from './allocator.js';
export * from './client.js';
export * from './permits.js';
export * from './quota-budget.js';
export * from './sharded-permits.js';
export * from './shards.js';
