import { describe, it } from 'node:test';
import { expect } from 'earl';
import { mergePatch, readSpec, SPEC_MAX_BYTES } from './spec.js';
import { applyToStage, decodeStage, EMPTY_STAGE, encodeStage, type Stage } from './stage.js';

function good(): Record<string, unknown> {
  return {
    deployment: 'd',
    zones: ['north', 'south'],
    store: { pullsPerMinute: 60, concurrentPulls: 2 },
    workers: { roomMb: 1000, slots: 4 },
    models: [{ name: 'm', sizeMb: 900 }],
    adapters: [{ name: 'a', model: 'm', sizeMb: 50 }],
    groups: [{ name: 'g', share: 1, kinds: [{ name: 'k', targetMs: 100, patienceMs: 1000 }], models: ['m'] }],
    routes: [{ path: '/v1/chat/completions', serve: 'chat' }],
  };
}

function faultsOf(change: Record<string, unknown>): string[] {
  const read = readSpec(JSON.stringify({ ...good(), ...change }));
  return read.isErr ? read.error.map((one) => one.path) : [];
}

function put(state: Stage, base: number | undefined, text: string): ReturnType<typeof applyToStage> {
  return applyToStage(state, { id: 'op', kind: 'spec.put', payload: JSON.stringify({ base, text }) });
}

describe('spec', () => {
  it('is taken when it is sound', () => {
    expect(readSpec(JSON.stringify(good())).isOk).toEqual(true);
  });

  it('is refused whole, with the path of every fault', () => {
    expect(faultsOf({ extra: 1, zones: [] })).toEqual(['zones', 'extra']);
    expect(faultsOf({ models: [{ name: 'm', sizeMb: 1200 }] })).toEqual(['models.0.sizeMb', 'adapters.0.sizeMb']);
    expect(faultsOf({ adapters: [{ name: 'a', model: 'x', sizeMb: 1 }] })).toEqual(['adapters.0.model']);
    expect(faultsOf({ zones: ['north', 'north'] })).toEqual(['zones.1']);
    expect(faultsOf({ groups: [{ name: 'g', share: 1, kinds: [{ name: 'k', targetMs: 1, patienceMs: 1 }], models: ['x'] }] })).toEqual([
      'groups.0.models.0',
    ]);
  });

  it('is refused when empty, not JSON or far too large', () => {
    const texts = ['', ' ', '{', `"${'x'.repeat(SPEC_MAX_BYTES)}"`];
    expect(texts.map((text) => readSpec(text).isErr)).toEqual([true, true, true, true]);
  });
});

describe('stage', () => {
  it('lets one of two racing operators win, and tells the other what is in force', () => {
    const first = put(EMPTY_STAGE, 0, JSON.stringify(good()));
    const second = put(first.state, 0, JSON.stringify({ ...good(), deployment: 'e' }));
    expect([first.outcome.kind, second.outcome.kind, second.outcome.detail]).toEqual(['agreed', 'conflict', 'version 1 is in force, not 0']);
    expect(second.state).toEqual(first.state);
  });

  it('changes nothing for a bad spec or an unknown operation', () => {
    expect(put(EMPTY_STAGE, 0, '{}').state).toEqual(EMPTY_STAGE);
    expect(applyToStage(EMPTY_STAGE, { id: '1', kind: 'no', payload: '{}' }).outcome.kind).toEqual('bad-request');
    expect(applyToStage(EMPTY_STAGE, { id: '1', kind: 'place', payload: 'x' }).state).toEqual(EMPTY_STAGE);
  });

  it('merges a change, and refuses one that breaks the spec', () => {
    const { state } = put(EMPTY_STAGE, 0, JSON.stringify(good()));
    function change(patch: unknown): ReturnType<typeof applyToStage> {
      return applyToStage(state, { id: 'c', kind: 'spec.change', payload: JSON.stringify({ base: 1, patch }) });
    }
    expect(change({ store: { concurrentPulls: 3 } }).state.spec?.spec.store).toEqual({ pullsPerMinute: 60, concurrentPulls: 3 });
    expect(change({ zones: null }).outcome.kind).toEqual('bad-spec');
  });

  it('empties and restores zones it knows, and forgets an emptied zone that the spec drops', () => {
    const { state } = put(EMPTY_STAGE, 0, JSON.stringify(good()));
    const emptied = applyToStage(state, { id: 'z', kind: 'zone.empty', payload: '{"zone":"north"}' });
    expect(emptied.state.emptied).toEqual(['north']);
    expect(applyToStage(state, { id: 'z', kind: 'zone.empty', payload: '{"zone":"x"}' }).outcome.kind).toEqual('not-found');
    expect(put(emptied.state, 1, JSON.stringify({ ...good(), zones: ['south'] })).state.emptied).toEqual([]);
  });

  it('refuses a placement from an epoch that is over', () => {
    const later = applyToStage(EMPTY_STAGE, { id: 'p', kind: 'place', payload: '{"epoch":5,"workers":{}}' });
    const older = applyToStage(later.state, { id: 'q', kind: 'place', payload: '{"epoch":4,"workers":{"w":[]}}' });
    expect(older.outcome.kind).toEqual('conflict');
  });

  it('reads back what it wrote, and nothing else', () => {
    const { state } = put(EMPTY_STAGE, 0, JSON.stringify(good()));
    const read = decodeStage(encodeStage(state));
    expect(read.isOk && read.value).toEqual(state);
    expect(decodeStage(new TextEncoder().encode('{"version":1}')).isErr).toEqual(true);
  });
});

it('a merge patch takes away, merges and replaces', () => {
  expect(mergePatch({ a: 1, b: { c: 1, d: 2 }, e: [1] }, { a: null, b: { c: 3 }, e: [2] })).toEqual({ b: { c: 3, d: 2 }, e: [2] });
});
