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

/** Returns the state after the revisions 1 to `revision`, each of which has the one before as its base. */
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

describe('control safety, point 2: an operation that is sent again', () => {
  it('is acknowledged again after hundreds of other changes, also from the decoded state', () => {
    const state = stateAtRevision(600);
    const results = [state, decodedAgain(state)].flatMap((restored) => [
      put(restored, 0, document(1)),
      patch(restored, 1, 2),
      patch(restored, 299, 300),
    ]);
    expect(results.map(({ outcome }) => outcome.kind)).toEqual(results.map(() => 'agreed'));
    expect(results.every((result) => result.state.revision === 600)).toEqual(true);
  });

  it('ends as operation-unknown, not as refused, once its record is forgotten', () => {
    const state = decodedAgain(stateAtRevision(5000));
    const results = [
      put(state, 0, document(1)),
      patch(state, 1, 2),
      patch(state, undefined, 2),
      patch(state, 4998, 4999),
    ];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual([
      'operation-unknown',
      'operation-unknown',
      'operation-unknown',
      'agreed',
    ]);
    expect(results.every((result) => result.state === state)).toEqual(true);
  });

  it('is refused if it cannot have been accepted, however old its revision is', () => {
    const state = stateAtRevision(5000);
    const results = [
      put(state, 5000, document(2)),
      put(state, 5000, document(5000)),
      put(state, 0, { ...document(1), routes: [route('one', 0)] }),
      put(state, 7, document(5)),
      put(state, 4999, document(5003)),
    ];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual([
      'bad-spec',
      'bad-spec',
      'bad-spec',
      'conflict',
      'conflict',
    ]);
  });

  it('counts as the same only with the same base: the document in force on another base is refused', () => {
    const { state } = put(stateAtRevision(4), 4, document(7));
    const results = [put(state, 4, document(7)), put(state, 7, document(7)), put(state, 3, document(7))];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual(['agreed', 'bad-spec', 'conflict']);
  });

  it('ends as operation-unknown if an earlier build accepted it, whose digests cannot be compared', () => {
    const state = stateAtRevision(9);
    const earlier = { ...state, taken: [{ revision: 5, digest: 'QUJDREVGR0hJSktM' }] };
    const read = decodeDeployment(new TextEncoder().encode(JSON.stringify(earlier)));
    const restored = read.isOk ? read.value : EMPTY_DEPLOYMENT;
    expect([
      patch(restored, 4, 5).outcome.kind,
      patch(restored, 9, 10).outcome.kind,
      restored.revision,
    ]).toEqual(['operation-unknown', 'agreed', 9]);
  });

  it('is remembered in bounded space', () => {
    const small = encodeDeployment(stateAtRevision(2)).length;
    expect(encodeDeployment(stateAtRevision(5000)).length - small < 57 * 1024).toEqual(true);
  });

  it('is acknowledged every time if it was accepted, and never if it was refused', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = new SeededRandom(seed);
      let state = stateAtRevision(1);
      const accepted = new Map<string, ConfigurationOperation>();
      const rejected = new Map<string, ConfigurationOperation>();
      for (let step = 0; step < 300; step += 1) {
        const operation = randomOperation(random, state.revision);
        const key = JSON.stringify(operation);
        const result = applyToDeployment(state, operation);
        if (result.outcome.kind !== 'agreed') rejected.set(key, operation);
        else if (result.state !== state) accepted.set(key, operation);
        ({ state } = result);
        for (const earlier of randomSample(random, [...accepted.values()])) {
          const again = applyToDeployment(state, earlier);
          expect([again.outcome.kind, again.state === state]).toEqual(['agreed', true]);
        }
        for (const rejectedOperation of randomSample(random, [...rejected.values()]))
          expect(applyToDeployment(state, rejectedOperation).outcome.kind === 'agreed').toEqual(false);
      }
      expect([accepted.size > 20, rejected.size > 20]).toEqual([true, true]);
    }
  });
});

interface ConfigurationOperation {
  readonly kind: string;
  readonly payload: string;
}

/**
 * Draws a change on the revision in force or one just before it. Few contents are possible, so that some are
 * equal.
 */
