import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ViewSchema } from '@rainrun/messages';
import type { GroupState } from '@rainrun/process-group';
import { applyToSpecState, EMPTY_SPEC_STATE, type SpecState } from '@rainrun/configuration';
import { expect } from 'earl';
import { Oracle } from './oracle.js';
import { SITE_SIZES, runTrial, trialSpec } from './trial.js';
import { renderTimeline } from './timeline.js';

function held(number: number, emptied: string[] = [], view = 1): GroupState<SpecState> {
  return {
    epoch: 1,
    number,
    deployment: 'park',
    view: create(ViewSchema, { epoch: 1, number: view, members: [] }),
    previousView: undefined,
    voters: [],
    previousVoters: [],
    application: { ...EMPTY_SPEC_STATE, evacuatedZones: emptied },
    answers: [],
    level: 2,
    clockMs: 0,
  };
}

function rules(oracle: Oracle): string[] {
  return oracle.breaches.map((breach) => breach.rule);
}

describe('the oracle reports a breach', () => {
  it('when two nodes hold different states under the same version number', () => {
    const oracle = new Oracle();
    oracle.versionDelivered('a', held(1, ['north']), true, 0);
    oracle.versionDelivered('b', held(1, ['east']), true, 0);
    expect(rules(oracle)).toEqual(['one history']);
  });

  it('when a node delivers a lower version number than before', () => {
    const oracle = new Oracle();
    oracle.versionDelivered('a', held(2), true, 0);
    oracle.versionDelivered('a', held(1), true, 0);
    expect(rules(oracle)).toEqual(['versions never go back']);
  });

  it('when two nodes end a view with different sets of delivered casts', () => {
    const oracle = new Oracle();
    for (const incarnation of ['a', 'b']) oracle.viewEntered(incarnation, 1);
    oracle.castDelivered('a', 1, 'c', 1, {}, 0);
    for (const incarnation of ['a', 'b']) oracle.versionDelivered(incarnation, held(2, [], 2), false, 0);
    expect(rules(oracle)).toEqual(['same casts in a view']);
  });

  it('when a cast is delivered twice or before one that it depends on', () => {
    const oracle = new Oracle();
    oracle.viewEntered('a', 1);
    oracle.castDelivered('a', 1, 'b', 1, { c: 1 }, 0);
    oracle.castDelivered('a', 1, 'b', 1, {}, 0);
    oracle.versionDelivered('a', held(2), false, 0);
    expect(rules(oracle)).toEqual(['once each', 'causal order']);
  });

  it('when an operation gets two answers, or a node admits without a version agreed more than 2 s ago', () => {
    const oracle = new Oracle();
    oracle.operationAnswered('op', 'agreed', 5, 100);
    oracle.checkAdmission('edge', 4, 2000);
    expect(rules(oracle)).toEqual([]);
    oracle.checkAdmission('edge', 4, 2200);
    oracle.operationAnswered('op', 'conflict', 5, 2300);
    expect(rules(oracle)).toEqual(['in force within 2 s', 'one answer']);
  });

  it('when an agreed change is lost or a refused change becomes visible', () => {
    const oracle = new Oracle();
    function withMark(number: number, sizeMb: number): GroupState<SpecState> {
      const version = held(number);
      const text = JSON.stringify({
        ...trialSpec(0),
        adapters: [{ name: 'race-1', model: 'model-0', sizeMb }],
      });
      return {
        ...version,
        application: applyToSpecState(
          EMPTY_SPEC_STATE,
          { id: 'p', kind: 'spec.put', payload: JSON.stringify({ text }) },
          2,
        ).state,
      };
    }
    for (const _ of [7, 8]) oracle.editSubmitted('race-1');
    oracle.editAnswered('race-1', 7, 'agreed', 2);
    oracle.editAnswered('race-1', 8, 'conflict', 2);
    oracle.versionDelivered('a', withMark(2, 7), true, 0);
    expect(rules(oracle)).toEqual([]);
    oracle.versionDelivered('a', withMark(3, 8), true, 0);
    expect(rules(oracle)).toEqual(['a refused change never shows', 'an agreed change stays']);
  });

  it('when a non-idempotent request runs twice, or runs before or after it was refused', () => {
    const oracle = new Oracle();
    for (const id of ['twice', 'before', 'after']) oracle.requestSent(id, false);
    oracle.requestRan('twice', 'w', 'z', 0);
    oracle.requestRan('twice', 'w', 'z', 1);
    oracle.requestRejected('before', 'no-worker', 2);
    oracle.requestRan('before', 'w', 'z', 3);
    oracle.requestRan('after', 'w', 'z', 4);
    oracle.requestRejected('after', 'no-worker', 5);
    expect(rules(oracle)).toEqual(['never run twice', 'refused never runs', 'refused never runs']);
  });

  it('when a response mixes requests or runs, skips chunks, ends twice or ends incomplete as complete', () => {
    const oracle = new Oracle();
    const piece = { id: 'a', run: 'w-1', place: 0, of: 3 };
    for (const id of ['a', 'b', 'c', 'd', 'e']) oracle.requestSent(id, false);
    oracle.chunkReceived('b', piece, 0);
    oracle.chunkReceived('a', piece, 0);
    oracle.chunkReceived('a', { ...piece, place: 2 }, 0);
    oracle.chunkReceived('a', { ...piece, run: 'w-2', place: 3 }, 0);
    oracle.chunkReceived('c', { ...piece, id: 'c' }, 0);
    oracle.responseCompleted('c', 0);
    oracle.responseCompleted('d', 0);
    oracle.chunkReceived('c', { ...piece, id: 'c', place: 1 }, 0);
    oracle.requestRejected('e', 'no-worker', 0);
    oracle.responseCompleted('e', 0);
    expect(rules(oracle)).toEqual([
      "nobody else's answer",
      'no piece skipped or repeated',
      'one run in an answer',
      'a cut answer does not look whole',
      'a cut answer does not look whole',
      'nothing after the end',
      'one end',
      'a cut answer does not look whole',
    ]);
  });

  it('when a draining worker or an evacuated zone still runs requests after the allowed delay', () => {
    const oracle = new Oracle();
    for (const id of ['a', 'b', 'c']) oracle.requestSent(id, false);
    oracle.workersDraining(new Set(['w']), 0);
    oracle.zoneEvacuated('z', 1, 0);
    oracle.requestRan('a', 'w', 'z', 2900);
    oracle.requestRan('b', 'w', 'y', 3100);
    oracle.requestRan('c', 'v', 'z', 5100);
    expect(rules(oracle)).toEqual(['no work to a leaving worker', 'no work to an emptied zone']);
  });

  it('when retries or pulls from the model store exceed their limits', () => {
    const oracle = new Oracle();
    for (let place = 0; place < 12; place += 1) {
      oracle.requestSent(`id-${place}`, true);
      oracle.attemptSent(`id-${place}`, place);
      oracle.attemptSent(`id-${place}`, place);
    }
    expect(rules(oracle)).toEqual([]);
    oracle.attemptSent('id-0', 20);
    for (let pull = 0; pull < 3; pull += 1) oracle.storePulled(2, pull);
    expect([...new Set(rules(oracle))]).toEqual([
      'retries stay within the budget',
      'the store is not asked too often',
    ]);
  });

  it('when two nodes hold the singleton lease or send orders to the same worker', () => {
    const oracle = new Oracle();
    oracle.checkSingletonLease(['core-0', 'core-1'], 0);
    oracle.orderStarted('w', 'core-0', 1, 0);
    oracle.orderStarted('w', 'core-1', 2, 0);
    expect(rules(oracle)).toEqual(['one holder of the duty', 'one node orders a worker']);
  });
});

describe('the simulator', () => {
  it('produces the same timeline and frame count every time a seed runs', () => {
    const one = runTrial(3, SITE_SIZES.small);
    const other = runTrial(3, SITE_SIZES.small);
    expect(one.timeline).toEqual(other.timeline);
    expect(one.frames).toEqual(other.frames);
  });

  it('renders a timeline with one column per node', () => {
    const drawn = renderTimeline(
      ['a', 'b'],
      [
        { atMs: 5, node: 'b', text: 'boots' },
        { atMs: 7, node: '', text: 'cut' },
      ],
    );
    expect(drawn.split('\n').map((line) => line.trimEnd())).toEqual([
      '      ms  a                     b',
      '       5                        boots',
      '       7  ---- cut',
    ]);
  });
});
