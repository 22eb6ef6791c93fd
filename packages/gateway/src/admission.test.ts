import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness, testSpec } from './testing/gateway-harness.js';

describe('admission', () => {
  it('refuses at once, before any work', () => {
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

  it('refuses while cut off and while draining', () => {
    const harness = new GatewayHarness();
    harness.hasLease = false;
    const withoutLease = harness.submit().sink.events;
    harness.hasLease = true;
    harness.gateway.drain();
    expect([withoutLease, harness.submit().sink.events]).toEqual([['not-admitting'], ['draining']]);
  });

  it('bounds what one group may have waiting, while another is still let in', () => {
    const harness = new GatewayHarness();
    const submitted = Array.from({ length: 60 }, () => harness.submit({ group: 'h' }));
    const refused = submitted.filter(({ sink }) => sink.events[0] === 'over-share').length;
    expect(refused > 30).toEqual(true);
    expect(harness.submit({ group: 'g' }).sink.events).toEqual([]);
  });

  it('lets in what can be sent at once, though the group has its share waiting for a rare model', () => {
    const harness = new GatewayHarness();
    const spec = testSpec();
    harness.spec = { ...spec, models: [...spec.models, { name: 'rare', sizeMb: 1 }] };
    for (let index = 0; index < 60; index += 1) harness.submit({ model: 'rare' });
    const before = harness.sent.length;
    harness.submit();
    expect([before, harness.sent.length]).toEqual([0, 1]);
  });

  it('gives up what waited beyond its patience, at once and with its kind', () => {
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

  it('sends few at first to a worker that failed and may have started anew', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8 }];
    harness.submit();
    harness.reply(harness.lastSent(), 503, '{}');
    for (let index = 0; index < 8; index += 1) harness.submit();
    expect(harness.sent.length).toEqual(2);
  });

  it('sends no flood to a copy that is warming', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8, sinceMs: new Map([['m', 0]]) }];
    for (let index = 0; index < 8; index += 1) harness.submit();
    expect(harness.sent.length).toEqual(1);
    harness.nowMs = 600;
    harness.gateway.tick();
    expect(harness.sent.length).toEqual(2);
  });
});
