#!/usr/bin/env node
import { runProgram } from '@rainrun/runtime';

await runProgram('edge', 'edge', import.meta);
