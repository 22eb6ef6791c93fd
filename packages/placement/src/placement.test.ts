import { describe, it } from 'node:test';
import { readSpec, type HoldingTarget, type Spec } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { Loop } from './feedback-loop.js';
import { SpecOrderSender, holdingsMb, type SpecOrder, type SpecOrderReply } from './spec-order-sender.js';
import { SpecPlacer } from './spec-placer.js';
import type { SpecModelDemand } from './spec-placement-needs.js';
import { SPEC_PLACER_SETTINGS } from './spec-placer-settings.js';
import type { SpecPlacerWorker } from './spec-worker-plan.js';

function specOf(models: number, pullsPerMinute = 6000): Spec {
  const read = readSpec(
    JSON.stringify({
      deployment: 'd',
      zones: ['z1', 'z2'],
      store: { pullsPerMinute, concurrentPulls: 2 },
      workers: { roomMb: 1000, slots: 4 },
      models: Array.from({ length: models }, (_, place) => ({ name: `m${place}`, sizeMb: 400 })),
      adapters: [{ name: 'a', model: 'm0', sizeMb: 50 }],
      groups: [
        { name: 'g', share: 1, kinds: [{ name: 'k', targetMs: 100, patienceMs: 1000 }], models: ['*'] },
      ],
      routes: [{ path: '/v1/chat/completions', serve: 'chat' }],
    }),
  );
  return read.isOk ? read.value : ({} as Spec);
}

describe('the feedback loop', () => {
  const settings = { gain: 0.5, integralPerS: 0.2, min: 0.25, max: 4, stepPerS: 0.5, deadBand: 0.05 };

  it('changes its output in bounded steps and stays within its bounds', () => {
    const loop = new Loop(settings);
    const outputs = Array.from({ length: 60 }, () => loop.move(10, 1));
    const steps = outputs.map((output, place) => output / (outputs[place - 1] ?? 1));
    expect(Math.max(...steps) <= 1.5).toEqual(true);
    expect(Math.max(...outputs)).toEqual(4);
  });

  it('does not wind up: it leaves its bound soon even after a long time there', () => {
    const loop = new Loop(settings);
    for (let second = 0; second < 600; second += 1) loop.move(10, 1);
    let seconds = 0;
    while (loop.move(0.5, 1) > 1.5 && seconds < 100) seconds += 1;
    expect(seconds < 15).toEqual(true);
  });

  it('keeps its output while the error is within the dead band', () => {
    const loop = new Loop(settings);
    for (let second = 0; second < 50; second += 1) loop.move(1.02, 1);
    expect(loop.output).toEqual(1);
  });

  it('converges without oscillation when the load responds to its output', () => {
    const loop = new Loop(settings);
    const outputs: number[] = [];
    for (let second = 0; second < 200; second += 1) outputs.push(loop.move(2 / loop.output, 1));
    const tail = outputs.slice(-50);
    expect(Math.max(...tail) - Math.min(...tail) < 0.15).toEqual(true);
  });
});

function worker(name: string, zone: string, holdings: HoldingTarget[] = []): SpecPlacerWorker {
  return { name, zone, roomMb: 1000, slots: 4, usable: true, holdings };
}

function demand(arrivalsPerS: number): SpecModelDemand {
  return { arrivalsPerS, backlog: 0, adapters: new Map() };
}

function runPlacer(
  spec: Spec,
  workers: SpecPlacerWorker[],
  demands: Map<string, SpecModelDemand>,
  steps: number,
  fromMs = 0,
): { moves: number; workers: SpecPlacerWorker[] } {
  const placer = new SpecPlacer(SPEC_PLACER_SETTINGS);
  let now = workers;
  let moves = 0;
  for (let step = 0; step < steps; step += 1) {
    const changes = placer.step(spec, now, demands, fromMs + step * 1000);
    moves += Object.keys(changes).length;
    now = now.map((one) => ({ ...one, holdings: changes[one.name] ?? one.holdings }));
  }
  return { moves, workers: now };
}

