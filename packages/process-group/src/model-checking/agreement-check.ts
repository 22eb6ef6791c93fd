#!/usr/bin/env node
/**
 * Command: runs the model check of agreement with any number of states and walks.
 *
 *     node packages/process-group/dist/model-checking/agreement-check.js
 *       [--states N] [--walks N] [--seed N] [--scope NAME]
 *
 * If it finds a violation, it prints the shortest trace to it and exits with code 1.
 */
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { SCOPES, RANDOM_WALK_SCOPE, type Scope } from './agreement-scopes.js';
import { searchAll, StateSpace, randomWalk } from './agreement-search.js';
import * as production from '../index.js';

const STEPS_PER_WALK = 200;

const { values } = parseArgs({
  options: {
    states: { type: 'string', default: '1000000' },
    walks: { type: 'string', default: '1000' },
    seed: { type: 'string', default: '1' },
    scope: { type: 'string' },
  },
});

function searchScope(name: string, scope: Scope): boolean {
  const found = searchAll(new StateSpace(production, scope), Number(values.states));
  const extent = found.complete ? 'complete' : 'partial';
  console.log(`${name}: ${extent}, ${found.states} states, ${found.steps} steps`);
  if (found.violation === undefined) return true;
  console.log(`${found.violation}\n${found.trace.join('\n')}`);
  return false;
}

function checkRandomWalks(): boolean {
  const choices = fc.array(fc.nat(), { minLength: STEPS_PER_WALK, maxLength: STEPS_PER_WALK });
  const space = new StateSpace(production, RANDOM_WALK_SCOPE);
  const result = fc.check(
    fc.property(choices, (path) => randomWalk(space, path).violation === undefined),
    { numRuns: Number(values.walks), seed: Number(values.seed) },
  );
  console.log(`walks: ${result.numRuns}, seed ${values.seed}`);
  const [path] = result.counterexample ?? [];
  if (path === undefined) return true;
  const { violation, trace } = randomWalk(space, path);
  console.log(`${violation}\n${trace.join('\n')}`);
  return false;
}

const scopes = Object.entries<Scope>(SCOPES).filter(
  ([name]) => values.scope === undefined || name === values.scope,
);
const searchesPassed = scopes.map(([name, scope]) => searchScope(name, scope)).every((passed) => passed);
process.exitCode = checkRandomWalks() && searchesPassed ? 0 : 1;
