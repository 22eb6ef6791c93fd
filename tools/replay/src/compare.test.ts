import { it } from 'node:test';
import type { Seen } from '@rainrun/load-generator';
import { expect } from 'earl';
import { compareReplay } from './compare.js';

function makeSeen(outcome: string, replayedOutcome: string, firstPieceMs: number): Seen {
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
  return {
    call,
    id: 'i',
    outcome: replayedOutcome,
    ran: 'yes',
    firstPieceMs,
    wholeMs: 1,
    beganMs: 0,
    edge: 'e',
  };
}

it('comparing a replay reports differences in outcomes, workers and latencies', () => {
  const found = compareReplay([
    { seen: makeSeen('served', 'served', 20), worker: 'w1' },
    { seen: makeSeen('served', 'no-worker', 5), worker: 'w2' },
    { seen: makeSeen('served', 'served', 30), worker: undefined },
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
