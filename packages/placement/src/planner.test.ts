import { describe, it } from 'node:test';
import { expect } from 'earl';
import { WorkerTable, type ListedWorker } from './worker-table.js';
import type { Engine } from './engine.js';
import { copyOf } from './holdings.js';
import type { ReportReply, WorkerOrder, WorkerOrderReply, WorkerReport } from './orders.js';
import { PlacementPlanner } from './planner.js';
import type { EdgeDemand } from './demand-totals.js';

const HEARTBEAT_MS = 20;
const LOAD_MS = 600;

interface SentOrder {
  readonly atMs: number;
  readonly worker: string;
  readonly order: WorkerOrder;
}

function engineOf(models: number, change: Partial<Engine> = {}): Engine {
  const names = Array.from({ length: models }, (_, place) => `m${place}`);
  return {
    service: 'assist',
    slots: 8,
    roomMb: 100,
    adapterPlaces: 3,
    loadsPerS: 6,
    models: new Map(names.map((name) => [name, { name, sizeMb: 33, loadMs: LOAD_MS, adapterMb: 0.2 }])),
    ...change,
  };
}

function listed(
  id: string,
  models: readonly string[] = [],
  change: Partial<ListedWorker> = {},
): ListedWorker {
  return {
    id,
    service: 'assist',
    address: `${id}:80`,
    zone: 'north',
    slots: 8,
    draining: false,
    warmUpMs: 0,
    models: new Map(models.map((model) => [model, new Set<string>()])),
    ...change,
  };
}

function demand(model: string, waiting: number, inFlight = 0, adapter = ''): EdgeDemand {
  return {
    service: 'assist',
    model,
    adapter,
    waiting,
    inFlight,
    perS: 1,
    waitToTargetRatio: 0,
    meanTargetMs: 0,
  };
}

/** Workers that accept orders by the protocol, one at a time, and a planner that sends them orders. */
class PlannerHarness {
  nowMs = 1000;
  fence: number | undefined = 7;
  evacuated: string[] = [];
  readonly sent: SentOrder[] = [];
  readonly violations: string[] = [];
  readonly table = new WorkerTable();
  readonly planner: PlacementPlanner;
  /** The actual holdings: adapters by model, by worker. */
  readonly holdings = new Map<string, Map<string, Set<string>>>();
  /** Returns a reply to use in place of the worker's own, if any. */
  replyOverride: ((id: string, order: WorkerOrder) => WorkerOrderReply | undefined) | undefined;
  /** Orders that are sent but not delivered yet. */
  readonly delayedOrders: { readonly id: string; readonly order: WorkerOrder }[] = [];
  /** Number of orders that each worker has accepted. */
  readonly sequences = new Map<string, number>();
  /** Workers that do not answer report requests. */
  readonly unresponsive = new Set<string>();
  engine: Engine;
  #activeLoads = new Map<string, { untilMs: number; done: () => void }>();

