import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness, specOf } from './testing/gateway-harness.js';

describe('admission', () => {
  it('refuses at once, before any work', () => {
    const harness = new GatewayHarness();
    const seen = [
      harness.ask({ group: 'x' }),
      harness.ask({ kind: 'x' }),
      harness.ask({ model: 'x' }),
      harness.ask({ adapter: 'x' }),
      harness.ask({ path: '/x' }),
      harness.ask({ deadlineMs: -1 }),
    ].map(({ sink }) => sink.seen[0]);
    expect(seen).toEqual([
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
    harness.granted = false;
    const cutOff = harness.ask().sink.seen;
    harness.granted = true;
    harness.gateway.drain();
    expect([cutOff, harness.ask().sink.seen]).toEqual([['not-admitting'], ['draining']]);
  });

  it('bounds what one group may have waiting, while another is still let in', () => {
    const harness = new GatewayHarness();
    const flood = Array.from({ length: 60 }, () => harness.ask({ group: 'h' }));
    const refused = flood.filter(({ sink }) => sink.seen[0] === 'over-share').length;
    expect(refused > 30).toEqual(true);
    expect(harness.ask({ group: 'g' }).sink.seen).toEqual([]);
  });

  it('lets in what can be sent at once, though the group has its share waiting for a rare model', () => {
    const harness = new GatewayHarness();
    const spec = specOf();
    harness.spec = { ...spec, models: [...spec.models, { name: 'rare', sizeMb: 1 }] };
    for (let place = 0; place < 60; place += 1) harness.ask({ model: 'rare' });
    const before = harness.sent.length;
    harness.ask();
    expect([before, harness.sent.length]).toEqual([0, 1]);
  });

  it('gives up what waited beyond its patience, at once and with its kind', () => {
    const harness = new GatewayHarness();
    harness.workers = [];
    const { sink } = harness.ask();
    harness.nowMs = 990;
    harness.gateway.tick();
    expect(sink.seen).toEqual([]);
    harness.nowMs = 1010;
    harness.gateway.tick();
    expect(sink.seen).toEqual(['no-worker']);
  });

  it('sends few at first to a worker that failed and may have started anew', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8 }];
    harness.ask();
    harness.reply(harness.last(), 503, '{}');
    for (let place = 0; place < 8; place += 1) harness.ask();
    expect(harness.sent.length).toEqual(2);
  });

  it('sends no flood to a copy that is warming', () => {
    const harness = new GatewayHarness();
    harness.workers = [{ ...harness.worker('w1', 'models'), slots: 8, sinceMs: new Map([['m', 0]]) }];
    for (let place = 0; place < 8; place += 1) harness.ask();
    expect(harness.sent.length).toEqual(1);
    harness.nowMs = 600;
    harness.gateway.tick();
    expect(harness.sent.length).toEqual(2);
  });
});
