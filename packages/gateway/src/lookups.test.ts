import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness } from './testing/gateway-harness.js';

describe('lookups', () => {
  it('are tried again elsewhere while the budget lasts, and then answered at once', () => {
    const harness = new GatewayHarness();
    const ports = Array.from({ length: 40 }, () => {
      const sink = harness.submitLookup();
      for (let place = 0; place < 5 && sink.events.length === 0; place += 1) {
        harness.lastSent().handler.mayStart();
        harness.lastSent().handler.failed(true, 'reset');
        harness.nowMs += 1;
        harness.gateway.tick();
      }
      harness.nowMs += 100;
      return sink;
    });
    const sends = harness.sent.length;
    const firsts = harness.gateway.counts['sends'] ?? 0;
    const extra = harness.gateway.counts['retries'] ?? 0;
    expect(sends).toEqual(firsts);
    expect([extra > 0, extra <= 0.2 * (sends - extra)]).toEqual([true, true]);
    expect(ports.every((sink) => sink.events.length <= 1)).toEqual(true);
  });
});
