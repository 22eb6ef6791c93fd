import { it } from 'node:test';
import type { Seen } from '@rainrun/load-generator';
import { expect } from 'earl';
import { differences } from './compare.js';

function seen(outcome: string, now: string, firstPieceMs: number): Seen {
  const call = {
    atMs: 0,
    group: 'g',
    kind: 'k',
    path: '/',
    model: 'm',
    adapter: '',
    stream: true,
    prefix: 0,
    chars: 1,
    outcome,
    worker: 'w1',
    firstPieceMs: 10,
  };
  return { call, id: 'i', outcome: now, ran: 'yes', firstPieceMs, wholeMs: 1, beganMs: 0, edge: 'e' };
}

it('a replay says what differs in answers, assignments and latencies', () => {
  const found = differences([
    { seen: seen('served', 'served', 20), worker: 'w1' },
    { seen: seen('served', 'no-worker', 5), worker: 'w2' },
    { seen: seen('served', 'served', 30), worker: undefined },
  ]);
  expect(found).toEqual({
    calls: 3,
    outcomes: { 'served -> no-worker': 1 },
    sameWorker: 1,
    otherWorker: 1,
    ratioP50: 3,
    ratioP95: 3,
  });
});
