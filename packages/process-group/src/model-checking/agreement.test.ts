import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { loadMutant, MUTANTS } from './agreement-mutants.js';
import { SCOPES, RANDOM_WALK_SCOPE, type Scope } from './agreement-scopes.js';
import { searchAll, StateSpace, randomWalk } from './agreement-search.js';
import * as production from '../index.js';

/** Number of states within which the search must detect a mutant. */
const MUTANT_STATES_MAX = 400_000;
const WALK_COUNT = 60;
const STEPS_PER_WALK = 120;

/** Scope of the scripted runs, whose scripts choose every action. */
const SCRIPTED_SCOPE: Scope = {
  ...SCOPES.replacementTorn,
  crashing: ['a', 'b'],
  rejections: true,
  budget: { prepares: 2, crashes: 1, operations: 1, replacements: 1, losses: 0 },
};

/** Carries out the actions that begin with the given lines; returns any violation and the lines left. */
function runScript(
  scope: Scope,
  script: readonly string[],
): { violation: string | undefined; remaining: string[] } {
  const space = new StateSpace(production, scope);
  let state = space.start;
  for (const [index, prefix] of script.entries()) {
    const action = space.actions(state).find((known) => space.describe(known).startsWith(prefix));
    if (action === undefined) return { violation: undefined, remaining: script.slice(index) };
    const step = space.step(state, action);
    if (step.violation !== undefined)
      return { violation: step.violation, remaining: script.slice(index + 1) };
    state = step.state;
  }
  return { violation: undefined, remaining: [] };
}

describe('the invariants of agreement', () => {
  for (const name of ['rivals', 'repair', 'twoSpares'] as const) {
    it(`hold in every state of the scope "${name}"`, (test) => {
      const found = searchAll(new StateSpace(production, SCOPES[name]), Infinity);
      test.diagnostic(`${found.states} states, ${found.steps} steps`);
      expect(found.violation).toEqual(undefined);
      expect(found.complete).toEqual(true);
    });
  }

  it('hold in random walks with lost disks, rejections and two spares', () => {
    const space = new StateSpace(production, RANDOM_WALK_SCOPE);
    const choices = fc.array(fc.nat(), { minLength: STEPS_PER_WALK, maxLength: STEPS_PER_WALK });
    fc.assert(
      fc.property(choices, (path) => randomWalk(space, path).violation === undefined),
      { numRuns: WALK_COUNT, seed: 16 },
    );
  });
});

describe('the model check detects the removal of the rule that', () => {
  for (const mutant of MUTANTS) {
    it(mutant.name, async (test) => {
      const code = await loadMutant(mutant);
      if (code.isErr) return expect(code.error.detail).toEqual('');
      const found = searchAll(new StateSpace(code.value, SCOPES[mutant.scope]), MUTANT_STATES_MAX);
      test.diagnostic(
        `${found.violation ?? 'not found'}: ${found.states} states, trace length ${found.trace.length}`,
      );
      expect(found.violation).not.toEqual(undefined);
    });
  }
});

describe('agreement', () => {
  it('does not elect a coordinator by new voters alone while their change is not known to be chosen', () => {
    const { violation, remaining } = runScript(SCRIPTED_SCOPE, [
      'a: replace c',
      'd: takes propose a#1 d',
      'b: prepare',
      'c: takes prepare b#1',
      'b: takes promise c#1',
      'c: takes propose b#1 c',
      'b: takes accepted c#1',
      'b: operate',
      'c: takes propose b#1 c version 3/2',
      'b: takes accepted c#1 b#1 3 2',
      'a: crash',
      'a: prepare',
      'd: takes prepare a#2 d',
      'a: takes promise d#1 a#2',
      'd: takes propose a#2 d',
    ]);
    expect(violation).toEqual(undefined);
    expect(remaining).toEqual(['d: takes propose a#2 d']);
  });

  it('does not coordinate twice in one epoch after a crash before its own promise was synced', () => {
    const { violation, remaining } = runScript({ ...SCRIPTED_SCOPE, slowDisks: true }, [
      'b: prepare',
      'a: takes prepare b#1',
      'a: sync',
      'c: takes prepare b#1',
      'c: sync',
      'b: takes promise a#1 b#1',
      'b: takes promise c#1 b#1',
      'b: crash',
      'b: prepare',
      'a: takes prepare b#2',
      'c: takes prepare b#2',
      'b: takes promise a#1 b#2',
      'b: takes promise c#1 b#2',
      'b: sync',
    ]);
    expect(violation).toEqual(undefined);
    expect(remaining).toEqual([]);
  });
});
