/** The public interface of the process group. */
export * from './agreement/acceptor.js';
export * from './multicast/causal-order.js';
export * from './agreement/candidacy.js';
export * from './agreement/coordinator.js';
export * from './agreement/coordinator-context.js';
export * from './agreement/coordinator-wait.js';
export * from './leases/lease-acknowledgements.js';
export * from './group-dependencies.js';
export * from './group.js';
export * from './agreement/group-state.js';
export * from './agreement/quorum.js';
export * from './agreement/state-machine.js';
export * from './membership/members.js';
export * from './membership/protocol-levels.js';
export * from './times.js';
