import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness } from './testing/gateway-harness.js';

describe('a non-idempotent request', () => {
  it('is sent once; without an answer its outcome is unknown', () => {
    const harness = new GatewayHarness();
    const { sink } = harness.submit();
    harness.lastSent().handler.mayStart();
    harness.lastSent().handler.failed(true, 'reset');
    harness.gateway.tick();
    expect([harness.sent.length, sink.events]).toEqual([1, ['outcome-unknown']]);
  });

  it('is sent elsewhere only when provably no byte left, and within the budget', () => {
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

  it('is not started when the grant ends, or the worker is marked as leaving, before the first byte', () => {
    const harness = new GatewayHarness();
    harness.submit();
    harness.hasLease = false;
    expect(harness.lastSent().handler.mayStart()).toEqual(false);
    harness.hasLease = true;
    harness.workers = harness.workers.map((worker) => ({ ...worker, draining: true }));
    expect(harness.lastSent().handler.mayStart()).toEqual(false);
  });

  it('is given up, and its connection reset, when its worker is leaving and no way there is found', () => {
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

  it('waits again, unsent, when the last look forbade it', () => {
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

  it('is refused at once when a worker takes no more, and not sent again', () => {
    const harness = new GatewayHarness();
    const { sink } = harness.submit();
    harness.reply(harness.lastSent(), 503, '{}');
    expect([harness.sent.length, sink.events]).toEqual([1, ['no-worker']]);
  });
});
