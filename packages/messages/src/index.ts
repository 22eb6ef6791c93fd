export * from './gen/rainrun_pb.js';
export * from './codec.js';
export * from './channel.js';
export * from './news.js';
