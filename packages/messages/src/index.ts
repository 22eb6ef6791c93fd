export * from './gen/rainrun_pb.js';
export * from './codec.js';
export * from './ordered-channel.js';
export * from './gossip.js';
