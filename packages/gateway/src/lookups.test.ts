import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness } from './testing/gateway-harness.js';

describe('lookups', () => {
  it('are retried on another worker within the retry budget, and rejected at once when it is used up', () => {
    const harness = new GatewayHarness();
    const sinks = Array.from({ length: 40 }, () => {
      const sink = harness.submitLookup();
      for (let index = 0; index < 5 && sink.events.length === 0; index += 1) {
        harness.lastSent().handler.mayStart();
        harness.lastSent().handler.failed(true, 'reset');
        harness.nowMs += 1;
        harness.gateway.tick();
      }
      harness.nowMs += 100;
      return sink;
    });
    const sends = harness.sent.length;
    const counted = harness.gateway.counts['sends'] ?? 0;
    const retries = harness.gateway.counts['retries'] ?? 0;
    expect(sends).toEqual(counted);
    expect([retries > 0, retries <= 0.2 * (sends - retries)]).toEqual([true, true]);
    expect(sinks.every((sink) => sink.events.length <= 1)).toEqual(true);
  });
});
