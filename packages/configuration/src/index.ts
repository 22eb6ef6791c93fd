export * from './spec-edit.js';
export * from './spec.js';
export * from './spec-state.js';
export * from './configuration.js';
export * from './deployment.js';
export * from './deployment-codec.js';
export * from './tenant-directory.js';
export * from './tenants-in-force.js';
