export * from './sealed-file.js';
export * from './record-store.js';
