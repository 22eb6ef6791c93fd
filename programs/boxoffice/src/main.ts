#!/usr/bin/env node
import { runProgram } from '@rainrun/mast';

await runProgram('boxoffice', 'core', import.meta);
