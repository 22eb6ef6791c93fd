import { describe, it } from 'node:test';
import { expect } from 'earl';
import { headerValue } from './headers.js';
import {
  HEADER_NAMES,
  RouterHarness,
  worker,
  type SentRequest,
  type TestTenant,
} from './testing/router-harness.js';

const HIGH = { name: 'high', apiKeys: ['high'], priority: 0 };
const LOW = { name: 'low', apiKeys: ['low'], priority: 9 };
const MIDDLE = { name: 'middle', apiKeys: ['middle'] };
/** A worker with these slots takes so many requests of one edge at once. */
const SLOTS = 2;

function holderOf(sent: SentRequest): string {
  return headerValue(sent.request.headers, HEADER_NAMES.tenant) ?? '';
}

function priorityOf(harness: RouterHarness, target: string, apiKey: string): string | undefined {
  harness.submit(target, { apiKey });
  return headerValue(harness.lastSent().request.headers, HEADER_NAMES.priority);
}

function withTenants(tenants: readonly TestTenant[] | undefined): RouterHarness {
  const harness = new RouterHarness([worker('w1', { slots: SLOTS })]);
  harness.setTenants(tenants);
  return harness;
}

/** Fills the worker, and returns the requests that fill it. */
function fill(harness: RouterHarness, apiKey: string | undefined): SentRequest[] {
  for (let count = 0; count < SLOTS; count += 1) harness.submit('/often/x', { apiKey });
  const filling = harness.link.sent.slice(-SLOTS);
  for (const sent of filling) sent.start();
  return filling;
}

describe('a tenant whose requests wait', () => {
  it('goes before a tenant of less priority, and before it whatever the route and the arrival', () => {
    const harness = withTenants([HIGH, LOW, MIDDLE]);
    const filling = fill(harness, 'high');
    harness.submit('/tell/x', { apiKey: 'low' });
    harness.submit('/often/x', { apiKey: 'middle' });
    harness.submit('/often/x', { apiKey: 'high' });
    for (const sent of filling) sent.answer(200, 'ok');
    harness.advance(1);
    harness.advance(1);
    expect(harness.link.sent.slice(SLOTS).map(holderOf)).toEqual(['high', 'middle']);
  });

  it('goes by route, then arrival, within one priority and where there are no tenants', () => {
    for (const tenants of [undefined, [MIDDLE]]) {
      const harness = withTenants(tenants);
      const filling = fill(harness, 'middle');
      harness.submit('/often/first', { apiKey: 'middle' });
      harness.advance(1);
      harness.submit('/often/second', { apiKey: 'middle' });
      harness.submit('/tell/urgent', { apiKey: 'middle' });
      for (const sent of filling) sent.answer(200, 'ok');
      harness.advance(1);
      expect(harness.link.sent.slice(SLOTS).map(({ request }) => request.target)).toEqual([
        '/tell/urgent',
        '/often/first',
      ]);
    }
  });

  it('is served though more urgent tenants alone would fill every worker, and before its time has passed', () => {
    const harness = withTenants([HIGH, LOW]);
    fill(harness, 'high');
    const low = harness.submit('/often/low', { apiKey: 'low', deadlineMs: 1500 });
    const startMs = harness.nowMs;
    let servedMs: number | undefined;
    while (servedMs === undefined && harness.nowMs - startMs < 1500) {
      // More of the high tenant than the worker takes: some always wait, and some arrive just as a place is free.
      for (let count = 0; count < 2 * SLOTS; count += 1) harness.submit('/often/high', { apiKey: 'high' });
      const [oldest] = harness.link.sent.slice(-SLOTS);
      oldest?.start();
      oldest?.answer(200, 'ok');
      harness.submit('/often/high', { apiKey: 'high' });
      harness.advance(10);
      if (harness.link.sent.some((sent) => holderOf(sent) === 'low')) servedMs = harness.nowMs - startMs;
    }
    expect(low.sink.calls).toEqual([]);
    expect([servedMs !== undefined, servedMs !== undefined && servedMs < 750]).toEqual([true, true]);
  });

  it('loses no place that has just come free to a newcomer of less urgency', () => {
    const harness = withTenants([HIGH, LOW]);
    const [one] = fill(harness, 'high');
    harness.submit('/often/waiting', { apiKey: 'high' });
    one?.answer(200, 'ok');
    harness.submit('/often/new', { apiKey: 'low' });
    expect(harness.link.sent.slice(SLOTS).map(holderOf)).toEqual(['high']);
  });
});

describe('the priority that a worker is told', () => {
  it('is the route’s where there are no tenants, or all are alike', () => {
    for (const tenants of [undefined, [MIDDLE, { ...LOW, priority: 5 }]]) {
      const harness = new RouterHarness([worker('w1', { slots: 9 })]);
      harness.setTenants(tenants);
      expect([priorityOf(harness, '/tell/x', 'low'), priorityOf(harness, '/talk/x', 'low')]).toEqual([
        '2',
        '5',
      ]);
    }
  });

  it('follows tenant, then route, in 0 to 9', () => {
    const harness = new RouterHarness([worker('w1', { slots: 99 })]);
    harness.setTenants([HIGH, LOW, MIDDLE]);
    const told = ['high', 'middle', 'low'].flatMap((key) =>
      ['/tell/x', '/talk/x'].map((target) => Number(priorityOf(harness, target, key))),
    );
    expect(told).toEqual([0, 1, 2, 3, 4, 5]);
  });

  it('stays in 0 to 9 and in order where there are more pairs than that', () => {
    const harness = new RouterHarness([worker('w1', { slots: 99 })]);
    const names = Array.from({ length: 20 }, (_, priority) => `t${priority}`);
    harness.setTenants(names.map((name, priority) => ({ name, apiKeys: [name], priority })));
    const told = names.flatMap((key) =>
      ['/tell/x', '/talk/x'].map((target) => Number(priorityOf(harness, target, key))),
    );
    expect(told).toEqual([...told].sort((one, other) => one - other));
    expect([told[0], told.at(-1)]).toEqual([0, 9]);
  });

  it('is that of the highest tenant for a request that has waited for a quarter of its time', () => {
    const harness = new RouterHarness([]);
    harness.setTenants([HIGH, LOW, MIDDLE]);
    harness.submit('/tell/x', { apiKey: 'low', deadlineMs: 4000 });
    harness.advance(1000);
    harness.putWorkers(worker('w1'));
    harness.advance(1);
    expect(headerValue(harness.lastSent().request.headers, HEADER_NAMES.priority)).toEqual('0');
  });
});
