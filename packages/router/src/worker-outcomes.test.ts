import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

describe('a worker that fails its requests', () => {
  it('is reported for an error response, although the client got it and the request may not be retried', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().answer(500, 'broken');
    expect(sink.calls).toEqual(['respond 500 broken']);
    expect(harness.router.takeOutcomes()).toEqual([{ worker: 'w1', answered: 0, failed: 1 }]);
    expect(harness.router.takeOutcomes()).toEqual([]);
  });

  it('is reported if a client leaves after a long silence, but not if it leaves at once', () => {
    const harness = new RouterHarness([worker('w1')]);
    const patient = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.advance(1300);
    patient.leave();
    const hasty = harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.advance(50);
    hasty.leave();
    expect(harness.router.takeOutcomes()).toEqual([{ worker: 'w1', answered: 0, failed: 1 }]);
  });

  it('is not reported for requests that it rejects because it is full', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.submit('/non-idempotent/x');
    harness.lastSent().start();
    harness.lastSent().rejectAsNotRun(503);
    expect(harness.router.takeOutcomes()).toEqual([]);
  });

  it('gets no request from an edge outside its share while other workers can take it', () => {
    const harness = new RouterHarness([worker('w1', { sharePercent: 0 }), worker('w2')]);
    for (let nth = 0; nth < 4; nth += 1) harness.submit('/non-idempotent/x');
    expect(harness.link.sent.map(({ request }) => request.address)).toEqual([
      'w2:80',
      'w2:80',
      'w2:80',
      'w2:80',
    ]);
    harness.submit('/non-idempotent/x');
    expect(harness.lastSent().request.address).toEqual('w1:80');
  });

  it('still gets requests from its share of the edges', () => {
    let tried = 0;
    for (let edge = 0; edge < 100; edge += 1) {
      const harness = new RouterHarness(
        [worker('w1', { sharePercent: 10 }), worker('w2', { zone: 'far' })],
        undefined,
        `incarnation-${edge}`,
      );
      harness.submit('/non-idempotent/x');
      if (harness.lastSent().request.address === 'w1:80') tried += 1;
    }
    expect(tried > 2 && tried < 25).toEqual(true);
  });
});
