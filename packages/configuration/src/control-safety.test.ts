import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SeededRandom } from '@rainrun/common';
import {
  applyToDeployment,
  decodeDeployment,
  EMPTY_DEPLOYMENT,
  encodeDeployment,
  type Deployment,
} from './index.js';

type Document = Record<string, unknown>;
type ApplyResult = ReturnType<typeof applyToDeployment>;

function route(name: string, timeoutMs: number): Document {
  return { name, host: 'a.example', prefix: `/${name}/`, service: 'assist', kind: 'idempotent', timeoutMs };
}

function document(revision: number, timeoutMs = 1000): Document {
  return { revision, routes: [route('one', timeoutMs)], services: [{ name: 'assist' }] };
}

function put(state: Deployment, base: number | undefined, sent: Document): ApplyResult {
  return applyToDeployment(state, {
    kind: 'configuration.put',
    payload: JSON.stringify({ base, document: sent }),
  });
}

function patch(state: Deployment, base: number | undefined, revision: number, timeoutMs = 1000): ApplyResult {
  return applyToDeployment(state, {
    kind: 'configuration.patch',
    payload: JSON.stringify({ base, patch: { revision, set: { routes: [route('one', timeoutMs)] } } }),
  });
}

function setZone(
  state: Deployment,
  kind: 'zone.evacuate' | 'zone.return',
  name: string,
  seen: number,
): ApplyResult {
  return applyToDeployment(state, { kind, payload: JSON.stringify({ zone: name, seen }) });
}

/** The state after revisions 1 to `revision`, each a change of the one before. */
function stateAtRevision(revision: number): Deployment {
  let { state } = put(EMPTY_DEPLOYMENT, 0, document(1));
  while (state.revision < revision) ({ state } = patch(state, state.revision, state.revision + 1));
  return state;
}

function decodedAgain(state: Deployment): Deployment {
  const read = decodeDeployment(encodeDeployment(state));
  expect(read.isOk).toEqual(true);
  return read.isOk ? read.value : state;
}

describe('control safety, point 2: an order that is sent again', () => {
  it('is acknowledged again after hundreds of other changes, also once read back from a disk', () => {
    const state = stateAtRevision(600);
    const ends = [state, decodedAgain(state)].flatMap((held) => [
      put(held, 0, document(1)),
      patch(held, 1, 2),
      patch(held, 299, 300),
    ]);
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual(ends.map(() => 'agreed'));
    expect(ends.every((end) => end.state.revision === 600)).toEqual(true);
  });

  it('is left unclear, not refused, once the memory of taken changes no longer reaches back to it', () => {
    const state = decodedAgain(stateAtRevision(5000));
    const ends = [
      put(state, 0, document(1)),
      patch(state, 1, 2),
      patch(state, undefined, 2),
      patch(state, 4998, 4999),
    ];
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual([
      'operation-unknown',
      'operation-unknown',
      'operation-unknown',
      'agreed',
    ]);
    expect(ends.every((end) => end.state === state)).toEqual(true);
  });

  it('leaves changes that cannot have been taken refused, however long ago their revision was', () => {
    const state = stateAtRevision(5000);
    const ends = [
      put(state, 5000, document(2)),
      put(state, 5000, document(5000)),
      put(state, 0, { ...document(1), routes: [route('one', 0)] }),
      put(state, 7, document(5)),
      put(state, 4999, document(5003)),
    ];
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual([
      'bad-spec',
      'bad-spec',
      'bad-spec',
      'conflict',
      'conflict',
    ]);
  });

  it('is the same order only with the same base: a copy of the document in force on another base is refused', () => {
    const { state } = put(stateAtRevision(4), 4, document(7));
    const ends = [put(state, 4, document(7)), put(state, 7, document(7)), put(state, 3, document(7))];
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual(['agreed', 'bad-spec', 'conflict']);
  });

  it('is left unclear where it was taken by an earlier build, whose records cannot be compared', () => {
    const state = stateAtRevision(9);
    const earlier = { ...state, taken: [{ revision: 5, digest: 'QUJDREVGR0hJSktM' }] };
    const read = decodeDeployment(new TextEncoder().encode(JSON.stringify(earlier)));
    const held = read.isOk ? read.value : EMPTY_DEPLOYMENT;
    expect([patch(held, 4, 5).outcome.kind, patch(held, 9, 10).outcome.kind, held.revision]).toEqual([
      'operation-unknown',
      'agreed',
      9,
    ]);
  });

  it('is remembered in bounded space', () => {
    const small = encodeDeployment(stateAtRevision(2)).length;
    expect(encodeDeployment(stateAtRevision(5000)).length - small < 57 * 1024).toEqual(true);
  });

  it('is acknowledged whenever it comes again, and a refused one never is', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const dice = new SeededRandom(seed);
      let state = stateAtRevision(1);
      const taken = new Map<string, ConfigurationOperation>();
      const refused = new Map<string, ConfigurationOperation>();
      for (let step = 0; step < 300; step += 1) {
        const order = randomOperation(dice, state.revision);
        const key = JSON.stringify(order);
        const end = applyToDeployment(state, order);
        if (end.outcome.kind !== 'agreed') refused.set(key, order);
        else if (end.state !== state) taken.set(key, order);
        ({ state } = end);
        for (const earlier of randomSample(dice, [...taken.values()])) {
          const again = applyToDeployment(state, earlier);
          expect([again.outcome.kind, again.state === state]).toEqual(['agreed', true]);
        }
        for (const lost of randomSample(dice, [...refused.values()]))
          expect(applyToDeployment(state, lost).outcome.kind === 'agreed').toEqual(false);
      }
      expect([taken.size > 20, refused.size > 20]).toEqual([true, true]);
    }
  });
});

