import { describe, it } from 'node:test';
import { SeededRandom } from '@rainrun/common';
import { expect } from 'earl';
import type { Attempt, ChangeOrder, Outcome, Read, ZoneOrder } from './history.js';
import { checkLinearizable } from './linearizability.js';
import { checkZones } from './zone-history.js';

type Span = readonly [invokedMs: number, respondedMs: number, outcome: Outcome];

function attempts(spans: readonly Span[]): Attempt[] {
  return spans.map(([invokedMs, respondedMs, outcome]) => ({ invokedMs, respondedMs, outcome }));
}

function change(id: string, base: number, revision: number, ...spans: readonly Span[]): ChangeOrder {
  return { id, base, revision, valid: true, attempts: attempts(spans) };
}

function read(revision: number, changeId: string | undefined, invokedMs: number, respondedMs: number): Read {
  return { reader: 'operator', revision, changeId, invokedMs, respondedMs };
}

function violationsOf(changes: readonly ChangeOrder[], reads: readonly Read[] = []): readonly string[] {
  return checkLinearizable({ changes, reads }).violations;
}

/** Counts the histories in which the check finds a violation. */
function countFound(histories: readonly (readonly string[])[]): number {
  return histories.filter((violations) => violations.length > 0).length;
}

describe('the linearizability check accepts a correct history', () => {
  it('with sequential changes and reads between them', () => {
    const changes = [
      change('a', 0, 3, [0, 10, 'acknowledged']),
      change('b', 3, 5, [20, 30, 'acknowledged']),
      change('c', 5, 9, [40, 50, 'acknowledged']),
    ];
    const reads = [
      read(0, undefined, 0, 1),
      read(3, 'a', 12, 13),
      read(5, 'b', 41, 49),
      read(9, 'c', 42, 49),
      read(9, 'c', 60, 61),
    ];
    const result = checkLinearizable({ changes, reads });
    expect([result.violations, result.chain.map((link) => link.id)]).toEqual([[], ['a', 'b', 'c']]);
  });

  it('where one of two concurrent changes wins, also if the winner has no answer yet', () => {
    const first = change('a', 0, 3, [0, 10, 'acknowledged']);
    const loser = change('c', 3, 5, [20, 40, 'refused']);
    expect([
      violationsOf([first, change('b', 3, 5, [20, 30, 'acknowledged']), loser]),
      violationsOf([first, change('b', 3, 5, [20, Infinity, 'unknown']), loser]),
    ]).toEqual([[], []]);
  });

  it('where a change without an answer took effect never, at once or much later', () => {
    const first = change('a', 0, 3, [0, 10, 'acknowledged']);
    const unclear = change('b', 3, 5, [20, 1020, 'unknown']);
    expect([
      violationsOf([first, unclear], [read(3, 'a', 2000, 2010)]),
      violationsOf([first, unclear], [read(5, 'b', 21, 22)]),
      violationsOf([first, unclear], [read(3, 'a', 2000, 2010), read(5, 'b', 3000, 3010)]),
    ]).toEqual([[], [], []]);
  });

  it('where a change is sent again after a lost answer and acknowledged again', () => {
    const changes = [
      change('a', 0, 3, [0, 1000, 'unknown'], [1050, 1060, 'acknowledged'], [3000, 3010, 'acknowledged']),
      change('b', 3, 5, [1100, 1110, 'acknowledged']),
    ];
    expect(violationsOf(changes)).toEqual([]);
  });

  it('where the refused base came into force only during the attempt', () => {
    const changes = [
      change('a', 0, 3, [0, 100, 'acknowledged']),
      change('b', 3, 5, [10, 20, 'refused']),
      change('c', 3, 6, [200, 210, 'acknowledged']),
    ];
    expect(violationsOf(changes)).toEqual([]);
  });

  it('where invalid changes are refused', () => {
    const bad = { ...change('b', 3, 5, [20, 30, 'refused']), valid: false };
    const notAbove = change('c', 3, 3, [20, 30, 'refused']);
    expect(violationsOf([change('a', 0, 3, [0, 10, 'acknowledged']), bad, notAbove])).toEqual([]);
  });
});

