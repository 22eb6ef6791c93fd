import { describe, it } from 'node:test';
import { expect } from 'earl';
import { mergePatch, readSpec, ROUTES_MAX, SPEC_MAX_BYTES, specFaultText } from './spec.js';
import {
  applyToSpecState,
  decodeSpecState,
  EMPTY_SPEC_STATE,
  encodeSpecState,
  type SpecState,
} from './spec-state.js';

function validSpec(): Record<string, unknown> {
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

function faultPathsOf(change: Record<string, unknown>): string[] {
  const read = readSpec(JSON.stringify({ ...validSpec(), ...change }));
  return read.isErr ? read.error.map((one) => one.path) : [];
}

function put(state: SpecState, base: number | undefined, text: string): ReturnType<typeof applyToSpecState> {
  return applyToSpecState(state, { id: 'op', kind: 'spec.put', payload: JSON.stringify({ base, text }) }, 2);
}

describe('spec', () => {
  it('is accepted when it is valid', () => {
    expect(readSpec(JSON.stringify(validSpec())).isOk).toEqual(true);
  });

  it('is refused as a whole, with the path of every fault', () => {
    expect(faultPathsOf({ extra: 1, zones: [] })).toEqual(['zones', 'extra']);
    expect(faultPathsOf({ models: [{ name: 'm', sizeMb: 1200 }] })).toEqual([
      'models.0.sizeMb',
      'adapters.0.sizeMb',
    ]);
    expect(faultPathsOf({ adapters: [{ name: 'a', model: 'x', sizeMb: 1 }] })).toEqual(['adapters.0.model']);
    expect(faultPathsOf({ zones: ['north', 'north'] })).toEqual(['zones.1']);
    expect(
      faultPathsOf({
        groups: [{ name: 'g', share: 1, kinds: [{ name: 'k', targetMs: 1, patienceMs: 1 }], models: ['x'] }],
      }),
    ).toEqual(['groups.0.models.0']);
  });

  it('is accepted with the largest number of routes, and refused with one more', () => {
    function withRoutes(count: number): string {
      return JSON.stringify({
        ...validSpec(),
        routes: Array.from({ length: count }, (_, index) => ({ path: `/r/${index}`, serve: 'chat' })),
      });
    }
    const over = readSpec(withRoutes(ROUTES_MAX + 1));
    expect([readSpec(withRoutes(ROUTES_MAX)).isOk, over.isErr && specFaultText(over.error)]).toEqual([
      true,
      'routes: more than 10000 routes',
    ]);
  });

  it('is refused if it is empty, not JSON or too large', () => {
    const texts = ['', ' ', '{', `"${'x'.repeat(SPEC_MAX_BYTES)}"`];
    expect(texts.map((text) => readSpec(text).isErr)).toEqual([true, true, true, true]);
  });
});

describe('spec state', () => {
  it('accepts one of two changes on the same base, and tells the other operator the version in force', () => {
    const first = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    const second = put(first.state, 0, JSON.stringify({ ...validSpec(), deployment: 'e' }));
    expect([first.outcome.kind, second.outcome.kind, second.outcome.detail]).toEqual([
      'agreed',
      'conflict',
      'version 1 is in force, not 0',
    ]);
    expect(second.state).toEqual(first.state);
  });

  it('stays unchanged after an invalid spec, an unknown operation or an invalid placement', () => {
    expect(put(EMPTY_SPEC_STATE, 0, '{}').state).toEqual(EMPTY_SPEC_STATE);
    expect(
      applyToSpecState(EMPTY_SPEC_STATE, { id: '1', kind: 'no', payload: '{}' }, 2).outcome.kind,
    ).toEqual('bad-request');
    expect(applyToSpecState(EMPTY_SPEC_STATE, { id: '1', kind: 'place', payload: 'x' }, 2).state).toEqual(
      EMPTY_SPEC_STATE,
    );
  });

  it('merges a change, and refuses one that makes the spec invalid', () => {
    const { state } = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    function change(patch: unknown): ReturnType<typeof applyToSpecState> {
      return applyToSpecState(
        state,
        { id: 'c', kind: 'spec.change', payload: JSON.stringify({ base: 1, patch }) },
        2,
      );
    }
    expect(change({ store: { concurrentPulls: 3 } }).state.spec?.spec.store).toEqual({
      pullsPerMinute: 60,
      concurrentPulls: 3,
    });
    expect(change({ zones: null }).outcome.kind).toEqual('bad-spec');
  });

  it('keeps concurrent edits of different entries, and refuses the second edit of the same entry', () => {
    const { state } = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    function edit(
      from: typeof state,
      seen: number,
      change: unknown,
      level = 2,
    ): ReturnType<typeof applyToSpecState> {
      return applyToSpecState(
        from,
        { id: 'e', kind: 'spec.edit', payload: JSON.stringify({ seen, edit: change }) },
        level,
      );
    }
    const one = edit(state, 1, { add: { zones: ['west'], routes: [{ path: '/a', serve: 'chat' }] } });
    const other = edit(one.state, 1, {
      add: { routes: [{ path: '/b', serve: 'chat' }] },
      set: { store: { pullsPerMinute: 9, concurrentPulls: 1 } },
    });
    const paths = other.state.spec?.spec.routes.map((route) => route.path) ?? [];
    expect([
      paths.includes('/a'),
      paths.includes('/b'),
      other.state.spec?.spec.zones.includes('west'),
    ]).toEqual([true, true, true]);
    expect(edit(other.state, 1, { replace: { routes: [{ path: '/a', serve: 'lookup' }] } }).outcome).toEqual({
      kind: 'conflict',
      detail: 'routes//a was changed in version 2, after version 1',
    });
    expect(edit(other.state, 3, { remove: { routes: ['/a'] } }).outcome.kind).toEqual('agreed');
    const wrong = [
      { add: { zones: ['west'] } },
      { remove: { models: ['x'] } },
      { add: { zones: ['w', 'w'] } },
      { add: { groups: [{}] } },
      { zones: [] },
    ];
    expect(wrong.map((change) => edit(other.state, 3, change).outcome)).toEqual([
      { kind: 'conflict', detail: 'add.zones.0: "west" is in zones already' },
      { kind: 'conflict', detail: 'remove.models.0: there is no "x" in models' },
      { kind: 'bad-request', detail: 'add.zones.1: zones/w is named a second time' },
      {
        kind: 'bad-request',
        detail: 'add.groups.0.name: Invalid key: Expected "name" but received undefined',
      },
      { kind: 'bad-request', detail: 'zones: Invalid key: Expected never but received "zones"' },
    ]);
    expect(edit(other.state, 9, {}).outcome.detail).toEqual(
      'made for version 9; version 3 is in force, and what was touched is known back to 0',
    );
    expect(edit(other.state, 3, {}, 1).outcome.detail).toEqual('no operation "spec.edit"');
  });

  it('refuses a merge patch that replaces a list as a whole, unless it names its base version', () => {
    const { state } = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    function patch(more: object): string {
      return applyToSpecState(
        state,
        {
          id: 'c',
          kind: 'spec.change',
          payload: JSON.stringify({ patch: { zones: validSpec().zones }, ...more }),
        },
        2,
      ).outcome.kind;
    }
    expect([patch({}), patch({ base: 1 }), patch({ base: 7 })]).toEqual([
      'bad-request',
      'agreed',
      'conflict',
    ]);
  });

  it('evacuates only zones of the spec, and forgets an evacuated zone that a new spec drops', () => {
    const { state } = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    const emptied = applyToSpecState(state, { id: 'z', kind: 'zone.empty', payload: '{"zone":"north"}' }, 2);
    expect(emptied.state.evacuatedZones).toEqual(['north']);
    expect(
      applyToSpecState(state, { id: 'z', kind: 'zone.empty', payload: '{"zone":"x"}' }, 2).outcome.kind,
    ).toEqual('not-found');
    expect(
      put(emptied.state, 1, JSON.stringify({ ...validSpec(), zones: ['south'] })).state.evacuatedZones,
    ).toEqual([]);
  });

  it('refuses a placement from an older epoch', () => {
    const later = applyToSpecState(
      EMPTY_SPEC_STATE,
      { id: 'p', kind: 'place', payload: '{"epoch":5,"workers":{}}' },
      2,
    );
    const older = applyToSpecState(
      later.state,
      { id: 'q', kind: 'place', payload: '{"epoch":4,"workers":{"w":[]}}' },
      2,
    );
    expect(older.outcome.kind).toEqual('conflict');
  });

  it('is decoded as it was encoded, and incomplete bytes are refused', () => {
    const { state } = put(EMPTY_SPEC_STATE, 0, JSON.stringify(validSpec()));
    const read = decodeSpecState(encodeSpecState(state));
    expect(read.isOk && read.value).toEqual(state);
    expect(
      decodeSpecState({
        application: new TextEncoder().encode('{"version":1}'),
        applicationExtension: new Uint8Array(),
      }).isErr,
    ).toEqual(true);
  });
});

it('a merge patch removes keys, merges objects and replaces other values', () => {
  expect(mergePatch({ a: 1, b: { c: 1, d: 2 }, e: [1] }, { a: null, b: { c: 3 }, e: [2] })).toEqual({
    b: { c: 3, d: 2 },
    e: [2],
  });
});
