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

interface Sent {
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

function want(model: string, waiting: number, inFlight = 0, adapter = ''): EdgeDemand {
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

/** Workers that take orders as the rules say, one at a time, and a planner that orders them. */
class Bench {
  nowMs = 1000;
  fence: number | undefined = 7;
  evacuated: string[] = [];
  readonly sent: Sent[] = [];
  readonly wrong: string[] = [];
  readonly book = new WorkerTable();
  readonly planner: PlacementPlanner;
  /** What is there: adapters by model, by worker. */
  readonly held = new Map<string, Map<string, Set<string>>>();
  /** A reply in place of the worker's own. */
  reply: ((id: string, order: WorkerOrder) => WorkerOrderReply | undefined) | undefined;
  /** Orders that were sent and have not arrived yet. */
  readonly underWay: { readonly id: string; readonly order: WorkerOrder }[] = [];
  /** How many orders each worker has taken. */
  readonly sequences = new Map<string, number>();
  /** Workers that do not say what they hold. */
  readonly silent = new Set<string>();
  engine: Engine;
  #doing = new Map<string, { untilMs: number; done: () => void }>();

  constructor(engine: Engine, workers: readonly ListedWorker[]) {
    this.engine = engine;
    this.planner = new PlacementPlanner(this.book, {
      fence: () => this.fence,
      order: (row, order, done) => {
        this.sent.push({ atMs: this.nowMs, worker: row.id, order });
        done(this.reply?.(row.id, order) ?? this.take(row.id, order));
      },
      report: (row, done) => done(this.#reportReply(row.id)),
      nowMs: () => this.nowMs,
      onDecision: () => undefined,
    });
    this.book.learn(workers, this.nowMs);
    for (const { id, models } of this.book.rows) this.held.set(id, copyOf(models));
    // Each worker is asked what it holds.
    this.planner.sendDueOrders(new Map([['assist', this.engine]]), this.nowMs);
  }

  /** Heartbeats for a while; `wants` says what is asked for at each heartbeat. */
  run(forMs: number, wants: () => readonly EdgeDemand[]): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += HEARTBEAT_MS) {
      for (const [id, doing] of this.#doing) {
        if (this.nowMs < doing.untilMs) continue;
        this.#doing.delete(id);
        doing.done();
      }
      this.planner.updateDemand('edge', wants(), this.nowMs);
      const engines = new Map([['assist', this.engine]]);
      this.planner.plan(engines, this.evacuated, this.nowMs);
      this.planner.sendDueOrders(engines, this.nowMs);
    }
  }

  /** Decides once, and sends nothing. */
  planOnly(wants: readonly EdgeDemand[]): void {
    this.planner.updateDemand('edge', wants, this.nowMs);
    this.planner.plan(new Map([['assist', this.engine]]), this.evacuated, this.nowMs);
  }

  holders(model: string, adapter = ''): string[] {
    return [...this.held]
      .filter(([, models]) => (adapter === '' ? models.has(model) : models.get(model)?.has(adapter) === true))
      .map(([id]) => id);
  }

  loads(): Sent[] {
    return this.sent.filter(({ order }) => order.action === 'load');
  }

  /** All orders that are under way arrive; their sender hears no answer. */
  arrive(): void {
    for (const { id, order } of this.underWay.splice(0)) this.take(id, order);
  }

  #reportReply(id: string): ReportReply {
    if (this.silent.has(id)) return 'no-answer';
    return this.#doing.has(id) ? 'busy' : this.#reportOf(id);
  }

  #reportOf(id: string): WorkerReport {
    return { holdings: this.held.get(id) ?? new Map(), sequence: this.sequences.get(id) ?? 0 };
  }

  /** An order arrives at a worker. */
  take(id: string, order: WorkerOrder): WorkerOrderReply {
    const sequence = this.sequences.get(id) ?? 0;
    if (this.#doing.has(id) || order.sequence !== sequence) return 'busy';
    const reply = this.#do(id, order);
    if (reply === 'begun') this.sequences.set(id, sequence + 1);
    return reply;
  }

  #do(id: string, { action, model, adapter }: WorkerOrder): WorkerOrderReply {
    const models = this.held.get(id);
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
      this.#doing.set(id, { untilMs: this.nowMs + LOAD_MS, done: () => models.set(model, new Set()) });
    else adapters?.add(adapter);
    this.#check(id, adapter === '' ? 33 : 0);
    return 'begun';
  }

  #check(id: string, comingMb: number): void {
    const models = [...(this.held.get(id) ?? new Map<string, Set<string>>())];
    const count = models.reduce((sum, [, adapters]) => sum + adapters.size, 0);
    const usedMb = comingMb + models.length * 33 + count * 0.2;
    if (usedMb > this.engine.roomMb) this.wrong.push(`${id} holds ${usedMb} MB`);
    if (count > this.engine.adapterPlaces) this.wrong.push(`${id} holds ${count} adapters`);
  }
}