describe('the placer of the research groups deployment', () => {
  it('fills free memory and never exceeds it', () => {
    const spec = specOf(4);
    const { workers } = runPlacer(spec, [worker('w1', 'z1'), worker('w2', 'z2')], new Map(), 20);
    expect(workers.map((one) => holdingsMb(spec, one.holdings) <= one.roomMb)).toEqual([true, true]);
    expect(workers.flatMap((one) => one.holdings.map((held) => held.model)).sort()).toEqual([
      'm0',
      'm1',
      'm2',
      'm3',
    ]);
  });

  it('evicts a copy for a rarely requested model, and makes no further moves', () => {
    const spec = specOf(6);
    const start = runPlacer(spec, [worker('w1', 'z1'), worker('w2', 'z2')], new Map(), 10).workers;
    const demands = new Map([['m5', demand(1)]]);
    const moved = runPlacer(spec, start, demands, 10, 100_000);
    expect(moved.workers.some((one) => one.holdings.some((held) => held.model === 'm5'))).toEqual(true);
    expect(runPlacer(spec, moved.workers, demands, 60, 200_000).moves).toEqual(0);
  });

  it('adds a copy in the other zone under pressure', () => {
    const spec = specOf(2);
    const start = [
      worker('w1', 'z1', [{ model: 'm0', adapters: [] }]),
      worker('w2', 'z2', [{ model: 'm1', adapters: [] }]),
    ];
    const { workers } = runPlacer(spec, start, new Map([['m0', demand(20)]]), 3);
    expect(workers[1]?.holdings.map((held) => held.model)).toEqual(['m1', 'm0']);
  });

  it('places requested models in a second zone while there is memory, and evicts unrequested models first', () => {
    function zonesOf(workers: readonly SpecPlacerWorker[], model: string): string[] {
      return workers
        .filter((one) => one.holdings.some((held) => held.model === model))
        .map((one) => one.zone);
    }
    const requested = new Map([['m0', demand(0.1)]]);
    const start = runPlacer(specOf(3), [worker('w1', 'z1'), worker('w2', 'z2')], requested, 10).workers;
    const more = new Map([...requested, ['m3', demand(0.5)]]);
    const later = runPlacer(specOf(4), start, more, 30, 100_000);
    expect([
      zonesOf(start, 'm0').sort(),
      zonesOf(later.workers, 'm3').length,
      zonesOf(later.workers, 'm0').length,
    ]).toEqual([['z1', 'z2'], 1, 2]);
    expect(runPlacer(specOf(4), later.workers, more, 60, 900_000).moves).toEqual(0);
  });

  it('rotates equally requested models that do not all fit, with at most half of the pull rate of the store', () => {
    const spec = specOf(8);
    const demands = new Map(spec.models.map(({ name }) => [name, demand(0.05)]));
    const placer = new SpecPlacer(SPEC_PLACER_SETTINGS);
    let now = [worker('w1', 'z1'), worker('w2', 'z2')];
    const placed = new Set<string>();
    let moves = 0;
    for (let nowMs = 0; nowMs < 120_000; nowMs += 1000) {
      const changes = placer.step(spec, now, demands, nowMs);
      if (nowMs > 20_000) moves += Object.keys(changes).length;
      now = now.map((one) => ({ ...one, holdings: changes[one.name] ?? one.holdings }));
      for (const { holdings } of now) for (const { model } of holdings) placed.add(model);
    }
    const maxMoves = (100_000 / 60_000) * spec.store.pullsPerMinute * 0.5 + 1;
    expect([placed.size, moves <= maxMoves]).toEqual([8, true]);
  });

  it('places nothing on an unusable worker', () => {
    const spec = specOf(2);
    const { workers } = runPlacer(
      spec,
      [{ ...worker('w1', 'z1'), usable: false }, worker('w2', 'z2')],
      new Map(),
      5,
    );
    expect(workers[0]?.holdings).toEqual([]);
  });
});

