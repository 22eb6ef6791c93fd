import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { EntrySchema, OperationSchema } from '@rainrun/messages';
import { fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { VIEW } from '../testing/three-member-view.js';
import { advance, ANSWER_RETENTION_MS, type GroupState } from './group-state.js';
import type { StateMachine } from './state-machine.js';

describe('the answers of agreed operations', () => {
  const counter: StateMachine<number> = {
    empty: () => 0,
    encode: (state) => ({ application: new Uint8Array([state]), applicationExtension: new Uint8Array() }),
    decode: ({ application: bytes }) => Result.ok(bytes[0] ?? 0),
    withoutExtension: (state) => state,
    apply: (state, operation) =>
      operation.kind === 'add'
        ? { state: state + 1, outcome: { kind: 'agreed', detail: '' } }
        : { state, outcome: fault('bad-request', 'no such kind') },
  };
  const initial: GroupState<number> = {
    epoch: 1,
    number: 1,
    deployment: 'd',
    view: VIEW,
    previousView: undefined,
    voters: [],
    previousVoters: [],
    application: 0,
    answers: [],
    level: 1,
    clockMs: 0,
  };

  it('ensure that an operation takes effect once for each id, and a rejected one never', () => {
    const operations = ['x', 'x', 'y'].map((id) =>
      create(OperationSchema, { id, kind: id === 'y' ? 'no' : 'add' }),
    );
    const first = advance(counter, initial, 1, create(EntrySchema, { operations }));
    const second = advance(counter, first, 1, create(EntrySchema, { operations }));
    expect([first.application, second.application, second.number]).toEqual([1, 1, 3]);
    expect(second.answers.map((answer) => `${answer.id} ${answer.kind}@${answer.number}`)).toEqual([
      'x agreed@2',
      'y bad-request@2',
    ]);
  });

  it("are retained for ten minutes of the group's clock, and those of transient operations for less", () => {
    function add(
      state: GroupState<number>,
      id: string,
      elapsedMs: number,
      transient = false,
    ): GroupState<number> {
      return advance(
        counter,
        state,
        1,
        create(EntrySchema, {
          level: 2,
          elapsedMs,
          operations: [create(OperationSchema, { id, kind: 'add', transient })],
        }),
      );
    }
    let state = add(initial, 'first', 5);
    for (let index = 0; index < 600; index += 1) state = add(state, `place-${index}`, 900, true);
    const withinRetention = add(state, 'first', ANSWER_RETENTION_MS - 600 * 900);
    const afterRetention = add(state, 'first', ANSWER_RETENTION_MS - 600 * 900 + 1);
    expect([
      state.application,
      withinRetention.application,
      afterRetention.application,
      state.answers.length,
    ]).toEqual([601, 601, 602, 65]);
  });
});
