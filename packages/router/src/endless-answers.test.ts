import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RouterHarness, worker } from './testing/router-harness.js';

const MEGABYTE = 2 ** 20;
const LARGEST_BYTES = 16 * MEGABYTE;

/** Sends a valid head and this many bytes of a body that goes on. */
function begin(harness: RouterHarness, bytes: number): void {
  const sent = harness.lastSent();
  sent.start();
  sent.handler.head(200, [
    ['call-id', sent.id],
    ['mark', 's'],
  ]);
  for (let received = 0; received < bytes && !sent.aborted; received += MEGABYTE)
    sent.handler.chunk(Buffer.alloc(MEGABYTE));
}

describe('answers without end', () => {
  it('stop an answer that is larger than any may be, and count as a failure of its worker', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    begin(harness, LARGEST_BYTES + MEGABYTE);
    expect(harness.lastSent().aborted).toEqual(true);
    expect([sink.status, harness.excesses]).toEqual([502, [['w1', 'body']]]);
    expect(harness.responseMemory.counts.heldBytes).toEqual(0);
    expect(harness.router.takeOutcomes().map(({ failed }) => failed)).toEqual([1]);
  });

  it('hold the memory of a whole answer until its client has it, and never take it back', () => {
    const harness = new RouterHarness([worker('w1')]);
    const { sink } = harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    begin(harness, LARGEST_BYTES);
    sent.handler.end();
    expect(harness.responseMemory.counts.heldBytes).toEqual(LARGEST_BYTES);
    harness.submit('/non-idempotent/y');
    begin(harness, LARGEST_BYTES);
    expect(harness.responseMemory.counts.heldBytes).toBeGreaterThanOrEqual(LARGEST_BYTES);
    expect(sink.status).toEqual(200);
    sink.released();
    expect(harness.responseMemory.counts.heldBytes).toBeLessThan(LARGEST_BYTES);
  });

  it('make the worker that holds most give way to the answer of another', () => {
    const harness = new RouterHarness([worker('faulty')]);
    for (let request = 0; request < 3; request += 1) {
      harness.submit('/non-idempotent/x');
      begin(harness, 7 * MEGABYTE);
    }
    harness.workers.delete('faulty');
    harness.putWorkers(worker('sound'));
    const { sink } = harness.submit('/non-idempotent/x');
    begin(harness, 7 * MEGABYTE);
    harness.lastSent().handler.end();
    expect(sink.status).toEqual(200);
    expect(harness.excesses).toEqual([['faulty', 'memory']]);
  });

  it('discard what follows a refusal, and count it as a failure if it does not end', () => {
    const harness = new RouterHarness([worker('w1')]);
    harness.submit('/non-idempotent/x');
    const sent = harness.lastSent();
    sent.start();
    sent.rejectAsNotRun(503);
    expect([sent.discarded, sent.aborted]).toEqual([true, false]);
    harness.router.takeOutcomes();
    sent.handler.exceeded?.({ bound: 'unneeded', part: 'body', bytes: 65_536, pieces: 1 });
    expect(harness.excesses).toEqual([['w1', 'unneeded']]);
    expect(harness.router.takeOutcomes().map(({ failed }) => failed)).toEqual([1]);
  });
});
