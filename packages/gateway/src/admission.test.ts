import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness, testSpec } from './testing/gateway-harness.js';

describe('admission', () => {
  it('rejects invalid requests at once, without sending anything to a worker', () => {
    const harness = new GatewayHarness();
    const faultKinds = [
      harness.submit({ group: 'x' }),
      harness.submit({ kind: 'x' }),
      harness.submit({ model: 'x' }),
      harness.submit({ adapter: 'x' }),
      harness.submit({ path: '/x' }),
      harness.submit({ deadlineMs: -1 }),
    ].map(({ sink }) => sink.events[0]);
    expect(faultKinds).toEqual([
      'unknown-group',
      'bad-request',
      'unknown-model',
      'unknown-model',
      'not-found',
      'deadline-past',
    ]);
    expect(harness.sent.length).toEqual(0);
  });

  it('rejects requests while the edge has no lease and while it is draining', () => {
    const harness = new GatewayHarness();
    harness.hasLease = false;
    const withoutLease = harness.submit().sink.events;
    harness.hasLease = true;
    harness.gateway.drain();
    expect([withoutLease, harness.submit().sink.events]).toEqual([['not-admitting'], ['draining']]);
  });

  it('limits how many requests of one group may wait, while it still admits those of another group', () => {
    const harness = new GatewayHarness();
    const submitted = Array.from({ length: 60 }, () => harness.submit({ group: 'h' }));
    const refused = submitted.filter(({ sink }) => sink.events[0] === 'over-share').length;
    expect(refused > 30).toEqual(true);
    expect(harness.submit({ group: 'g' }).sink.events).toEqual([]);
  });

  it('admits a request that can be sent at once, though its group has a full backlog', () => {
    const harness = new GatewayHarness();
    const spec = testSpec();
    harness.spec = { ...spec, models: [...spec.models, { name: 'rare', sizeMb: 1 }] };
    for (let index = 0; index < 60; index += 1) harness.submit({ model: 'rare' });
    const before = harness.sent.length;
    harness.submit();
    expect([before, harness.sent.length]).toEqual([0, 1]);
  });

  it('rejects a request with no-worker as soon as it has waited longer than patienceMs', () => {
    const harness = new GatewayHarness();
    harness.workers = [];
    const { sink } = harness.submit();
    harness.nowMs = 990;
    harness.gateway.tick();
    expect(sink.events).toEqual([]);
    harness.nowMs = 1010;
    harness.gateway.tick();
    expect(sink.events).toEqual(['no-worker']);
  });

  it('limits sends to a worker that rejected a request and may have restarted since', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8 }];
    harness.submit();
    harness.reply(harness.lastSent(), 503, '{}');
    for (let index = 0; index < 8; index += 1) harness.submit();
    expect(harness.sent.length).toEqual(2);
  });

  it('increases the number of requests in flight at a copy step by step while it warms up', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8, sinceMs: new Map([['m', 0]]) }];
    for (let index = 0; index < 8; index += 1) harness.submit();
    expect(harness.sent.length).toEqual(1);
    harness.nowMs = 600;
    harness.gateway.tick();
    expect(harness.sent.length).toEqual(2);
  });
});
