import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerView } from './request.js';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('the choice of a worker', () => {
  it('excludes draining and evacuated workers, and those of another service or of a region not listed', () => {
    const harness = new RouterHarness([
      worker('draining', { draining: true }),
      worker('evacuated', { zone: 'east' }),
      worker('other-service', { service: 'service-2' }),
    ]);
    harness.evacuated = ['east'];
    harness.submit('/idempotent/x');
    harness.putWorkers(worker('eligible'));
    const { sink } = harness.submit('/regional/x');
    harness.putWorkers(worker('in-region', { zone: 'south-a' }));
    harness.advance(1);
    expect(harness.link.sent.map((sent) => sent.request.address)).toEqual(['eligible:80', 'in-region:80']);
    expect(sink.calls).toEqual([]);
  });

  it('is checked again before the first byte: draining, removed and evacuated workers get nothing', () => {
    for (const change of ['draining', 'removed', 'evacuated'] as const) {
      const harness = new RouterHarness([worker('w1')]);
      const { sink } = harness.submit('/non-idempotent/x');
      const sent = harness.lastSent();
      if (change === 'draining') harness.putWorkers(worker('w1', { draining: true }));
      if (change === 'removed') harness.workers.delete('w1');
      if (change === 'evacuated') harness.evacuated = ['north'];
      const started = sent.start();
      sent.handler.failed(false, 'not started');
      harness.putWorkers(worker('w2', { zone: 'west' }));
      harness.advance(1);
      harness.lastSent().start();
      harness.lastSent().answer(200, 'ok');
      expect([change, started, sink.calls, harness.lastSent().request.address]).toEqual([
        change,
        false,
        ['respond 200 ok'],
        'w2:80',
      ]);
    }
  });

  it('keeps this edge’s requests per second to a worker that is warming up within its share', () => {
    for (const edges of [1, 4]) {
      const harness = new RouterHarness([worker('w1', { warmUpUntilMs: 60_000, slots: 100 })]);
      harness.edges = edges;
      const atMs: number[] = [];
      for (let turn = 0; turn < 200; turn += 1) {
        const before = harness.link.sent.length;
        harness.submit('/idempotent/x');
        harness.advance(25);
        for (const sent of harness.link.sent.slice(before)) {
          if (!sent.start()) continue;
          atMs.push(harness.nowMs);
          sent.answer(200, 'ok');
        }
      }
      const most = Math.max(
        ...atMs.map((fromMs) => atMs.filter((one) => one >= fromMs && one < fromMs + 1000).length),
      );
      expect([edges, most > 0, most <= 10 / edges + 1]).toEqual([edges, true, true]);
    }
  });

  it('keeps the sends of all edges to a warming-up worker within its limit, also in a second warm-up', () => {
    const PER_S = 10;
    const wrong: string[] = [];
    for (const count of [3, 9, 80]) {
      const atMs = sendTimesWhileWarmingUp(count);
      const { most, startMs } = busiestSecond(atMs);
      if (most > PER_S * 1.5 + 5)
        wrong.push(`${count} edges: ${most} from ${startMs}, the bound is ${PER_S * 1.5 + 5}`);
      if (atMs.length < 20 * PER_S * 0.5) wrong.push(`${count} edges: only ${atMs.length} in all`);
    }
    expect(wrong).toEqual([]);
  });

  it('selects a worker that has the model and adapter loaded, and reports demand if none has', () => {
    const harness = new RouterHarness([
      worker('w1', { service: 'service-2', models: new Map([['m1', new Set<string>()]]) }),
      worker('w2', { service: 'service-2', models: new Map([['m1', new Set(['a1'])]]) }),
    ]);
    harness.submit('/model/x', { model: 'm1', adapter: 'a1' });
    const address = harness.lastSent().request.address;
    harness.submit('/model/x', { model: 'm2' });
    expect([address, harness.link.sent.length, harness.modelMissingCount > 0]).toEqual(['w2:80', 1, true]);
    expect(
      harness.router
        .demands()
        .map(({ model, adapter, waiting, inFlight }) => `${model}/${adapter} ${waiting} ${inFlight}`),
    ).toEqual(['m1/a1 0 1', 'm2/ 1 0']);
  });

  it('reports a missing model only once, however often dispatch is tried meanwhile', () => {
    const harness = new RouterHarness([worker('w1', { service: 'service-2', models: new Map() })]);
    harness.submit('/model/x', { model: 'm1' });
    for (let turn = 0; turn < 20; turn += 1) harness.router.tick();
    expect(harness.modelMissingCount).toEqual(1);
    expect(harness.waitCount).toEqual(1);
  });

  it('skips a worker that reported the model missing until its row changes', () => {
    const models = new Map([['m1', new Set<string>()]]);
    const harness = new RouterHarness([worker('w1', { service: 'service-2', models })], {
      ratio: 1,
      extra: 20,
    });
    harness.earnRetryBudget(0);
    const { sink } = harness.submit('/model/x', { model: 'm1' });
    harness.lastSent().start();
    harness.lastSent().handler.head(421, [[HEADER_NAMES.requestId, harness.lastSent().id]]);
    harness.advance(100);
    const sends = harness.link.sent.length;
    harness.putWorkers(worker('w1', { service: 'service-2', models, number: 2 }));
    harness.advance(600);
    harness.submit('/model/x', { model: 'm1' });
    expect([sends, harness.link.sent.length > sends, sink.status === 200]).toEqual([1, true, false]);
  });

  it('ends with 404 if there is no route', () => {
    const { sink } = new RouterHarness([worker('w1')]).submit('/unknown/x');
    expect(sink.calls).toEqual(['reject 404']);
  });
});

