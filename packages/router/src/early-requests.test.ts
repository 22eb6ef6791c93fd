import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

/** Longer than an edge holds requests before its first configuration. */
const LONG_MS = 5000;

function unconfiguredHarness(): RouterHarness {
  const harness = new RouterHarness([worker('w1')]);
  harness.configured = false;
  return harness;
}

describe('an edge without a configuration', () => {
  it('rejects every request with 503 after a wait, also one without a route, and forwards none', () => {
    const harness = unconfiguredHarness();
    const sinks = ['/non-idempotent/x', '/idempotent/x', '/stream/x', '/unknown/x'].map(
      (path) => harness.submit(path).sink,
    );
    harness.advance(LONG_MS);
    expect(sinks.map((sink) => sink.status)).toEqual([503, 503, 503, 503]);
    expect(harness.link.sent.length).toEqual(0);
  });

  it('forwards held requests with their remaining time once it has one, and only then responds with 404', () => {
    const harness = unconfiguredHarness();
    const { sink } = harness.submit('/non-idempotent/x');
    const unrouted = harness.submit('/unknown/x').sink;
    harness.advance(100);
    expect([sink.status, unrouted.status]).toEqual([0, 0]);
    harness.configured = true;
    harness.advance(100);
    expect(harness.lastSent().request.headers.find(([, value]) => value === '1300')).not.toEqual(undefined);
    expect(unrouted.status).toEqual(404);
  });
});
