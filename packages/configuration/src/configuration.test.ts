import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkConfiguration } from './configuration.js';
import { applyToDeployment, EMPTY_DEPLOYMENT, type Deployment } from './deployment.js';
import { decodeDeployment, encodeDeployment } from './deployment-codec.js';

type Document = Record<string, unknown>;

function route(name: string, change: Document = {}): Document {
  return {
    name,
    host: 'a.example',
    prefix: `/${name}/`,
    service: 'assist',
    kind: 'idempotent',
    timeoutMs: 1000,
    ...change,
  };
}

function document(revision: number, change: Document = {}): Document {
  return { revision, routes: [route('one')], services: [{ name: 'assist' }, { name: 'lookup' }], ...change };
}

function faultOf(data: unknown): string {
  const checked = checkConfiguration(data);
  return checked.isOk ? 'none' : `${checked.error.kind}: ${checked.error.detail}`;
}

function put(
  state: Deployment,
  base: number | undefined,
  sent: Document,
): ReturnType<typeof applyToDeployment> {
  return applyToDeployment(state, {
    kind: 'configuration.put',
    payload: JSON.stringify({ base, document: sent }),
  });
}

function patch(state: Deployment, base: number, change: Document): ReturnType<typeof applyToDeployment> {
  return applyToDeployment(state, {
    kind: 'configuration.patch',
    payload: JSON.stringify({ base, patch: change }),
  });
}

function atRevision5(): Deployment {
  return put(EMPTY_DEPLOYMENT, 0, document(5)).state;
}

function namesIn(state: Deployment): unknown[] {
  return (state.document?.['routes'] as Document[]).map((known) => known['name']);
}

describe('a configuration that is checked', () => {
  const invalid: [description: string, data: unknown, pattern: RegExp][] = [
    ['is not an object', 'text', /^bad-spec/],
    ['has no routes', { revision: 1, services: [] }, /routes/],
    ['has no services', { revision: 1, routes: [] }, /services/],
    ['has no revision', { routes: [], services: [] }, /revision/],
    ['has a revision of 0', document(0), /revision/],
    ['has a revision that is not an integer', document(1.5), /revision/],
    [
      'names an unknown service',
      document(1, { routes: [route('one', { service: 'nowhere' })] }),
      /routes\.0 \(one\): unknown service "nowhere"/,
    ],
    ['names no service', document(1, { routes: [route('one', { service: null })] }), /unknown service ""/],
    [
      'splits to an unknown service',
      document(1, { routes: [route('one', { service: null, split: [{ service: 'nowhere', weight: 1 }] })] }),
      /unknown service "nowhere"/,
    ],
    [
      'has weights that sum to 0',
      document(1, {
        routes: [
          route('one', {
            split: [
              { service: 'assist', weight: 0 },
              { service: 'lookup', weight: 0 },
            ],
          }),
        ],
      }),
      /weights sum to 0/,
    ],
    [
      'has a weight below 0',
      document(1, {
        routes: [
          route('one', {
            split: [
              { service: 'assist', weight: 2 },
              { service: 'lookup', weight: -1 },
            ],
          }),
        ],
      }),
      /weight/,
    ],
    [
      'has two routes with the same host and prefix',
      document(1, { routes: [route('one'), route('two', { prefix: '/one/' })] }),
      /routes\.1 \(two\): host and prefix "a.example \/one\/"/,
    ],
    [
      'has two routes with the same prefix whose hosts differ only in case',
      document(1, { routes: [route('one'), route('two', { host: 'A.Example', prefix: '/one/' })] }),
      /second time/,
    ],
    [
      'has a timeout of 0',
      document(1, { routes: [route('one', { timeoutMs: 0 })] }),
      /routes\.0\.timeoutMs: a time-out above 0/,
    ],
    ['has a timeout below 0', document(1, { routes: [route('one', { timeoutMs: -5 })] }), /timeoutMs/],
    ['has no timeout', document(1, { routes: [route('one', { timeoutMs: undefined })] }), /timeoutMs/],
    [
      'has a route of an unknown kind',
      document(1, { routes: [route('one', { kind: 'sometimes' })] }),
      /routes\.0\.kind/,
    ],
    [
      'has two services of one name',
      document(1, { services: [{ name: 'assist' }, { name: 'assist' }] }),
      /services/,
    ],
  ];
  for (const [description, data, pattern] of invalid) {
    it(`is refused when it ${description}`, () => {
      expect(pattern.test(faultOf(data))).toEqual(true);
    });
  }

  it('is accepted with the same prefix on another host, and with a part of weight 0 in a split', () => {
    const split = [
      { service: 'assist', weight: 0 },
      { service: 'lookup', weight: 3 },
    ];
    expect(
      faultOf(
        document(1, {
          routes: [
            route('one'),
            route('two', { host: 'b.example', prefix: '/one/' }),
            route('three', { split }),
          ],
        }),
      ),
    ).toEqual('none');
  });

  it('keeps unknown fields at every depth', () => {
    const sent = document(1, {
      more: 1,
      routes: [route('one', { colour: 'red' })],
      services: [
        { name: 'assist', engine: { slots: 2, age: 3, models: [{ name: 'm', sizeMb: 4, tone: 'low' }] } },
      ],
    });
    const checked = checkConfiguration(sent);
    const found = checked.isOk ? (checked.value as unknown as Record<string, unknown>) : {};
    const text = JSON.stringify(found);
    expect([
      found['more'],
      text.includes('"colour":"red"'),
      text.includes('"age":3'),
      text.includes('"tone":"low"'),
    ]).toEqual([1, true, true, true]);
  });
});