/**
 * When a number of edges sent requests to one worker during its two warm-ups: times in milliseconds, in
 * order.
 */
function sendTimesWhileWarmingUp(edgeCount: number): number[] {
  const edges = Array.from(
    { length: edgeCount },
    (_, place) => new RouterHarness([worker('w1', { slots: 100 })], undefined, `incarnation-${place}`),
  );
  const atMs: number[] = [];
  const tickMs = 25;
  for (let nowMs = 1000; nowMs < 41_000; nowMs += tickMs) {
    const isWarmingUp = (nowMs >= 2000 && nowMs < 12_000) || nowMs >= 22_000;
    for (const edge of edges) {
      edge.edges = edgeCount;
      edge.nowMs = nowMs;
      if (nowMs === 2000 || nowMs === 22_000) edge.putWorkers(warmingUpWorker(nowMs));
      const started = submitAndServe(edge, nowMs < 26_000 || nowMs >= 32_000);
      if (isWarmingUp) for (let nth = 0; nth < started; nth += 1) atMs.push(nowMs);
    }
  }
  return atMs;
}

function warmingUpWorker(nowMs: number): WorkerView {
  return worker('w1', {
    slots: 100,
    warmUpUntilMs: nowMs + (nowMs === 2000 ? 10_000 : 30_000),
    number: nowMs,
  });
}

/** Submits a request if the edge is busy, and serves all sends of this tick; returns how many started. */
function submitAndServe(edge: RouterHarness, isBusy: boolean): number {
  const before = edge.link.sent.length;
  if (isBusy && edge.router.waiting < 2) edge.submit('/idempotent/x');
  edge.router.tick();
  let started = 0;
  for (const sent of edge.link.sent.slice(before)) {
    if (!sent.start()) continue;
    started += 1;
    sent.answer(200, 'ok');
  }
  return started;
}

/** The start of the second that contains most of the given times, which are in order, and their number. */
function busiestSecond(atMs: readonly number[]): { most: number; startMs: number } {
  let most = 0;
  let startMs = 0;
  for (const [place, fromMs] of atMs.entries()) {
    let end = place;
    while (end < atMs.length && (atMs[end] ?? 0) < fromMs + 1000) end += 1;
    if (end - place <= most) continue;
    most = end - place;
    startMs = fromMs;
  }
  return { most, startMs };
}
