import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerView } from './request.js';
import { HEADER_NAMES, RouterHarness, worker } from './testing/router-harness.js';

describe('the choice of a worker', () => {
  it('falls on none that drains, is gone, is evacuated, of another service or of a region that is no home', () => {
    const harness = new RouterHarness([
      worker('leaves', { draining: true }),
      worker('evacuated', { zone: 'east' }),
      worker('other', { service: 'assist' }),
    ]);
    harness.evacuated = ['east'];
    harness.submit('/often/x');
    harness.putWorkers(worker('fine'));
    const { sink } = harness.submit('/home/x');
    harness.putWorkers(worker('home', { zone: 'south-a' }));
    harness.advance(1);
    expect(harness.link.sent.map((sent) => sent.request.address)).toEqual(['fine:80', 'home:80']);
    expect(sink.calls).toEqual([]);
  });

  it('is checked once more before the first byte: draining, gone and evacuated workers get nothing', () => {
    for (const change of ['leaves', 'gone', 'evacuated'] as const) {
      const harness = new RouterHarness([worker('w1')]);
      const { sink } = harness.submit('/once/x');
      const sent = harness.lastSent();
      if (change === 'leaves') harness.putWorkers(worker('w1', { draining: true }));
      if (change === 'gone') harness.workers.delete('w1');
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
        ['answer 200 ok'],
        'w2:80',
      ]);
    }
  });

  it('gives a worker that warms up no more than this edge may send it in a second', () => {
    for (const edges of [1, 4]) {
      const harness = new RouterHarness([worker('w1', { warmUpUntilMs: 60_000, slots: 100 })]);
      harness.edges = edges;
      const atMs: number[] = [];
      for (let heartbeat = 0; heartbeat < 200; heartbeat += 1) {
        const before = harness.link.sent.length;
        harness.submit('/often/x');
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

  it('keeps what all edges together send a worker that warms up in any second within its bound, also in a later spell', () => {
    const PER_S = 10;
    const wrong: string[] = [];
    for (const count of [3, 9, 80]) {
      const atMs = sendTimesWhileWarmingUp(count);
      const { most, mostMs } = busiestSecond(atMs);
      if (most > PER_S * 1.5 + 5)
        wrong.push(`${count} edges: ${most} from ${mostMs}, the bound is ${PER_S * 1.5 + 5}`);
      if (atMs.length < 20 * PER_S * 0.5) wrong.push(`${count} edges: only ${atMs.length} in all`);
    }
    expect(wrong).toEqual([]);
  });

  it('falls on a worker that has the model and the adapter loaded, and reports demand where none has', () => {
    const harness = new RouterHarness([
      worker('w1', { service: 'assist', models: new Map([['m1', new Set<string>()]]) }),
      worker('w2', { service: 'assist', models: new Map([['m1', new Set(['a1'])]]) }),
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

  it('reports a missing model once, however often the request is dispatched meanwhile', () => {
    const harness = new RouterHarness([worker('w1', { service: 'assist', models: new Map() })]);
    harness.submit('/model/x', { model: 'm1' });
    for (let turn = 0; turn < 20; turn += 1) harness.router.tick();
    expect(harness.modelMissingCount).toEqual(1);
    expect(harness.waitCount).toEqual(1);
  });

  it('does not fall again on a worker that lacks the model, until its row changes', () => {
    const models = new Map([['m1', new Set<string>()]]);
    const harness = new RouterHarness([worker('w1', { service: 'assist', models })], { ratio: 1, extra: 20 });
    harness.earnRetryBudget(0);
    const { sink } = harness.submit('/model/x', { model: 'm1' });
    harness.lastSent().start();
    harness.lastSent().handler.head(421, [[HEADER_NAMES.requestId, harness.lastSent().id]]);
    harness.advance(100);
    const sends = harness.link.sent.length;
    harness.putWorkers(worker('w1', { service: 'assist', models, number: 2 }));
    harness.advance(600);
    harness.submit('/model/x', { model: 'm1' });
    expect([sends, harness.link.sent.length > sends, sink.status === 200]).toEqual([1, true, false]);
  });

  it('answers 404 where there is no route', () => {
    const { sink } = new RouterHarness([worker('w1')]).submit('/unheard/x');
    expect(sink.calls).toEqual(['refuse 404']);
  });
});

/** When so many edges sent to one worker while it warmed up, which it does twice; in milliseconds, in order. */
function sendTimesWhileWarmingUp(edgeCount: number): number[] {
  const edges = Array.from(
    { length: edgeCount },
    (_, place) => new RouterHarness([worker('w1', { slots: 100 })], undefined, `incarnation-${place}`),
  );
  const atMs: number[] = [];
  const heartbeatMs = 25;
  for (let nowMs = 1000; nowMs < 41_000; nowMs += heartbeatMs) {
    const isWarmingUp = (nowMs >= 2000 && nowMs < 12_000) || nowMs >= 22_000;
    for (const edge of edges) {
      edge.edges = edgeCount;
      edge.nowMs = nowMs;
      if (nowMs === 2000 || nowMs === 22_000) edge.putWorkers(workerThatWarmsUp(nowMs));
      const started = requestAndServe(edge, nowMs < 26_000 || nowMs >= 32_000);
      if (isWarmingUp) for (let nth = 0; nth < started; nth += 1) atMs.push(nowMs);
    }
  }
  return atMs;
}

function workerThatWarmsUp(nowMs: number): WorkerView {
  return worker('w1', {
    slots: 100,
    warmUpUntilMs: nowMs + (nowMs === 2000 ? 10_000 : 30_000),
    number: nowMs,
  });
}

/** One step of an edge whose sends are served at once; how many started. */
function requestAndServe(edge: RouterHarness, isBusy: boolean): number {
  const before = edge.link.sent.length;
  if (isBusy && edge.router.waiting < 2) edge.submit('/often/x');
  edge.router.tick();
  let started = 0;
  for (const sent of edge.link.sent.slice(before)) {
    if (!sent.start()) continue;
    started += 1;
    sent.answer(200, 'ok');
  }
  return started;
}

/** The second in which most fell, of times in order. */
function busiestSecond(atMs: readonly number[]): { most: number; mostMs: number } {
  let most = 0;
  let mostMs = 0;
  for (const [place, fromMs] of atMs.entries()) {
    let end = place;
    while (end < atMs.length && (atMs[end] ?? 0) < fromMs + 1000) end += 1;
    if (end - place <= most) continue;
    most = end - place;
    mostMs = fromMs;
  }
  return { most, mostMs };
}
