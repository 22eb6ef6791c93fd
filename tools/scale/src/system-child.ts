import { runCore, runEdge } from '@rainrun/runtime/platform';
import { DIALECT } from './dialect.js';

const [, , role, path = ''] = process.argv;
process.on('disconnect', () => process.exit(0));
await (role === 'core' ? runCore : runEdge)(DIALECT, path);