  constructor(engine: Engine, workers: readonly ListedWorker[]) {
    this.engine = engine;
    this.planner = new PlacementPlanner(this.table, {
      fence: () => this.fence,
      order: (row, order, done) => {
        this.sent.push({ atMs: this.nowMs, worker: row.id, order });
        done(this.replyOverride?.(row.id, order) ?? this.deliver(row.id, order));
      },
      report: (row, done) => done(this.#reportReply(row.id)),
      nowMs: () => this.nowMs,
      onDecision: () => undefined,
    });
    this.table.learn(workers, this.nowMs);
    for (const { id, models } of this.table.rows) this.holdings.set(id, copyOf(models));
    // Requests a report from each worker.
    this.planner.sendDueOrders(new Map([['assist', this.engine]]), this.nowMs);
  }

  /** Runs heartbeats for some time; `demands` returns the demand at each heartbeat. */
  run(forMs: number, demands: () => readonly EdgeDemand[]): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += HEARTBEAT_MS) {
      for (const [id, load] of this.#activeLoads) {
        if (this.nowMs < load.untilMs) continue;
        this.#activeLoads.delete(id);
        load.done();
      }
      this.planner.updateDemand('edge', demands(), this.nowMs);
      const engines = new Map([['assist', this.engine]]);
      this.planner.plan(engines, this.evacuated, this.nowMs);
      this.planner.sendDueOrders(engines, this.nowMs);
    }
  }

  /** Plans once, without sending any order. */
  planOnly(demands: readonly EdgeDemand[]): void {
    this.planner.updateDemand('edge', demands, this.nowMs);
    this.planner.plan(new Map([['assist', this.engine]]), this.evacuated, this.nowMs);
  }

  holders(model: string, adapter = ''): string[] {
    return [...this.holdings]
      .filter(([, models]) => (adapter === '' ? models.has(model) : models.get(model)?.has(adapter) === true))
      .map(([id]) => id);
  }

  loads(): SentOrder[] {
    return this.sent.filter(({ order }) => order.action === 'load');
  }

  /** Delivers all delayed orders; their answers are lost. */
  deliverDelayed(): void {
    for (const { id, order } of this.delayedOrders.splice(0)) this.deliver(id, order);
  }

  #reportReply(id: string): ReportReply {
    if (this.unresponsive.has(id)) return 'no-answer';
    return this.#activeLoads.has(id) ? 'busy' : this.#reportOf(id);
  }

  #reportOf(id: string): WorkerReport {
    return { holdings: this.holdings.get(id) ?? new Map(), sequence: this.sequences.get(id) ?? 0 };
  }

  /** Delivers an order to a worker. */
  deliver(id: string, order: WorkerOrder): WorkerOrderReply {
    const sequence = this.sequences.get(id) ?? 0;
    if (this.#activeLoads.has(id) || order.sequence !== sequence) return 'busy';
    const reply = this.#execute(id, order);
    if (reply === 'begun') this.sequences.set(id, sequence + 1);
    return reply;
  }

  #execute(id: string, { action, model, adapter }: WorkerOrder): WorkerOrderReply {
    const models = this.holdings.get(id);
    if (models === undefined) return 'wrong-worker';
    const adapters = models.get(model);
    if (action === 'unload') {
      if (adapters === undefined || (adapter !== '' && !adapters.has(adapter))) return 'held';
      if (adapter === '') models.delete(model);
      else adapters.delete(adapter);
      return 'begun';
    }
    if (adapter === '' ? adapters !== undefined : adapters?.has(adapter) === true) return 'held';
    if (adapter !== '' && adapters === undefined) return 'refused';
    if (adapter === '')
      this.#activeLoads.set(id, { untilMs: this.nowMs + LOAD_MS, done: () => models.set(model, new Set()) });
    else adapters?.add(adapter);
    this.#checkCapacity(id, adapter === '' ? 33 : 0);
    return 'begun';
  }

  #checkCapacity(id: string, comingMb: number): void {
    const models = [...(this.holdings.get(id) ?? new Map<string, Set<string>>())];
    const count = models.reduce((sum, [, adapters]) => sum + adapters.size, 0);
    const usedMb = comingMb + models.length * 33 + count * 0.2;
    if (usedMb > this.engine.roomMb) this.violations.push(`${id} holds ${usedMb} MB`);
    if (count > this.engine.adapterPlaces) this.violations.push(`${id} holds ${count} adapters`);
  }
}

/** Demand in which requests run for the models that are loaded and wait for the others. */
function steadyDemand(harness: PlannerHarness, models: readonly string[], each: number): () => EdgeDemand[] {
  return () =>
    models.map((model) => (harness.holders(model).length > 0 ? demand(model, 0, each) : demand(model, each)));
}