function randomOperation(random: SeededRandom, current: number): ConfigurationOperation {
  const base = Math.max(0, current - Math.floor(random.next() * 3));
  const revision = current + Math.floor(random.next() * 4) - 1;
  const timeoutMs = 10 + Math.floor(random.next() * 4) * 10;
  return random.next() < 0.5
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
  random: SeededRandom,
  operations: readonly ConfigurationOperation[],
): ConfigurationOperation[] {
  return Array.from({ length: 3 }, () => operations[Math.floor(random.next() * operations.length)]).filter(
    (operation) => operation !== undefined,
  );
}

describe('control safety, point 2: two changes under one revision', () => {
  it('are not both acknowledged, whichever of PUT and PATCH comes first', () => {
    const state = stateAtRevision(5);
    const operations = [
      (from: Deployment) => put(from, 5, document(9, 50)),
      (from: Deployment) => patch(from, 5, 9, 60),
      (from: Deployment) => put(from, 5, document(9, 70)),
      (from: Deployment) => put(from, 5, document(8, 70)),
    ];
    for (const winner of operations) {
      const won = winner(state).state;
      const kinds = operations.map((operation) => operation(won).outcome.kind);
      expect(kinds).toEqual(operations.map((operation) => (operation === winner ? 'agreed' : 'conflict')));
    }
  });
});

describe('control safety, point 2: evacuations', () => {
  it('that arrive late do not undo a later return, and late returns do not undo a later evacuation', () => {
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

  it('are accepted for an unknown zone, and refused beyond the largest number of zones', () => {
    let state = EMPTY_DEPLOYMENT;
    const kinds = new Set<string>();
    for (let index = 0; index < 2000; index += 1) {
      const result = setZone(state, 'zone.evacuate', `zone-${index}`, state.edition);
      kinds.add(result.outcome.kind);
      ({ state } = result);
    }
    expect([...kinds]).toEqual(['agreed', 'bad-request']);
    expect(state.evacuated.length).toEqual(1024);
    expect(setZone(state, 'zone.return', 'zone-1999', state.edition).outcome.kind).toEqual('agreed');
  });
});

describe('control safety, point 1: bad input', () => {
  const PARSED = [
    ['a revision beyond the safe integers', { document: document(2 ** 53) }],
    ['a revision that is not an integer', { document: document(7.5) }],
    ['a revision below 1', { document: document(-7) }],
    ['a base below 0', { base: -1, document: document(7) }],
    ['a base that is not an integer', { base: 0.5, document: document(7) }],
    ['no document', { base: 0 }],
    ['a list as the document', { base: 0, document: [] }],
  ] as const;
  for (const [description, payload] of PARSED) {
    it(`with ${description} is refused and changes nothing`, () => {
      const text = JSON.stringify({ base: 0, ...payload });
      const result = applyToDeployment(EMPTY_DEPLOYMENT, { kind: 'configuration.put', payload: text });
      expect([result.outcome.kind, result.state === EMPTY_DEPLOYMENT]).toEqual(['bad-spec', true]);
    });
  }

  it('that grows the configuration beyond what one message between nodes carries is refused', () => {
    const state = stateAtRevision(1);
    const big = 'x'.repeat(2 * 1024 * 1024);
    const results = [
      put(state, 1, { ...document(2), note: big + big }),
      patchWith(state, 1, { revision: 2, set: { note: big + big } }),
    ];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual(['too-large', 'too-large']);
    const once = patchWith(state, 1, { revision: 2, set: { note: big } });
    const twice = patchWith(once.state, 2, { revision: 3, set: { more: big } });
    expect([once.outcome.kind, twice.outcome.kind]).toEqual(['agreed', 'too-large']);
  });

  it('with names of the object prototype changes nothing but the revision', () => {
    const state = stateAtRevision(1);
    const payload = '{"base":1,"patch":{"revision":2,"set":{"__proto__":{"routes":[]},"constructor":1}}}';
    const result = applyToDeployment(state, { kind: 'configuration.patch', payload });
    expect([result.outcome.kind, result.state.document]).toEqual([
      'agreed',
      { ...state.document, revision: 2 },
    ]);
    expect(({} as Document)['routes']).toEqual(undefined);
  });
});

function patchWith(state: Deployment, base: number, change: Document): ApplyResult {
  return applyToDeployment(state, {
    kind: 'configuration.patch',
    payload: JSON.stringify({ base, patch: change }),
  });
}