describe('the linearizability check finds', () => {
  const first = change('a', 0, 3, [0, 10, 'acknowledged']);
  const second = change('b', 3, 5, [20, 30, 'acknowledged']);

  it('a lost acknowledged write, when a later read or change does not see it', () => {
    expect(
      countFound([
        violationsOf([first, second], [read(3, 'a', 40, 50)]),
        violationsOf([first, second, change('c', 3, 7, [40, 50, 'acknowledged'])]),
        violationsOf([first, second, change('c', 3, 7, [40, 50, 'unknown'])], [read(7, 'c', 60, 70)]),
        violationsOf([first], [read(0, undefined, 40, 50)]),
      ]),
    ).toEqual(4);
  });

  it('two concurrent changes that are both acknowledged, with different revisions or the same one', () => {
    expect(
      countFound([
        violationsOf([first, second, change('c', 3, 6, [20, 30, 'acknowledged'])]),
        violationsOf([first, second, change('c', 3, 5, [20, 30, 'acknowledged'])]),
      ]),
    ).toEqual(2);
  });

  it('a stale read, and a read of a change before it was sent', () => {
    expect(
      countFound([
        violationsOf([first, second], [read(3, 'a', 31, 32)]),
        violationsOf([first, second], [read(5, 'b', 15, 18)]),
      ]),
    ).toEqual(2);
  });

  it('a refused repeat of an accepted change, after its acknowledgement or after its effect was seen', () => {
    const repeated = change('b', 3, 5, [20, 30, 'acknowledged'], [40, 50, 'refused']);
    const seen = change('b', 3, 5, [20, 1020, 'unknown'], [1050, 1060, 'refused']);
    const builtUpon = [first, seen, change('c', 5, 8, [2000, 2010, 'acknowledged'])];
    expect(
      countFound([
        violationsOf([first, repeated]),
        violationsOf([first, seen], [read(5, 'b', 900, 910)]),
        violationsOf(builtUpon),
      ]),
    ).toEqual(3);
  });

  it('a refused change whose base was in force during the whole attempt', () => {
    expect(countFound([violationsOf([first, change('b', 3, 5, [20, 30, 'refused'])])])).toEqual(1);
  });

  it('an invalid change that is acknowledged or in force', () => {
    const bad = { ...change('b', 3, 5, [20, 30, 'acknowledged']), valid: false };
    const inForce = { ...change('b', 3, 5, [20, 1020, 'unknown']), valid: false };
    expect(
      countFound([
        violationsOf([first, bad]),
        violationsOf([first, inForce], [read(5, 'b', 40, 50)]),
        violationsOf([first, change('c', 3, 2, [20, 30, 'acknowledged'])]),
      ]),
    ).toEqual(3);
  });

  it('a revision that goes back between two reads, even if nothing was acknowledged', () => {
    const unclear = change('b', 3, 5, [20, 1020, 'unknown']);
    expect(
      countFound([violationsOf([first, unclear], [read(5, 'b', 30, 40), read(3, 'a', 50, 60)])]),
    ).toEqual(1);
  });

  it('a read of a change that was never sent', () => {
    expect(
      countFound([
        violationsOf([first], [read(4, 'x', 30, 40)]),
        violationsOf([first], [read(4, undefined, 30, 40)]),
      ]),
    ).toEqual(2);
  });

  it('reads of both of two concurrent changes without an answer', () => {
    const rivals = [change('b', 3, 5, [20, 1020, 'unknown']), change('c', 3, 5, [20, 1020, 'unknown'])];
    expect(
      countFound([violationsOf([first, ...rivals], [read(5, 'b', 30, 40), read(5, 'c', 50, 60)])]),
    ).toEqual(1);
  });
});