interface ConfigurationOperation {
  readonly kind: string;
  readonly payload: string;
}

/** A change on the revision in force or one just before it, with few contents, so that some are alike. */
function randomOperation(dice: SeededRandom, current: number): ConfigurationOperation {
  const base = Math.max(0, current - Math.floor(dice.next() * 3));
  const revision = current + Math.floor(dice.next() * 4) - 1;
  const timeoutMs = 10 + Math.floor(dice.next() * 4) * 10;
  return dice.next() < 0.5
    ? {
        kind: 'configuration.put',
        payload: JSON.stringify({ base, document: document(revision, timeoutMs) }),
      }
    : {
        kind: 'configuration.patch',
        payload: JSON.stringify({ base, patch: { revision, set: { routes: [route('one', timeoutMs)] } } }),
      };
}

function randomSample(
  dice: SeededRandom,
  orders: readonly ConfigurationOperation[],
): ConfigurationOperation[] {
  return Array.from({ length: 3 }, () => orders[Math.floor(dice.next() * orders.length)]).filter(
    (order) => order !== undefined,
  );
}

describe('control safety, point 2: two orders under one number', () => {
  it('are not both acknowledged, by PUT and PATCH in either order', () => {
    const state = stateAtRevision(5);
    const orders = [
      (held: Deployment) => put(held, 5, document(9, 50)),
      (held: Deployment) => patch(held, 5, 9, 60),
      (held: Deployment) => put(held, 5, document(9, 70)),
      (held: Deployment) => put(held, 5, document(8, 70)),
    ];
    for (const winner of orders) {
      const won = winner(state).state;
      const kinds = orders.map((order) => order(won).outcome.kind);
      expect(kinds).toEqual(orders.map((order) => (order === winner ? 'agreed' : 'conflict')));
    }
  });
});

describe('control safety, point 2: evacuations', () => {
  it('that come late do not undo a later return, nor the other way round', () => {
    const evacuated = setZone(EMPTY_DEPLOYMENT, 'zone.evacuate', 'west', 0).state;
    const returned = setZone(evacuated, 'zone.return', 'west', evacuated.edition).state;
    const again = setZone(returned, 'zone.evacuate', 'west', returned.edition).state;
    expect([
      setZone(returned, 'zone.evacuate', 'west', 0).outcome.kind,
      setZone(returned, 'zone.evacuate', 'west', evacuated.edition).outcome.kind,
      setZone(again, 'zone.return', 'west', evacuated.edition).outcome.kind,
      setZone(again, 'zone.evacuate', 'west', 0).outcome.kind,
      setZone(decodedAgain(returned), 'zone.evacuate', 'west', 0).outcome.kind,
    ]).toEqual([
      'operation-unknown',
      'operation-unknown',
      'operation-unknown',
      'agreed',
      'operation-unknown',
    ]);
  });

  it('of a zone that is not known yet are taken, of more zones than there can be refused', () => {
    let state = EMPTY_DEPLOYMENT;
    const kinds = new Set<string>();
    for (let place = 0; place < 2000; place += 1) {
      const end = setZone(state, 'zone.evacuate', `zone-${place}`, state.edition);
      kinds.add(end.outcome.kind);
      ({ state } = end);
    }
    expect([...kinds]).toEqual(['agreed', 'bad-request']);
    expect(state.evacuated.length).toEqual(1024);
    expect(setZone(state, 'zone.return', 'zone-1999', state.edition).outcome.kind).toEqual('agreed');
  });
});

describe('control safety, point 1: bad input', () => {
  const PARSED = [
    ['a revision beyond whole numbers', { document: document(2 ** 53) }],
    ['a revision that is not whole', { document: document(7.5) }],
    ['a revision below 1', { document: document(-7) }],
    ['a base below 0', { base: -1, document: document(7) }],
    ['a base that is not whole', { base: 0.5, document: document(7) }],
    ['no document', { base: 0 }],
    ['a list as the document', { base: 0, document: [] }],
  ] as const;
  for (const [what, payload] of PARSED) {
    it(`with ${what} is refused and changes nothing`, () => {
      const text = JSON.stringify({ base: 0, ...payload });
      const end = applyToDeployment(EMPTY_DEPLOYMENT, { kind: 'configuration.put', payload: text });
      expect([end.outcome.kind, end.state === EMPTY_DEPLOYMENT]).toEqual(['bad-spec', true]);
    });
  }

  it('that grows the configuration beyond what one message between nodes carries is refused', () => {
    const state = stateAtRevision(1);
    const big = 'x'.repeat(2 * 1024 * 1024);
    const ends = [
      put(state, 1, { ...document(2), note: big + big }),
      patchWith(state, 1, { revision: 2, set: { note: big + big } }),
    ];
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual(['too-large', 'too-large']);
    const once = patchWith(state, 1, { revision: 2, set: { note: big } });
    const twice = patchWith(once.state, 2, { revision: 3, set: { more: big } });
    expect([once.outcome.kind, twice.outcome.kind]).toEqual(['agreed', 'too-large']);
  });

  it('with names of the object prototype changes nothing but the revision', () => {
    const state = stateAtRevision(1);
    const payload = '{"base":1,"patch":{"revision":2,"set":{"__proto__":{"routes":[]},"constructor":1}}}';
    const end = applyToDeployment(state, { kind: 'configuration.patch', payload });
    expect([end.outcome.kind, end.state.document]).toEqual(['agreed', { ...state.document, revision: 2 }]);
    expect(({} as Document)['routes']).toEqual(undefined);
  });
});

function patchWith(state: Deployment, base: number, change: Document): ApplyResult {
  return applyToDeployment(state, {
    kind: 'configuration.patch',
    payload: JSON.stringify({ base, patch: change }),
  });
}
