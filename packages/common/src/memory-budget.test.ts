import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget, type MemoryReservation } from './memory-budget.js';

/** A limit of 100 bytes, of which holders of more than 10 may use 75. */
const OPTIONS = { limitBytes: 100, smallBytes: 10 };
const STALLED_MS = 1000;

describe('a memory budget', () => {
  let nowMs = 0;
  let budget: MemoryBudget;
  let evicted: string[];

  beforeEach(() => {
    nowMs = 0;
    evicted = [];
    budget = new MemoryBudget({ ...OPTIONS, clock: { nowMs: () => nowMs } });
  });

  function open(name: string, bytes: number): MemoryReservation {
    const reservation = budget.open(() => evicted.push(name));
    expect(reservation.grow(bytes)).toEqual(true);
    return reservation;
  }

  it('refuses what would exceed the limit where nothing can give way', () => {
    open('whole', 75).canGiveWay = false;
    const late = budget.open(() => evicted.push('late'));
    expect(late.grow(11)).toEqual(false);
    expect(evicted).toEqual([]);
    expect(budget.counts).toEqual({ heldBytes: 75, limitBytes: 100, evicted: 0, refused: 1 });
  });

  it('keeps its last quarter for small holders', () => {
    open('whole', 75).canGiveWay = false;
    const small = budget.open(() => evicted.push('small'));
    expect([small.grow(10), small.grow(1)]).toEqual([true, false]);
  });

  it('makes the holder give way that has made no progress for longest', () => {
    open('first', 20);
    const second = open('second', 30);
    nowMs += STALLED_MS;
    open('third', 25);
    second.recordProgress();
    open('fourth', 15);
    expect(evicted).toEqual(['first']);
  });

  it('makes the largest holder give way where none has stalled, but only for one that holds less', () => {
    open('large', 40);
    open('middle', 20);
    const small = open('small', 5);
    expect(small.grow(20)).toEqual(true);
    expect(evicted).toEqual(['large']);
    const even = budget.open(() => evicted.push('even'));
    expect(even.grow(75)).toEqual(false);
    expect(evicted).toEqual(['large']);
  });

  it('holds nothing any more after its holders have released what they reserved', () => {
    const one = open('one', 40);
    one.shrinkTo(30);
    expect(budget.counts.heldBytes).toEqual(30);
    one.release();
    one.release();
    expect(budget.counts.heldBytes).toEqual(0);
  });

  it('takes a new limit', () => {
    budget.limitBytes = 200;
    open('large', 150);
    expect(budget.counts.limitBytes).toEqual(200);
  });
});

describe('a memory budget whose largest owner gives way', () => {
  let evicted: string[];
  let budget: MemoryBudget;

  beforeEach(() => {
    evicted = [];
    budget = new MemoryBudget({ ...OPTIONS, clock: { nowMs: () => 0 }, eviction: 'largest-owner' });
  });

  function open(name: string, owner: string, bytes: number): MemoryReservation {
    const reservation = budget.open(() => evicted.push(name), owner);
    expect(reservation.grow(bytes)).toEqual(true);
    return reservation;
  }

  it('evicts the largest holder of the owner that holds most', () => {
    open('flood 1', 'faulty', 25);
    open('flood 2', 'faulty', 20);
    open('sound 1', 'sound', 28);
    const late = budget.open(() => evicted.push('late'), 'other');
    expect(late.grow(20)).toEqual(true);
    expect(evicted).toEqual(['flood 1']);
  });

  it('evicts the one that asks where it is the largest of that owner', () => {
    open('flood 1', 'faulty', 20);
    const growing = open('flood 2', 'faulty', 40);
    expect(growing.grow(20)).toEqual(false);
    expect(evicted).toEqual(['flood 2']);
    expect(budget.counts.heldBytes).toEqual(20);
  });

  it('refuses, and blames nobody, where nobody who can give way holds much', () => {
    open('whole', 'sound', 70).canGiveWay = false;
    const late = budget.open(() => evicted.push('late'), 'sound');
    expect(late.grow(11)).toEqual(false);
    expect(evicted).toEqual([]);
    expect(budget.counts.refused).toEqual(1);
  });

  it('never evicts what cannot give way', () => {
    open('whole', 'faulty', 60).canGiveWay = false;
    open('flood', 'faulty', 5);
    open('flood 2', 'other', 10);
    const asking = budget.open(() => evicted.push('asking'), 'sound');
    expect(asking.grow(26)).toEqual(false);
    expect(evicted).toEqual(['asking']);
  });
});
