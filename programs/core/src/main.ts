#!/usr/bin/env node
import { runProgram } from '@rainrun/runtime';

await runProgram('core', 'core', import.meta);
