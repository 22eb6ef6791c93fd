import { it } from 'node:test';
import { expect } from 'earl';
import { faultsOf } from './check.js';
import { timesOf } from './point.js';
import { readSizes } from './sizes.js';
import { slopeOf } from './slope.js';
import { configuration, initialModelCount, worker, zoneOf } from './site.js';

const REST = { models: 40, adapters: 450, routes: 3, asked: 2 };

it('parses sizes given as edges or as edges and workers, and reports malformed ones', () => {
  expect(readSizes('8, 870,16x100', REST)).toEqual([
    { ...REST, nodes: 8, rows: 67 },
    { ...REST, nodes: 870, rows: 7300 },
    { ...REST, nodes: 16, rows: 100 },
  ]);
  expect([readSizes('1', REST), readSizes('8,x', REST)].map((found) => typeof found)).toEqual([
    'string',
    'string',
  ]);
});

it('fits the exact line to collinear points and the mean to points with equal x; takes medians', () => {
  expect(
    slopeOf([
      [0, 1],
      [2, 5],
      [4, 9],
    ]),
  ).toEqual({ base: 1, each: 2 });
  expect(
    slopeOf([
      [1, 1],
      [1, 3],
    ]),
  ).toEqual({ base: 2, each: 0 });
  expect([timesOf([9, 1, 2]), timesOf([])]).toEqual([
    { count: 3, middle: 2, most: 9 },
    { count: 0, middle: 0, most: 0 },
  ]);
});

it('creates a site with 23 zones in which half of the models are loaded at first', () => {
  const size = { ...REST, nodes: 8, rows: 300 };
  const workers = Array.from({ length: size.rows }, (_, index) => worker(index, size, 1));
  const models = new Set(workers.flatMap((entry) => entry.models.map(([model]) => model)));
  expect([
    new Set(workers.map((entry) => entry.zone)).size,
    models.size,
    initialModelCount(size),
    zoneOf(23),
  ]).toEqual([23, 20, 20, 'zone-00']);
  expect((configuration(size)['routes'] as unknown[]).length).toEqual(3);
});

it('reports a fault when there are no points to check', () => {
  expect(faultsOf([])).toEqual(['no size was played']);
});
