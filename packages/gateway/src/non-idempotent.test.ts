import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness } from './testing/gateway-harness.js';

describe('a non-idempotent request', () => {
  it('is sent only once, and fails with outcome-unknown if no response arrives', () => {
    const harness = new GatewayHarness();
    const { sink } = harness.submit();
    harness.lastSent().handler.mayStart();
    harness.lastSent().handler.failed(true, 'reset');
    harness.gateway.tick();
    expect([harness.sent.length, sink.events]).toEqual([1, ['outcome-unknown']]);
  });

  it('is retried on another worker only if certainly no byte was sent, and within the retry budget', () => {
    const harness = new GatewayHarness();
    harness.workers = [harness.worker('w1', 'models'), harness.worker('w2', 'models')];
    const withoutBudget = harness.submit().sink;
    harness.lastSent().handler.failed(false, 'ECONNREFUSED');
    harness.earnRetry();
    const before = harness.sent.length;
    const { sink } = harness.submit();
    harness.lastSent().handler.failed(false, 'ECONNREFUSED');
    harness.reply(harness.lastSent(), 200, '{}');
    expect([withoutBudget.events, sink.events, harness.sent.length - before]).toEqual([
      ['no-worker'],
      ['200 {}'],
      2,
    ]);
  });

  it('is not started if the lease ends or the worker starts draining before the first byte is sent', () => {
    const harness = new GatewayHarness();
    harness.submit();
    harness.hasLease = false;
    expect(harness.lastSent().handler.mayStart()).toEqual(false);
    harness.hasLease = true;
    harness.workers = harness.workers.map((worker) => ({ ...worker, draining: true }));
    expect(harness.lastSent().handler.mayStart()).toEqual(false);
  });

  it('is abandoned, and its connection reset, if its worker is draining and cannot be reached', () => {
    const harness = new GatewayHarness();
    harness.workers = [harness.worker('w1', 'models'), harness.worker('w2', 'models')];
    const { sink } = harness.submit();
    harness.lastSent().handler.mayStart();
    const name = harness.lastSent().request.address;
    function runTicks(probesFail: boolean): unknown {
      harness.probesFail = probesFail;
      for (let index = 0; index < 4; index += 1) {
        harness.nowMs += 250;
        harness.gateway.tick();
      }
      return [harness.probed.length > 0, [...sink.events], harness.lastSent().aborted];
    }
    const notDraining = runTicks(true);
    harness.workers = harness.workers.map((worker) => ({ ...worker, draining: worker.name === name }));
    const reachable = runTicks(false);
    expect([notDraining, reachable, runTicks(true)]).toEqual([
      [false, [], false],
      [true, [], false],
      [true, ['outcome-unknown'], true],
    ]);
  });

  it('returns to the backlog unsent if the last check before the first byte denies the send', () => {
    const harness = new GatewayHarness();
    const { sink } = harness.submit();
    harness.hasLease = false;
    harness.lastSent().handler.mayStart();
    harness.lastSent().handler.failed(false, 'not started');
    expect([harness.sent.length, sink.events]).toEqual([1, []]);
    harness.hasLease = true;
    harness.gateway.tick();
    harness.reply(harness.lastSent(), 200, '{}');
    expect([harness.sent.length, sink.events]).toEqual([2, ['200 {}']]);
  });

  it('is rejected at once, and not retried, if the worker responds that it is at capacity', () => {
    const harness = new GatewayHarness();
    const { sink } = harness.submit();
    harness.reply(harness.lastSent(), 503, '{}');
    expect([harness.sent.length, sink.events]).toEqual([1, ['no-worker']]);
  });
});
