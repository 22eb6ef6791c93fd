import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DemandTotals, type EdgeDemand } from './demand-totals.js';

function demandFor(model: string, change: Partial<EdgeDemand> = {}): EdgeDemand {
  return {
    service: 'assist',
    model,
    adapter: '',
    waiting: 1,
    inFlight: 2,
    perS: 0.3,
    waitToTargetRatio: 0.5,
    meanTargetMs: 0,
    ...change,
  };
}

describe('the totals of demand', () => {
  it('sum over all edges, with the latest report of each edge', () => {
    const totals = new DemandTotals();
    totals.set('a', [demandFor('m'), demandFor('m', { adapter: 'a1' })], 0);
    totals.set('b', [demandFor('m'), demandFor('n', { waiting: 4 })], 0);
    totals.set('a', [demandFor('m', { waiting: 7 })], 10);
    const demand = totals.of('assist').get('m');
    expect([demand?.waiting, demand?.inFlight, totals.waiting]).toEqual([8, 4, 12]);
    expect(demand?.adapters.get('a1')?.waiting).toEqual(0);
  });

  it('keep the entries that a partial report does not include', () => {
    const totals = new DemandTotals();
    totals.set('a', [demandFor('m'), demandFor('n')], 0);
    totals.update('a', [demandFor('n', { waiting: 5 })], 10);
    expect([totals.of('assist').get('m')?.waiting, totals.of('assist').get('n')?.waiting]).toEqual([1, 5]);
    totals.set('a', [], 20);
    expect([totals.of('assist').size, totals.waiting]).toEqual([0, 0]);
  });

  it('are exactly zero after ten thousand reports have been replaced and have expired', () => {
    const totals = new DemandTotals();
    for (let turn = 0; turn < 10_000; turn += 1)
      totals.set(`e${turn % 7}`, [demandFor('m', { perS: 0.1 * turn })], turn);
    totals.expire(20_000);
    expect([totals.of('assist').size, totals.waiting]).toEqual([0, 0]);
  });
});