describe('the placement of models on demand', () => {
  it('loads a model that requests wait for and that is loaded nowhere', () => {
    const harness = new PlannerHarness(engineOf(4), [listed('w1'), listed('w2')]);
    harness.run(3000, steadyDemand(harness, ['m2'], 1));
    expect([harness.holders('m2').length > 0, harness.loads()[0]?.order]).toEqual([
      true,
      { action: 'load', model: 'm2', adapter: '', fence: 7, sequence: 0 },
    ]);
  });

  it('evicts before it loads, and never exceeds the memory of a worker', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    harness.run(3000, steadyDemand(harness, ['m5'], 1));
    harness.run(3000, steadyDemand(harness, ['m6', 'm7'], 1));
    expect([harness.violations, harness.holders('m6').length, harness.holders('m7').length]).toEqual([
      [],
      1,
      1,
    ]);
  });

  it('evicts a model whose requests can wait for a load before a less recently used one whose requests cannot', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    const busy = { ...demand('m2', 0, 1), meanTargetMs: 100 };
    harness.run(1000, () => [busy, { ...demand('m0', 0, 1), meanTargetMs: 100 }]);
    harness.run(1000, () => [busy, { ...demand('m1', 0, 1), meanTargetMs: 5000 }]);
    harness.run(1000, () => [busy]);
    harness.run(2000, () => [busy, ...steadyDemand(harness, ['m5'], 1)()]);
    expect([harness.holders('m0'), harness.holders('m1'), harness.holders('m5')]).toEqual([
      ['w1'],
      [],
      ['w1'],
    ]);
  });

  it('first loads the model that would lose the most requests until it is loaded', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1')]);
    harness.run(1000, () => [
      { ...demand('m4', 3), meanTargetMs: 5000 },
      { ...demand('m5', 2), perS: 20, meanTargetMs: 100 },
    ]);
    expect(harness.loads()[0]?.order.model).toEqual('m5');
  });

  it('never exceeds the adapter places of a worker, even if many adapters are requested at once', () => {
    const harness = new PlannerHarness(engineOf(3), [listed('w1', ['m0', 'm1', 'm2'])]);
    const adapters = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'];
    harness.run(4000, () =>
      ['m0', 'm1'].flatMap((model) => [
        demand(model, 0, 1),
        ...adapters.map((adapter) =>
          harness.holders(model, adapter).length > 0
            ? demand(model, 0, 1, adapter)
            : demand(model, 1, 0, adapter),
        ),
      ]),
    );
    expect(harness.violations).toEqual([]);
  });

  it('sends no further order to a worker that gave no answer until it has reported its holdings', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    function demands(): EdgeDemand[] {
      return [demand('m0', 0, 1), demand('m1', 0, 1), demand('m5', 2), demand('m6', 1)];
    }
    harness.unresponsive.add('w1');
    harness.replyOverride = (id, order) => {
      if (order.model !== 'm5') return undefined;
      harness.deliver(id, order);
      return 'no-answer';
    };
    harness.run(6000, demands);
    expect(harness.sent.map(({ order }) => order.model)).toEqual(['m5']);
    harness.unresponsive.clear();
    harness.run(4000, () => [demand('m0', 0, 1), demand('m1', 0, 1), demand('m5', 0, 2)]);
    expect([harness.violations, harness.holders('m5'), harness.sent.length]).toEqual([[], ['w1'], 1]);
  });

  it('loads a model on another worker if the first one gives no answer', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1'), listed('w2')]);
    const first = 'w1';
    harness.replyOverride = (id) => (id === first ? 'no-answer' : undefined);
    harness.unresponsive.add(first);
    harness.run(6000, steadyDemand(harness, ['m5'], 1));
    expect([harness.sent[0]?.worker, harness.holders('m5')]).toEqual([first, ['w2']]);
  });

  it('sends no order without the singleton lease', () => {
    const harness = new PlannerHarness(engineOf(4), [listed('w1')]);
    harness.fence = undefined;
    harness.run(2000, () => [demand('m1', 3)]);
    expect(harness.sent).toEqual([]);
  });

  it('sends no order to workers whose holdings are unconfirmed', () => {
    const harness = new PlannerHarness(engineOf(4), [listed('w1')]);
    harness.unresponsive.add('w2');
    harness.table.learn([listed('w1', ['m0']), listed('w2')], harness.nowMs);
    harness.run(6000, () => [demand('m1', 3)]);
    expect(harness.sent.filter(({ worker }) => worker === 'w2')).toEqual([]);
  });

  it('loads nothing in an evacuated zone or on a draining worker', () => {
    const harness = new PlannerHarness(engineOf(6), [
      listed('w1'),
      listed('w2', [], { zone: 'east' }),
      listed('w3', [], { zone: 'west' }),
    ]);
    harness.evacuated = ['north'];
    harness.table.learn(
      [listed('w1'), listed('w2', [], { zone: 'east', draining: true }), listed('w3', [], { zone: 'west' })],
      harness.nowMs,
    );
    harness.run(4000, () => ['m0', 'm1', 'm2', 'm3'].map((model) => demand(model, 2)));
    expect([...new Set(harness.sent.map(({ worker }) => worker))]).toEqual(['w3']);
  });

  it('stays within the load rate of the store in any window of 5 s', () => {
    const workers = Array.from({ length: 12 }, (_, place) => listed(`w${place}`));
    const harness = new PlannerHarness(engineOf(60), workers);
    let turn = 0;
    harness.run(20_000, () => {
      turn += 1;
      return Array.from({ length: 8 }, (_, place) =>
        demand(`m${(Math.floor(turn / 20) * 3 + place * 7) % 60}`, 2),
      );
    });
    const started = harness
      .loads()
      .filter(
        (load, place, all) =>
          load.order.adapter === '' &&
          all.findIndex((one) => one.worker === load.worker && one.order.model === load.order.model) ===
            place,
      );
    const maxInWindow = Math.max(
      ...started.map(
        ({ atMs }) => started.filter((one) => one.atMs >= atMs && one.atMs < atMs + 5000).length,
      ),
    );
    expect([started.length > 40, maxInWindow <= 6 * 5 * 1.1 + 3]).toEqual([true, true]);
  });

  it('sends no orders after 12 s of steady demand', () => {
    const failures: string[] = [];
    for (const [models, count] of [
      [4, 2],
      [4, 6],
      [6, 4],
      [5, 8],
      [7, 8],
    ] as const) {
      const names = Array.from({ length: models }, (_, place) => `m${place}`);
      const harness = new PlannerHarness(engineOf(12), [
        listed('w1', ['m8']),
        listed('w2', ['m9']),
        listed('w3', ['m10']),
        listed('w4', ['m11']),
      ]);
      harness.run(12_000, steadyDemand(harness, names, count));
      const before = harness.sent.length;
      harness.run(5000, steadyDemand(harness, names, count));
      const missing = names.filter((model) => harness.holders(model).length === 0);
      if (harness.sent.length > before)
        failures.push(
          `${models} models, ${count} requests each: ${harness.sent.length - before} orders in 5 s of steady demand`,
        );
      if (missing.length > 0)
        failures.push(`${models} models, ${count} requests each: ${missing.join(', ')} loaded nowhere`);
    }
    expect(failures).toEqual([]);
  });
});

