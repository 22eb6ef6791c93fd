import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayHarness, SSE } from './testing/gateway-harness.js';

describe('deadlines', () => {
  it('end a send with its kind, and a stream visibly cut', () => {
    const harness = new GatewayHarness();
    const plain = harness.ask({ deadlineMs: 500 });
    const first = harness.last();
    const stream = harness.ask({ deadlineMs: 500, streamed: true });
    const second = harness.last();
    for (const { handler } of [first, second]) handler.mayStart();
    second.handler.start(200, SSE);
    second.handler.chunk(Buffer.from('data: 1\n\n'));
    harness.nowMs = 501;
    harness.gateway.tick();
    expect([plain.sink.seen, stream.sink.seen.at(-1), first.aborted, second.aborted]).toEqual([
      ['deadline-exceeded'],
      'cut',
      true,
      true,
    ]);
  });
});
