#!/usr/bin/env node
import { runProgram } from '@rainrun/mast';

await runProgram('turnstile', 'edge', import.meta);
