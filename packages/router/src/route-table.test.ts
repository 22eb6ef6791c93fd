import { describe, it } from 'node:test';
import { checkConfiguration, type Configuration } from '@rainrun/configuration';
import { expect } from 'earl';
import { RouteTable } from './route-table.js';

function route(
  name: string,
  host: string,
  prefix: string,
  change: Record<string, unknown> = { service: 'one' },
): Record<string, unknown> {
  return { name, host, prefix, timeoutMs: 1000, ...change };
}

function table(...routes: readonly Record<string, unknown>[]): RouteTable {
  const checked = checkConfiguration({ revision: 1, routes, services: [{ name: 'one' }, { name: 'two' }] });
  return new RouteTable(
    checked.isOk ? checked.value : ({ routes: [], services: [] } as unknown as Configuration),
  );
}

describe('the route of a request', () => {
  it('is the one of its host with the longest prefix of its path', () => {
    const routes = table(
      route('short', 'a.example', '/x/'),
      route('long', 'a.example', '/x/y/'),
      route('other', 'b.example', '/x/y/z/'),
    );
    const found = [
      ['a.example', '/x/y/z/1'],
      ['a.example', '/x/z'],
      ['A.EXAMPLE', '/x/y/'],
      ['b.example', '/x/y/z/'],
      ['b.example', '/x/y'],
      ['c.example', '/x/'],
      ['a.example', '/x'],
    ] as const;
    expect(found.map(([host, path]) => routes.find(host, path)?.name)).toEqual([
      'long',
      'short',
      'long',
      'other',
      undefined,
      undefined,
      undefined,
    ]);
  });

  it('selects a service by the split weights: the same for the same id, and never one of weight 0', () => {
    const routes = table(
      route('split', 'a.example', '/', {
        service: null,
        split: [
          { service: 'one', weight: 90 },
          { service: 'two', weight: 10 },
        ],
      }),
      route('none', 'b.example', '/', {
        service: null,
        split: [
          { service: 'one', weight: 5 },
          { service: 'two', weight: 0 },
        ],
      }),
    );
    const [split, none] = [routes.find('a.example', '/'), routes.find('b.example', '/')];
    let two = 0;
    let wrong = 0;
    for (let place = 0; place < 2000; place += 1) {
      const id = `id-${place * 7919}`;
      const service = split === undefined ? '' : routes.target(split, id)?.service.name;
      if (service === 'two') two += 1;
      if (service !== (split === undefined ? '' : routes.target(split, id)?.service.name)) wrong += 1;
      if (none === undefined || routes.target(none, id)?.service.name !== 'one') wrong += 1;
    }
    expect([two > 120 && two < 300, wrong]).toEqual([true, 0]);
  });
});