class OrderSenderHarness {
  epoch: number | undefined = 1;
  readonly orders: SpecOrder[] = [];
  readonly pendingReplies: (() => void)[] = [];
  holdings: HoldingTarget[] = [];
  fails = false;
  readonly sender = new SpecOrderSender({
    singletonEpoch: () => this.epoch,
    order: (order, done) => {
      this.orders.push(order);
      this.pendingReplies.push(() => done(this.#reply(order)));
    },
    onWorkerState: () => undefined,
  });

  #reply(order: SpecOrder): Result<SpecOrderReply, Fault> {
    if (this.fails) return Result.err(fault('unreached', 'dark'));
    if (order.action === 'load') this.holdings = [...this.holdings, { model: order.model, adapters: [] }];
    if (order.action === 'unload') this.holdings = this.holdings.filter((held) => held.model !== order.model);
    return Result.ok({ holdings: this.holdings, busy: false });
  }

  tick(spec: Spec, target: HoldingTarget[], nowMs: number): void {
    this.sender.tick(spec, { w: target }, [{ name: 'w', roomMb: 1000 }], nowMs);
  }

  reply(): void {
    for (const done of this.pendingReplies.splice(0)) done();
  }

  get actions(): string[] {
    return this.orders.map((order) => `${order.action}${order.model === '' ? '' : ` ${order.model}`}`);
  }
}

describe('the order sender of the research groups deployment', () => {
  const target = [{ model: 'm1', adapters: [] }];

  it('requests the inventory first and unloads before it loads, one order at a time', () => {
    const harness = new OrderSenderHarness();
    harness.holdings = [{ model: 'm0', adapters: [] }];
    for (let nowMs = 0; nowMs < 2000; nowMs += 50) {
      harness.tick(specOf(2), target, nowMs);
      harness.tick(specOf(2), target, nowMs);
      harness.reply();
    }
    expect(harness.actions).toEqual(['inventory', 'unload m0', 'load m1']);
  });

  it('delays an unload until edges have stopped sending requests for the model', () => {
    const harness = new OrderSenderHarness();
    harness.holdings = [{ model: 'm0', adapters: [] }];
    for (let nowMs = 0; nowMs < 1400; nowMs += 50) {
      harness.tick(specOf(2), target, nowMs);
      harness.reply();
    }
    expect(harness.actions).toEqual(['inventory']);
  });

  it('sends no order without the singleton lease', () => {
    const harness = new OrderSenderHarness();
    harness.epoch = undefined;
    for (let nowMs = 0; nowMs < 2000; nowMs += 50) harness.tick(specOf(2), target, nowMs);
    expect(harness.actions).toEqual([]);
  });

  it('requests the inventory again in a new epoch and after an order with an unknown outcome', () => {
    const harness = new OrderSenderHarness();
    harness.tick(specOf(2), [], 0);
    harness.reply();
    harness.epoch = 2;
    harness.tick(specOf(2), target, 100);
    harness.reply();
    for (let nowMs = 150; harness.orders.length < 3; nowMs += 50) harness.tick(specOf(2), target, nowMs);
    harness.fails = true;
    harness.reply();
    harness.fails = false;
    harness.tick(specOf(2), target, 60_000);
    harness.reply();
    expect(harness.actions).toEqual(['inventory', 'inventory', 'load m1', 'inventory']);
  });

  it('loads no faster than the pull rate of the store', () => {
    const harness = new OrderSenderHarness();
    const spec = specOf(2, 12);
    let loads = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
      harness.holdings = [];
      harness.tick(spec, target, nowMs);
      harness.reply();
      loads = harness.orders.filter((order) => order.action === 'load').length;
    }
    expect(loads <= 12 && loads >= 10).toEqual(true);
  });

  it('loads the model of the highest urgency first', () => {
    const harness = new OrderSenderHarness();
    const two = ['m0', 'm1'].map((model) => ({ model, adapters: [] }));
    for (let nowMs = 0; nowMs < 2000; nowMs += 50) {
      harness.sender.tick(specOf(2), { w: two }, [{ name: 'w', roomMb: 1000 }], nowMs, (model) =>
        model === 'm1' ? 2 : 1,
      );
      harness.reply();
    }
    expect(harness.actions).toEqual(['inventory', 'load m1', 'load m0']);
  });

  it('requests the inventory with a higher sequence after an unknown outcome, so that workers can refuse a late order', () => {
    const harness = new OrderSenderHarness();
    harness.tick(specOf(3), target, 0);
    harness.reply();
    harness.tick(specOf(3), target, 100);
    const [, late] = harness.orders;
    harness.fails = true;
    harness.reply();
    harness.fails = false;
    harness.tick(specOf(3), [{ model: 'm2', adapters: [] }], 60_000);
    const inventory = harness.orders.at(-1);
    expect([late?.action, inventory?.action]).toEqual(['load', 'inventory']);
    expect([late?.epoch, (late?.sequence ?? 0) < (inventory?.sequence ?? 0)]).toEqual([
      inventory?.epoch,
      true,
    ]);
  });

  it('never orders more than the memory holds', () => {
    const harness = new OrderSenderHarness();
    const three = ['m0', 'm1', 'm2'].map((model) => ({ model, adapters: [] }));
    for (let nowMs = 0; nowMs < 5000; nowMs += 50) {
      harness.tick(specOf(3), three, nowMs);
      harness.reply();
    }
    expect(holdingsMb(specOf(3), harness.holdings)).toEqual(800);
  });
});