describe('the replicated state of a deployment', () => {
  it('holds the document as it was sent', () => {
    const sent = document(5, { more: { deep: [1, null] } });
    const { state, outcome } = put(EMPTY_DEPLOYMENT, 0, sent);
    expect([outcome.kind, state.revision, state.edition, state.document]).toEqual(['agreed', 5, 1, sent]);
  });

  it('stays unchanged by a truncated, invalid, old or unknown operation, or one on another base', () => {
    const state = atRevision5();
    const results = [
      applyToDeployment(state, {
        kind: 'configuration.put',
        payload: JSON.stringify({ base: 5, document: document(9) }).slice(0, -9),
      }),
      put(state, 5, document(9, { routes: [route('one', { timeoutMs: 0 })] })),
      put(state, 5, document(4)),
      put(state, 0, document(5)),
      put(state, 5, document(5)),
      put(state, 4, document(9)),
      put(state, 9, document(10)),
      applyToDeployment(state, { kind: 'configuration.put', payload: '{"base":5}' }),
      applyToDeployment(state, { kind: 'configuration.turn', payload: '{}' }),
    ];
    expect(results.map(({ outcome }) => outcome.kind)).toEqual([
      'bad-request',
      'bad-spec',
      'bad-spec',
      'agreed',
      'bad-spec',
      'conflict',
      'conflict',
      'bad-spec',
      'bad-request',
    ]);
    expect(results.map((result) => result.state === state)).toEqual(results.map(() => true));
  });

  it('refuses another document under the revision in force', () => {
    expect(put(atRevision5(), 5, document(5, { more: 1 })).outcome.kind).toEqual('bad-spec');
  });

  it('accepts one of two changes on the same base, and acknowledges it again whenever it is repeated', () => {
    const state = atRevision5();
    const one = put(state, 5, document(7));
    const other = put(one.state, 5, document(8));
    const later = put(one.state, 7, document(9));
    const again = put(later.state, 5, document(7));
    expect([
      one.outcome.kind,
      other.outcome.kind,
      later.outcome.kind,
      again.outcome.kind,
      again.state.revision,
    ]).toEqual(['agreed', 'conflict', 'agreed', 'agreed', 9]);
  });

  it('refuses a change that lost to another one on the same base, also when it is repeated', () => {
    const state = put(atRevision5(), 5, document(7)).state;
    expect([put(state, 5, document(8)).outcome.kind, put(state, 5, document(8)).outcome.kind]).toEqual([
      'conflict',
      'conflict',
    ]);
  });

  it('remembers accepted changes after it is encoded and decoded, and invalid bytes are refused', () => {
    const read = decodeDeployment(encodeDeployment(put(atRevision5(), 5, document(7)).state));
    expect(read.isOk ? [put(read.value, 5, document(7)).outcome.kind, read.value.edition] : []).toEqual([
      'agreed',
      2,
    ]);
    expect(decodeDeployment(new TextEncoder().encode('{"edition":')).isErr).toEqual(true);
    expect(decodeDeployment(new TextEncoder().encode('{"edition":"x"}')).isErr).toEqual(true);
  });

  it('is patched by name: items are replaced, added and dropped, and the rest stays', () => {
    const state = put(
      EMPTY_DEPLOYMENT,
      0,
      document(5, { routes: [route('one'), route('two'), route('three')], limits: { idleMs: 9 }, more: 1 }),
    ).state;
    const { outcome, state: next } = patch(state, 5, {
      revision: 8,
      set: { routes: [route('two', { timeoutMs: 77 }), route('four')] },
      drop: { routes: ['one', 'unheard'] },
    });
    const two = (next.document?.['routes'] as Document[])[0];
    expect([
      outcome.kind,
      namesIn(next),
      two?.['timeoutMs'],
      next.document?.['more'],
      next.revision,
      next.document?.['revision'],
    ]).toEqual(['agreed', ['two', 'three', 'four'], 77, 1, 8, 8]);
  });

  it('accepts a patch in which two routes swap their prefixes', () => {
    const state = put(EMPTY_DEPLOYMENT, 0, document(5, { routes: [route('one'), route('two')] })).state;
    const result = patch(state, 5, {
      revision: 6,
      set: { routes: [route('one', { prefix: '/two/' }), route('two', { prefix: '/one/' })] },
    });
    expect(result.outcome.kind).toEqual('agreed');
  });

  it('refuses a patch that is invalid, old, on another base or before the first document', () => {
    const state = atRevision5();
    const kinds = [
      patch(state, 5, { revision: 8, drop: { services: ['assist'] } }),
      patch(state, 5, { revision: 8, set: { routes: [route('two', { prefix: '/one/' })] } }),
      patch(state, 5, { revision: 8, set: { routes: [route('two', { service: 'nowhere' })] } }),
      patch(state, 5, { revision: 5, drop: { routes: ['one'] } }),
      patch(state, 3, { revision: 8, drop: { routes: ['one'] } }),
      patch(state, 5, { revision: 'x' }),
      patch(EMPTY_DEPLOYMENT, 0, { revision: 8, set: { routes: [route('one')] } }),
    ].map(({ outcome }) => outcome.kind);
    expect(kinds).toEqual([
      'bad-spec',
      'bad-spec',
      'bad-spec',
      'bad-spec',
      'conflict',
      'bad-spec',
      'bad-spec',
    ]);
  });

  it('acknowledges a repeated patch without applying it again', () => {
    const change = { revision: 8, set: { routes: [route('two')] } };
    const state = patch(atRevision5(), 5, change).state;
    const dropped = patch(state, 8, { revision: 9, drop: { routes: ['two'] } }).state;
    const again = patch(dropped, 5, change);
    expect([again.outcome.kind, again.state === dropped, namesIn(again.state)]).toEqual([
      'agreed',
      true,
      ['one'],
    ]);
  });

  it('evacuates and returns zones, and acknowledges a repeated evacuation or return without a change', () => {
    function zone(state: Deployment, kind: string, name: string): ReturnType<typeof applyToDeployment> {
      return applyToDeployment(state, { kind, payload: JSON.stringify({ zone: name }) });
    }
    const once = zone(EMPTY_DEPLOYMENT, 'zone.evacuate', 'west');
    const twice = zone(once.state, 'zone.evacuate', 'west');
    const both = zone(twice.state, 'zone.evacuate', 'east');
    const back = zone(both.state, 'zone.return', 'west');
    const none = zone(back.state, 'zone.return', 'west');
    expect([once, twice, both, back, none].map(({ outcome }) => outcome.kind)).toEqual([
      'agreed',
      'agreed',
      'agreed',
      'agreed',
      'agreed',
    ]);
    expect([twice.state.edition, both.state.evacuated, none.state.evacuated, none.state.edition]).toEqual([
      1,
      ['east', 'west'],
      ['east'],
      3,
    ]);
    expect([
      zone(EMPTY_DEPLOYMENT, 'zone.evacuate', '').outcome.kind,
      zone(EMPTY_DEPLOYMENT, 'zone.turn', 'west').outcome.kind,
    ]).toEqual(['bad-request', 'bad-request']);
  });
});