/**
 * Generates a random correct history of a simulated register, with lost answers, repeated and concurrent
 * changes.
 */
function randomHistory(seed: number, count: number): { changes: ChangeOrder[]; reads: Read[] } {
  const random = new SeededRandom(seed);
  const changes: ChangeOrder[] = [];
  const reads: Read[] = [];
  let current: ChangeOrder | undefined;
  let nowMs = 0;
  for (let place = 0; place < count; place += 1) {
    const base = current?.revision ?? 0;
    const rivals = Array.from({ length: random.next() < 0.3 ? 2 : 1 }, (_, rival) =>
      change(`${place}.${rival}`, base, base + 1 + Math.floor(random.next() * 3)),
    );
    const winner = rivals[Math.floor(random.next() * rivals.length)];
    changes.push(...rivals);
    for (const rival of rivals) {
      const lost = random.next() < 0.6;
      rival.attempts.push({
        invokedMs: nowMs,
        respondedMs: nowMs + 10,
        outcome: lost ? 'unknown' : rival === winner ? 'acknowledged' : 'refused',
      });
      if (lost && random.next() < 0.7)
        rival.attempts.push({
          invokedMs: nowMs + 20,
          respondedMs: nowMs + 30,
          outcome: rival === winner ? 'acknowledged' : 'refused',
        });
    }
    current = winner;
    if (random.next() < 0.5) reads.push(read(current?.revision ?? 0, current?.id, nowMs + 40, nowMs + 45));
    nowMs += 50;
  }
  return { changes, reads };
}

describe('the linearizability check on histories of many changes', () => {
  it('accepts them with few chains, despite lost answers, concurrent changes and changes without any answer', () => {
    const results = [1, 2, 3, 4, 5].map((seed) => checkLinearizable(randomHistory(seed, 1000)));
    expect(results.flatMap((result) => result.violations)).toEqual([]);
    expect(results.every((result) => result.chainsTried < 10)).toEqual(true);
  });

  it('rejects them with few chains when one read is stale', () => {
    const results = [1, 2, 3, 4, 5].map((seed) => {
      const { changes, reads } = randomHistory(seed, 500);
      const old = reads[40] as Read;
      const stale: Read = { ...old, reader: 'stale', invokedMs: 20_000, respondedMs: 20_010 };
      return checkLinearizable({ changes, reads: [...reads, stale] });
    });
    expect(results.map((result) => result.violations.length)).toEqual([1, 1, 1, 1, 1]);
    expect(results.every((result) => result.chainsTried < 10)).toEqual(true);
  });
});

describe('the check of evacuations', () => {
  function order(id: string, evacuated: boolean, ...spans: readonly Span[]): ZoneOrder {
    return { id, zone: 'north', evacuated, attempts: attempts(spans) };
  }
  function seen(atMs: number, evacuated: boolean): string[] {
    return checkZones(
      [
        order('evacuate', true, [0, 10, 'acknowledged']),
        order('return', false, [100, 1100, 'unknown'], [1150, 1160, 'acknowledged']),
        order('late', true, [2000, 3000, 'unknown']),
      ],
      [{ reader: 'core-0', zone: 'north', atMs, evacuated }],
    );
  }

  it('accepts an evacuation as in force from its acknowledgement until a return may have taken effect', () => {
    expect([seen(5, false), seen(5, true), seen(50, true), seen(500, true), seen(500, false)]).toEqual([
      [],
      [],
      [],
      [],
      [],
    ]);
    expect([seen(1500, false), seen(9000, true), seen(9000, false)]).toEqual([[], [], []]);
  });

  it('finds an evacuation that is lost, undone by a late repeat or refused', () => {
    expect(countFound([seen(50, false), seen(1500, true)])).toEqual(2);
    expect(checkZones([order('evacuate', true, [0, 10, 'refused'])], [])).toEqual([
      'order evacuate for zone north was refused',
    ]);
  });
});