/** Demand for one of eight models after another, for a worker that can hold three of them. */
function rotatingDemand(): () => EdgeDemand[] {
  let heartbeats = 0;
  return () => {
    heartbeats += 1;
    return [demand(`m${Math.floor(heartbeats / 40) % 8}`, 1)];
  };
}

describe('the memory of a worker', () => {
  it('is never exceeded when unloads are refused', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    harness.replyOverride = (_id, order) => (order.action === 'unload' ? 'refused' : undefined);
    harness.run(20_000, rotatingDemand());
    expect([harness.violations, harness.sent.length > 0]).toEqual([[], true]);
  });

  it('is never exceeded when a load is accepted without an answer and refused when it is sent again', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    let tries = 0;
    harness.replyOverride = (_id, order) => {
      if (order.action === 'unload') return undefined;
      tries += 1;
      if (tries % 2 === 0) return 'refused';
      harness.deliver('w1', order);
      return 'no-answer';
    };
    harness.run(20_000, rotatingDemand());
    expect([harness.violations, tries > 4]).toEqual([[], true]);
  });

  it('is never exceeded when orders arrive long after they were sent', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    let count = 0;
    harness.replyOverride = (id, order) => {
      count += 1;
      if (count % 3 > 0) return undefined;
      harness.delayedOrders.push({ id, order });
      return 'no-answer';
    };
    const demands = rotatingDemand();
    for (let round = 0; round < 12; round += 1) {
      harness.run(1700, demands);
      harness.deliverDelayed();
    }
    expect([harness.violations, harness.loads().length > 4]).toEqual([[], true]);
  });

  it('is never exceeded when an order of an earlier coordinator arrives after the report of the worker', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    const late: WorkerOrder = { action: 'load', model: 'm7', adapter: '', fence: 6, sequence: 0 };
    expect(harness.deliver('w1', late)).toEqual('begun');
    harness.run(4000, () => [demand('m5', 1)]);
    expect([harness.violations, harness.holders('m7'), harness.holders('m5')]).toEqual([[], ['w1'], ['w1']]);
  });

  it('is computed with the sizes in force when the order is sent', () => {
    const harness = new PlannerHarness(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    harness.planOnly([demand('m5', 1)]);
    harness.engine = engineOf(8, { roomMb: 70 });
    harness.run(400, () => [demand('m0', 0, 1), demand('m1', 0, 1), demand('m5', 1)]);
    expect([harness.violations, harness.loads()]).toEqual([[], []]);
  });
});
