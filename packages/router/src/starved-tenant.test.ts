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
/** Slots of the worker, and thereby the requests that it takes from one edge at once. */
const SLOTS = 2;

function tenantOf(sent: SentRequest): string {
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

/** Submits requests until the worker is full, and returns their sends. */
function fillWorker(harness: RouterHarness, apiKey: string | undefined): SentRequest[] {
  for (let count = 0; count < SLOTS; count += 1) harness.submit('/idempotent/x', { apiKey });
  const running = harness.link.sent.slice(-SLOTS);
  for (const sent of running) sent.start();
  return running;
}

describe('the waiting requests of a tenant', () => {
  it('precede those of a tenant of lower priority, whatever the route and the arrival', () => {
    const harness = withTenants([HIGH, LOW, MIDDLE]);
    const running = fillWorker(harness, 'high');
    harness.submit('/stream/x', { apiKey: 'low' });
    harness.submit('/idempotent/x', { apiKey: 'middle' });
    harness.submit('/idempotent/x', { apiKey: 'high' });
    for (const sent of running) sent.answer(200, 'ok');
    harness.advance(1);
    harness.advance(1);
    expect(harness.link.sent.slice(SLOTS).map(tenantOf)).toEqual(['high', 'middle']);
  });

  it('are ordered by route, then by arrival, within one tenant priority and without tenants', () => {
    for (const tenants of [undefined, [MIDDLE]]) {
      const harness = withTenants(tenants);
      const running = fillWorker(harness, 'middle');
      harness.submit('/idempotent/first', { apiKey: 'middle' });
      harness.advance(1);
      harness.submit('/idempotent/second', { apiKey: 'middle' });
      harness.submit('/stream/urgent', { apiKey: 'middle' });
      for (const sent of running) sent.answer(200, 'ok');
      harness.advance(1);
      expect(harness.link.sent.slice(SLOTS).map(({ request }) => request.target)).toEqual([
        '/stream/urgent',
        '/idempotent/first',
      ]);
    }
  });

  it('are served in time although more urgent tenants alone would fill every worker', () => {
    const harness = withTenants([HIGH, LOW]);
    fillWorker(harness, 'high');
    const low = harness.submit('/idempotent/low', { apiKey: 'low', deadlineMs: 1500 });
    const startMs = harness.nowMs;
    let servedMs: number | undefined;
    while (servedMs === undefined && harness.nowMs - startMs < 1500) {
      // The high tenant sends more than the worker takes: some requests always wait, and some arrive as a
      // slot frees.
      for (let count = 0; count < 2 * SLOTS; count += 1)
        harness.submit('/idempotent/high', { apiKey: 'high' });
      const [oldest] = harness.link.sent.slice(-SLOTS);
      oldest?.start();
      oldest?.answer(200, 'ok');
      harness.submit('/idempotent/high', { apiKey: 'high' });
      harness.advance(10);
      if (harness.link.sent.some((sent) => tenantOf(sent) === 'low')) servedMs = harness.nowMs - startMs;
    }
    expect(low.sink.calls).toEqual([]);
    expect([servedMs !== undefined, servedMs !== undefined && servedMs < 750]).toEqual([true, true]);
  });

  it('do not lose a slot that was just freed to a new, less urgent request', () => {
    const harness = withTenants([HIGH, LOW]);
    const [one] = fillWorker(harness, 'high');
    harness.submit('/idempotent/waiting', { apiKey: 'high' });
    one?.answer(200, 'ok');
    harness.submit('/idempotent/new', { apiKey: 'low' });
    expect(harness.link.sent.slice(SLOTS).map(tenantOf)).toEqual(['high']);
  });
});

describe('the priority sent to a worker', () => {
  it('is that of the route if there are no tenants or all have the same priority', () => {
    for (const tenants of [undefined, [MIDDLE, { ...LOW, priority: 5 }]]) {
      const harness = new RouterHarness([worker('w1', { slots: 9 })]);
      harness.setTenants(tenants);
      expect([priorityOf(harness, '/stream/x', 'low'), priorityOf(harness, '/resumable/x', 'low')]).toEqual([
        '2',
        '5',
      ]);
    }
  });

  it('follows the tenant’s priority, then the route’s, within 0 to 9', () => {
    const harness = new RouterHarness([worker('w1', { slots: 99 })]);
    harness.setTenants([HIGH, LOW, MIDDLE]);
    const priorities = ['high', 'middle', 'low'].flatMap((key) =>
      ['/stream/x', '/resumable/x'].map((target) => Number(priorityOf(harness, target, key))),
    );
    expect(priorities).toEqual([0, 1, 2, 3, 4, 5]);
  });

  it('stays within 0 to 9 and in order if there are more pairs of priorities than levels', () => {
    const harness = new RouterHarness([worker('w1', { slots: 99 })]);
    const names = Array.from({ length: 20 }, (_, priority) => `t${priority}`);
    harness.setTenants(names.map((name, priority) => ({ name, apiKeys: [name], priority })));
    const priorities = names.flatMap((key) =>
      ['/stream/x', '/resumable/x'].map((target) => Number(priorityOf(harness, target, key))),
    );
    expect(priorities).toEqual([...priorities].sort((one, other) => one - other));
    expect([priorities[0], priorities.at(-1)]).toEqual([0, 9]);
  });

  it('is the highest for a request that has waited for a quarter of its time', () => {
    const harness = new RouterHarness([]);
    harness.setTenants([HIGH, LOW, MIDDLE]);
    harness.submit('/stream/x', { apiKey: 'low', deadlineMs: 4000 });
    harness.advance(1000);
    harness.putWorkers(worker('w1'));
    harness.advance(1);
    expect(headerValue(harness.lastSent().request.headers, HEADER_NAMES.priority)).toEqual('0');
  });
});
