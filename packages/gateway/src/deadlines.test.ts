import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness, SSE } from './testing/gateway-harness.js';

describe('a deadline that passes', () => {
  it('fails a pending send with deadline-exceeded, and aborts an open stream', () => {
    const harness = new GatewayHarness();
    const plain = harness.submit({ deadlineMs: 500 });
    const first = harness.lastSent();
    const stream = harness.submit({ deadlineMs: 500, streamed: true });
    const second = harness.lastSent();
    for (const { handler } of [first, second]) handler.mayStart();
    second.handler.start(200, SSE);
    second.handler.chunk(Buffer.from('data: 1\n\n'));
    harness.nowMs = 501;
    harness.gateway.tick();
    expect([plain.sink.events, stream.sink.events.at(-1), first.aborted, second.aborted]).toEqual([
      ['deadline-exceeded'],
      'cut',
      true,
      true,
    ]);
  });
});