/** Requests wait for what stands nowhere and run where it stands. */
function steady(bench: Bench, models: readonly string[], count: number): () => EdgeDemand[] {
  return () =>
    models.map((model) => (bench.holders(model).length > 0 ? want(model, 0, count) : want(model, count)));
}

describe('the placement of models on demand', () => {
  it('loads what is waited for and stands nowhere', () => {
    const bench = new Bench(engineOf(4), [listed('w1'), listed('w2')]);
    bench.run(3000, steady(bench, ['m2'], 1));
    expect([bench.holders('m2').length > 0, bench.loads()[0]?.order]).toEqual([
      true,
      { action: 'load', model: 'm2', adapter: '', fence: 7, sequence: 0 },
    ]);
  });

  it('makes room first, and never goes beyond it', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    bench.run(3000, steady(bench, ['m5'], 1));
    bench.run(3000, steady(bench, ['m6', 'm7'], 1));
    expect([bench.wrong, bench.holders('m6').length, bench.holders('m7').length]).toEqual([[], 1, 1]);
  });

  it('lets go what can be loaded again in time, before what was unused longer and cannot wait', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    const busy = { ...want('m2', 0, 1), meanTargetMs: 100 };
    bench.run(1000, () => [busy, { ...want('m0', 0, 1), meanTargetMs: 100 }]);
    bench.run(1000, () => [busy, { ...want('m1', 0, 1), meanTargetMs: 5000 }]);
    bench.run(1000, () => [busy]);
    bench.run(2000, () => [busy, ...steady(bench, ['m5'], 1)()]);
    expect([bench.holders('m0'), bench.holders('m1'), bench.holders('m5')]).toEqual([['w1'], [], ['w1']]);
  });

  it('loads first what loses the most requests until it is there', () => {
    const bench = new Bench(engineOf(8), [listed('w1')]);
    bench.run(1000, () => [
      { ...want('m4', 3), meanTargetMs: 5000 },
      { ...want('m5', 2), perS: 20, meanTargetMs: 100 },
    ]);
    expect(bench.loads()[0]?.order.model).toEqual('m5');
  });

  it('holds no more adapters than there are places, also when many are asked for at once', () => {
    const bench = new Bench(engineOf(3), [listed('w1', ['m0', 'm1', 'm2'])]);
    const adapters = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'];
    bench.run(4000, () =>
      ['m0', 'm1'].flatMap((model) => [
        want(model, 0, 1),
        ...adapters.map((adapter) =>
          bench.holders(model, adapter).length > 0 ? want(model, 0, 1, adapter) : want(model, 1, 0, adapter),
        ),
      ]),
    );
    expect(bench.wrong).toEqual([]);
  });

  it('orders nothing more of a worker that gave no answer until it has said what it holds', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    function wants(): EdgeDemand[] {
      return [want('m0', 0, 1), want('m1', 0, 1), want('m5', 2), want('m6', 1)];
    }
    bench.silent.add('w1');
    bench.reply = (id, order) => {
      if (order.model !== 'm5') return undefined;
      bench.take(id, order);
      return 'no-answer';
    };
    bench.run(6000, wants);
    expect(bench.sent.map(({ order }) => order.model)).toEqual(['m5']);
    bench.silent.clear();
    bench.run(4000, () => [want('m0', 0, 1), want('m1', 0, 1), want('m5', 0, 2)]);
    expect([bench.wrong, bench.holders('m5'), bench.sent.length]).toEqual([[], ['w1'], 1]);
  });

  it('loads elsewhere what a worker was to load that gives no answer', () => {
    const bench = new Bench(engineOf(8), [listed('w1'), listed('w2')]);
    const first = 'w1';
    bench.reply = (id) => (id === first ? 'no-answer' : undefined);
    bench.silent.add(first);
    bench.run(6000, steady(bench, ['m5'], 1));
    expect([bench.sent[0]?.worker, bench.holders('m5')]).toEqual([first, ['w2']]);
  });

  it('orders nothing without the duty', () => {
    const bench = new Bench(engineOf(4), [listed('w1')]);
    bench.fence = undefined;
    bench.run(2000, () => [want('m1', 3)]);
    expect(bench.sent).toEqual([]);
  });

  it('orders nothing on workers whose holdings are not certain', () => {
    const bench = new Bench(engineOf(4), [listed('w1')]);
    bench.silent.add('w2');
    bench.book.learn([listed('w1', ['m0']), listed('w2')], bench.nowMs);
    bench.run(6000, () => [want('m1', 3)]);
    expect(bench.sent.filter(({ worker }) => worker === 'w2')).toEqual([]);
  });

  it('loads nothing new where it is evacuated or where a worker leaves', () => {
    const bench = new Bench(engineOf(6), [
      listed('w1'),
      listed('w2', [], { zone: 'east' }),
      listed('w3', [], { zone: 'west' }),
    ]);
    bench.evacuated = ['north'];
    bench.book.learn(
      [listed('w1'), listed('w2', [], { zone: 'east', draining: true }), listed('w3', [], { zone: 'west' })],
      bench.nowMs,
    );
    bench.run(4000, () => ['m0', 'm1', 'm2', 'm3'].map((model) => want(model, 2)));
    expect([...new Set(bench.sent.map(({ worker }) => worker))]).toEqual(['w3']);
  });

  it('keeps within the loads of the store in any window', () => {
    const workers = Array.from({ length: 12 }, (_, place) => listed(`w${place}`));
    const bench = new Bench(engineOf(60), workers);
    let turn = 0;
    bench.run(20_000, () => {
      turn += 1;
      return Array.from({ length: 8 }, (_, place) =>
        want(`m${(Math.floor(turn / 20) * 3 + place * 7) % 60}`, 2),
      );
    });
    const begun = bench
      .loads()
      .filter(
        (load, place, all) =>
          load.order.adapter === '' &&
          all.findIndex((one) => one.worker === load.worker && one.order.model === load.order.model) ===
            place,
      );
    const most = Math.max(
      ...begun.map(({ atMs }) => begun.filter((one) => one.atMs >= atMs && one.atMs < atMs + 5000).length),
    );
    expect([begun.length > 40, most <= 6 * 5 * 1.1 + 3]).toEqual([true, true]);
  });

  it('comes to rest while demand is steady', () => {
    const wrong: string[] = [];
    for (const [models, count] of [
      [4, 2],
      [4, 6],
      [6, 4],
      [5, 8],
      [7, 8],
    ] as const) {
      const names = Array.from({ length: models }, (_, place) => `m${place}`);
      const bench = new Bench(engineOf(12), [
        listed('w1', ['m8']),
        listed('w2', ['m9']),
        listed('w3', ['m10']),
        listed('w4', ['m11']),
      ]);
      bench.run(12_000, steady(bench, names, count));
      const before = bench.sent.length;
      bench.run(5000, steady(bench, names, count));
      const nowhere = names.filter((model) => bench.holders(model).length === 0);
      if (bench.sent.length > before)
        wrong.push(
          `${models} models, ${count} requests each: ${bench.sent.length - before} orders in 5 s of rest`,
        );
      if (nowhere.length > 0)
        wrong.push(`${models} models, ${count} requests each: ${nowhere.join(', ')} stand nowhere`);
    }
    expect(wrong).toEqual([]);
  });
});

