import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Backlog } from './backlog.js';
import { Catalogue } from './catalogue.js';
import { DrainRate } from './drain-rate.js';
import { RetryBudget } from './retry-budget.js';
import { EventStreamValidator } from './event-stream.js';
import { testSpec } from './testing/gateway-harness.js';

describe('components of the gateway', () => {
  it('the backlog serves groups by weight, and within a group the earliest due request first', () => {
    const backlog = new Backlog();
    for (let key = 0; key < 40; key += 1) backlog.put({ key, group: key % 2, dueMs: 100 - key });
    const served = [0, 0];
    for (let index = 0; index < 16; index += 1) {
      const next = backlog.queuesInOrder()[0]?.[0];
      if (next === undefined) break;
      backlog.remove(next.key, next.group);
      backlog.charge(next.group, next.group === 0 ? 3 : 1);
      served[next.group] = (served[next.group] ?? 0) + 1;
    }
    expect(served).toEqual([12, 4]);
  });

  it('the retry budget earns 0.2 per first attempt up to its allowance; a new incarnation starts empty', () => {
    const budget = new RetryBudget();
    function spendAll(): number {
      let count = 0;
      while (budget.reserve()) count += Number(budget.spend());
      return count;
    }
    budget.setAllowance('incarnation-1', 3);
    const initial = spendAll();
    for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
    const earned = spendAll();
    for (let sent = 0; sent < 500; sent += 1) budget.recordFirstAttempt(0.2);
    budget.setAllowance('incarnation-1', 2);
    budget.setAllowance('incarnation-1', 4);
    const afterDecrease = spendAll();
    for (let sent = 0; sent < 500; sent += 1) budget.recordFirstAttempt(0.2);
    budget.setAllowance('incarnation-2', 4);
    expect([initial, earned, afterDecrease, spendAll()]).toEqual([0, 1, 2, 0]);
  });

  it('the retry budget reserves a token once only, and drops it when the incarnation changes', () => {
    const budget = new RetryBudget();
    budget.setAllowance('incarnation-1', 2);
    for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
    const reservations = [budget.reserve(), budget.reserve()];
    budget.release();
    reservations.push(budget.reserve());
    budget.setAllowance('incarnation-2', 2);
    expect([reservations, budget.spend()]).toEqual([[true, false, true], false]);
  });

  it('the catalogue finds the route of a path, or for lookups that of the nearest parent path', () => {
    const spec = {
      ...testSpec(),
      routes: [
        { path: '/look', serve: 'lookup' as const, pool: 'a' },
        { path: '/look/far', serve: 'lookup' as const, pool: 'b' },
        { path: '/chat', serve: 'chat' as const, pool: 'c' },
      ],
    };
    const catalogue = new Catalogue(spec);
    const paths = ['/look', '/look/1/2?x=/chat', '/look/far/1', '/looks', '/chat', '/chat/1', '/'];
    expect(paths.map((path) => catalogue.route(path)?.pool)).toEqual([
      'a',
      'a',
      'b',
      undefined,
      'c',
      undefined,
      undefined,
    ]);
  });

  it('the drain rate gives a retry time that grows with the backlog and is spread by jitter', () => {
    const rate = new DrainRate();
    const idle = rate.retryAfterS(0, 0, 0);
    for (let nowMs = 0; nowMs < 60_000; nowMs += 250) rate.recordSend(nowMs);
    const delays = [0, 0.5, 0.99].map((jitter) => rate.retryAfterS(40, jitter, 60_000));
    expect([idle, delays, rate.retryAfterS(4000, 0, 60_000)]).toEqual([1, [11, 16, 21], 60]);
  });

  it('the event stream validator recognizes a complete stream', () => {
    const validator = new EventStreamValidator();
    validator.take(Buffer.from('data: 1\n\ndata: [DONE]\n\n'));
    expect(validator.isComplete).toEqual(true);
  });
});
