import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { SendHandler } from './sender.js';
import { GatewayHarness, SSE } from './testing/gateway-harness.js';

describe('streams', () => {
  function streamed(script: (handler: SendHandler) => void): { events: string[]; aborted: boolean } {
    const harness = new GatewayHarness();
    const { sink } = harness.submit({ streamed: true });
    const sent = harness.lastSent();
    sent.handler.mayStart();
    sent.handler.start(200, SSE);
    script(sent.handler);
    return { events: sink.events, aborted: sent.aborted };
  }

  it('forward complete events only, and close only when the worker has ended the response', () => {
    const { events } = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n'));
      handler.chunk(Buffer.from('\ndata: 2\n\ndata: [DO'));
      handler.chunk(Buffer.from('NE]\n\n'));
      handler.end();
    });
    expect(events).toEqual(['open', 'data: 1\n\ndata: 2', 'data: [DONE]', 'close']);
  });

  it('are aborted towards the client when the worker ends early or its connection fails', () => {
    const early = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\n'));
      handler.end();
    });
    const lost = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\n'));
      handler.failed(true, 'reset');
    });
    expect([early.events.at(-1), lost.events.at(-1)]).toEqual(['cut', 'cut']);
  });

  it('are aborted when the worker sends data after the closing event', () => {
    const { events, aborted } = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\ndata: [DONE]\n\n'));
      handler.chunk(Buffer.from('data: 2\n\n'));
      handler.end();
    });
    expect([events.at(-1), aborted]).toEqual(['cut', true]);
  });

  it('fail with a definite error if the response is empty or is not an event stream', () => {
    expect(streamed((handler) => handler.end()).events).toEqual(['outcome-unknown']);
    const harness = new GatewayHarness();
    const { sink } = harness.submit({ streamed: true });
    harness.reply(harness.lastSent(), 200, 'hello', 'text/html');
    expect(sink.events).toEqual(['worker-nonsense']);
  });

  it('abort the send to the worker when the client disconnects', () => {
    const harness = new GatewayHarness();
    const { disconnect } = harness.submit({ streamed: true });
    disconnect();
    expect([
      harness.lastSent().aborted,
      harness.gateway.inFlight,
      harness.gateway.counts['visitor-left'],
    ]).toEqual([true, 0, 1]);
  });
});