/** Requests for one model after the other, on a worker that has room for three of them. */
function moving(): () => EdgeDemand[] {
  let heartbeats = 0;
  return () => {
    heartbeats += 1;
    return [want(`m${Math.floor(heartbeats / 40) % 8}`, 1)];
  };
}

describe('the room of a worker', () => {
  it('is kept when unloads are refused', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    bench.reply = (_id, order) => (order.action === 'unload' ? 'refused' : undefined);
    bench.run(20_000, moving());
    expect([bench.wrong, bench.sent.length > 0]).toEqual([[], true]);
  });

  it('is kept when a load is taken without an answer and refused when it is sent again', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    let tries = 0;
    bench.reply = (_id, order) => {
      if (order.action === 'unload') return undefined;
      tries += 1;
      if (tries % 2 === 0) return 'refused';
      bench.take('w1', order);
      return 'no-answer';
    };
    bench.run(20_000, moving());
    expect([bench.wrong, tries > 4]).toEqual([[], true]);
  });

  it('is kept when orders arrive long after they were sent', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1', 'm2'])]);
    let count = 0;
    bench.reply = (id, order) => {
      count += 1;
      if (count % 3 > 0) return undefined;
      bench.underWay.push({ id, order });
      return 'no-answer';
    };
    const wants = moving();
    for (let round = 0; round < 12; round += 1) {
      bench.run(1700, wants);
      bench.arrive();
    }
    expect([bench.wrong, bench.loads().length > 4]).toEqual([[], true]);
  });

  it('is kept when an order of an earlier coordinator arrives after the worker has reported', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    const late: WorkerOrder = { action: 'load', model: 'm7', adapter: '', fence: 6, sequence: 0 };
    expect(bench.take('w1', late)).toEqual('begun');
    bench.run(4000, () => [want('m5', 1)]);
    expect([bench.wrong, bench.holders('m7'), bench.holders('m5')]).toEqual([[], ['w1'], ['w1']]);
  });

  it('is measured with the sizes that hold when the order is sent', () => {
    const bench = new Bench(engineOf(8), [listed('w1', ['m0', 'm1'])]);
    bench.planOnly([want('m5', 1)]);
    bench.engine = engineOf(8, { roomMb: 70 });
    bench.run(400, () => [want('m0', 0, 1), want('m1', 0, 1), want('m5', 1)]);
    expect([bench.wrong, bench.loads()]).toEqual([[], []]);
  });
});
