import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

/** Longer than an edge lets requests wait for its first configuration. */
const LONG_MS = 5000;

function unconfigured(): RouterHarness {
  const harness = new RouterHarness([worker('w1')]);
  harness.configured = false;
  return harness;
}

describe('an edge that knows no configuration', () => {
  it('refuses every request with 503, also one without a route, and sends none on', () => {
    const harness = unconfigured();
    const sinks = ['/once/x', '/often/x', '/tell/x', '/unheard/x'].map((path) => harness.submit(path).sink);
    harness.advance(LONG_MS);
    expect(sinks.map((sink) => sink.status)).toEqual([503, 503, 503, 503]);
    expect(harness.link.sent.length).toEqual(0);
  });

  it('sends what waited once it knows one, with the time that is left, and answers 404 only then', () => {
    const harness = unconfigured();
    const { sink } = harness.submit('/once/x');
    const unheard = harness.submit('/unheard/x').sink;
    harness.advance(100);
    expect([sink.status, unheard.status]).toEqual([0, 0]);
    harness.configured = true;
    harness.advance(100);
    expect(harness.lastSent().request.headers.find(([, value]) => value === '1300')).not.toEqual(undefined);
    expect(unheard.status).toEqual(404);
  });
});
