import { spread } from '@rainrun/nacelle';
import { WorkerBook, type BookRow } from './book.js';

/** What a model weighs and how long it takes to load. */
export interface StockModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapterMb: number;
}

/** The engines of one service. */
export interface StockEngine {
  readonly service: string;
  readonly slots: number;
  readonly roomMb: number;
  readonly adapterPlaces: number;
  readonly loadsPerS: number;
  readonly models: ReadonlyMap<string, StockModel>;
}

/** What one edge asks for of a model or of an adapter of it. */
export interface StockWant {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  readonly waiting: number;
  readonly inFlight: number;
  readonly perS: number;
}

/** An order to a worker. */
export interface StockOrder {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly adapter: string;
  readonly fence: number;
}

/** How a worker answered an order. */
export type StockReply = 'begun' | 'held' | 'busy' | 'fenced' | 'wrong-worker' | 'refused' | 'no-answer';

/** What the stocker needs of its node. */
export interface StockGear {
  /** The fence under which this node may order now, or undefined; asked just before each order. */
  fence(): number | undefined;
  order(row: BookRow, order: StockOrder, done: (reply: StockReply) => void): void;
  nowMs(): number;
  /** Called for each decision, for the logs. */
  decided(text: string): void;
}

interface Step {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly adapter: string;
  posted: boolean;
  notBeforeMs: number;
}

interface Work {
  steps: Step[];
  /** Models that this life has held: they come back from its own disk. */
  readonly held: Set<string>;
  /** All that may be there: what is held, and what an order may have brought. */
  readonly present: Map<string, Set<string>>;
}

interface Demand {
  waiting: number;
  inFlight: number;
  perS: number;
  adapters: Map<string, { waiting: number; inFlight: number; perS: number }>;
}

const WANT_MS = 2000;
const SETTLE_MS = 12;
const AGAIN_MS = 60;
const SILENT_MS = 1000;
const SMOOTH_MS = 1000;
/** Part of a worker's slots that its copies should have in use: the set point of the copies' loop. */
const SLOTS_WANTED = 0.2;
const REST_MS = 400;
/** A request that no worker can take counts for more than one that a busy copy takes late. */
const ALONE = 1.5;

/**
 * Decides which worker holds which model, and orders it, while this node has
 * the duty. A model that is asked for and stands nowhere is loaded at once, in
 * the place of what has been unused longest; models in demand stand as often
 * as their concurrency needs.
 * @example
 * const stocker = new Stocker(book, gear);
 * stocker.want('life-1', wants, nowMs);
 * stocker.beat(engines, evacuated, nowMs);
 */
export class Stocker {
  #book: WorkerBook;
  #gear: StockGear;
  #works = new Map<string, Work>();
  #wants = new Map<string, { atMs: number; wants: readonly StockWant[] }>();
  #usedMs = new Map<string, number>();
  #smooth = new Map<string, { value: number; atMs: number }>();
  /** Loads from the store that may begin now, by service; a new holder begins with none. */
  #tokens = new Map<string, { count: number; atMs: number }>();
  readonly counts = { loads: 0, unloads: 0, orders: 0, busy: 0, unanswered: 0 };

  constructor(book: WorkerBook, gear: StockGear) {
    this.#book = book;
    this.#gear = gear;
  }

  /** Takes what an edge asks for now; it replaces what it asked for before. */
  want(life: string, wants: readonly StockWant[], nowMs: number): void {
    this.#wants.set(life, { atMs: nowMs, wants });
  }

  beat(engines: ReadonlyMap<string, StockEngine>, evacuated: readonly string[], nowMs: number): void {
    for (const [life, known] of this.#wants) if (nowMs - known.atMs > WANT_MS) this.#wants.delete(life);
    for (const id of this.#works.keys()) if (this.#book.row(id) === undefined) this.#works.delete(id);
    for (const engine of engines.values()) {
      const rows = [...this.#book.rows].filter((row) => row.service === engine.service && !row.gone);
      this.#refill(engine, nowMs);
      this.#plan(engine, rows, evacuated, nowMs);
      for (const row of rows) this.#pursue(engine, row, nowMs);
    }
  }

  /** The orders under way or waiting, for operators. */
  get pending(): number {
    let count = 0;
    for (const work of this.#works.values()) count += work.steps.length;
    return count;
  }

  #work(row: BookRow): Work {
    let work = this.#works.get(row.id);
    if (work === undefined) {
      work = { steps: [], held: new Set(row.models.keys()), present: new Map([...row.models].map(([model, adapters]) => [model, new Set(adapters)])) };
      this.#works.set(row.id, work);
    }
    return work;
  }

  #refill(engine: StockEngine, nowMs: number): void {
    const known = this.#tokens.get(engine.service) ?? { count: 0, atMs: nowMs };
    this.#tokens.set(engine.service, known);
    known.count = Math.min(this.#atOnce(engine), known.count + (engine.loadsPerS * (nowMs - known.atMs)) / 1000);
    known.atMs = nowMs;
  }

  /** So many loads at once run at full speed. */
  #atOnce(engine: StockEngine): number {
    let loadMs = 1000;
    for (const model of engine.models.values()) loadMs = Math.min(loadMs, model.loadMs);
    return Math.max(1, Math.round((engine.loadsPerS * loadMs) / 1000));
  }

  #demands(engine: StockEngine): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const { wants } of this.#wants.values()) {
      for (const want of wants) {
        if (want.service !== engine.service || !engine.models.has(want.model)) continue;
        const demand = demands.get(want.model) ?? { waiting: 0, inFlight: 0, perS: 0, adapters: new Map<string, { waiting: number; inFlight: number; perS: number }>() };
        demands.set(want.model, demand);
        demand.waiting += want.waiting;
        demand.inFlight += want.inFlight;
        demand.perS += want.perS;
        if (want.adapter === '') continue;
        const adapter = demand.adapters.get(want.adapter) ?? { waiting: 0, inFlight: 0, perS: 0 };
        demand.adapters.set(want.adapter, adapter);
        adapter.waiting += want.waiting;
        adapter.inFlight += want.inFlight;
        adapter.perS += want.perS;
      }
    }
    return demands;
  }

  /** Concurrency of a model over the fleet, smoothed. */
  #concurrency(key: string, now: number, nowMs: number): number {
    const known = this.#smooth.get(key) ?? { value: now, atMs: nowMs };
    const part = 1 - Math.exp(-(nowMs - known.atMs) / SMOOTH_MS);
    known.value += (now - known.value) * part;
    known.atMs = nowMs;
    this.#smooth.set(key, known);
    return known.value;
  }

  #plan(engine: StockEngine, rows: readonly BookRow[], evacuated: readonly string[], nowMs: number): void {
    const demands = this.#demands(engine);
    const usable = rows.filter((row) => row.sure && !row.leaving && !evacuated.includes(row.zone));
    const copies = new Map<string, number>();
    for (const row of usable) for (const model of this.#coming(row)) copies.set(model, (copies.get(model) ?? 0) + 1);
    const desired = new Map<string, number>();
    const needs: { model: string; worth: number; helped: number }[] = [];
    for (const [model, demand] of demands) {
      const key = `${engine.service}/${model}`;
      if (demand.waiting + demand.inFlight > 0) this.#usedMs.set(key, nowMs);
      const now = demand.inFlight + demand.waiting;
      const concurrency = Math.max(now, this.#concurrency(key, now, nowMs));
      const wanted = Math.min(usable.length, Math.max(1, Math.ceil(concurrency / Math.max(1, engine.slots * SLOTS_WANTED))));
      desired.set(model, wanted);
      const have = copies.get(model) ?? 0;
      if (have === 0 && demand.waiting > 0) needs.push({ model, worth: 8, helped: ALONE * demand.waiting });
      else if (have > 0 && have < wanted) needs.push({ model, worth: have * 2 <= wanted ? 8 : 4 + (wanted - have) / wanted, helped: concurrency - have * engine.slots * SLOTS_WANTED });
    }
    needs.sort((one, other) => other.helped - one.helped);
    let running = 0;
    for (const row of rows) {
      const work = this.#work(row);
      if (work.steps.some((known) => known.action === 'load' && known.adapter === '' && !work.held.has(known.model))) running += 1;
    }
    for (const need of needs) {
      const placed = this.#place(engine, usable, need, demands, copies, desired, running < this.#atOnce(engine), nowMs);
      if (placed === 'from-store') running += 1;
    }
    for (const [model, demand] of demands) this.#placeAdapters(engine, usable, model, demand, nowMs);
  }

  /** Models that a worker holds or will hold once its orders are done. */
  #coming(row: BookRow): Set<string> {
    const models = new Set(row.models.keys());
    for (const step of this.#work(row).steps) {
      if (step.adapter !== '') continue;
      if (step.action === 'load') models.add(step.model);
      else models.delete(step.model);
    }
    return models;
  }

  /** What a copy is worth where it stands; more than a need is worth, and it stays. */
  #valueOf(engine: StockEngine, model: string, demand: Demand | undefined, copies: number, desired: number, nowMs: number): number {
    const idleMs = nowMs - (this.#usedMs.get(`${engine.service}/${model}`) ?? -60_000);
    const active = demand !== undefined && demand.inFlight + demand.waiting > 0;
    if (copies > Math.max(1, desired)) return 1 + (active ? 0.5 : 0);
    if (copies > 1) return active ? 6 : 2;
    if (active) return 12;
    if (idleMs < REST_MS) return 7.5;
    return 2 + 2 / (1 + idleMs / 1000);
  }

  #place(
    engine: StockEngine,
    rows: readonly BookRow[],
    need: { readonly model: string; readonly worth: number },
    demands: ReadonlyMap<string, Demand>,
    copies: Map<string, number>,
    desired: ReadonlyMap<string, number>,
    storeFree: boolean,
    nowMs: number,
  ): 'no' | 'from-disk' | 'from-store' {
    const model = engine.models.get(need.model);
    if (model === undefined || model.sizeMb > engine.roomMb) return 'no';
    let best: { row: BookRow; cost: number; victims: string[] } | undefined;
    for (const row of rows) {
      const work = this.#work(row);
      if (work.steps.length > 0 || work.present.has(need.model)) continue;
      const fromDisk = work.held.has(need.model);
      if (!fromDisk && (!storeFree || (this.#tokens.get(engine.service)?.count ?? 0) < 1)) continue;
      let freeMb = engine.roomMb - this.#usedMb(engine, work);
      const victims: string[] = [];
      let cost = fromDisk ? -0.9 : 0;
      const others = [...work.present.keys()]
        .map((other) => ({ other, value: this.#valueOf(engine, other, demands.get(other), copies.get(other) ?? 0, desired.get(other) ?? 0, nowMs) }))
        .sort((one, other) => one.value - other.value);
      for (const { other, value } of others) {
        if (freeMb >= model.sizeMb) break;
        if (value >= need.worth) break;
        victims.push(other);
        freeMb += this.#sizeMb(engine, other, work);
        cost += value;
      }
      if (freeMb < model.sizeMb) continue;
      if (best === undefined || cost < best.cost) best = { row, cost, victims };
    }
    if (best === undefined) return 'no';
    const { row, victims } = best;
    const work = this.#work(row);
    for (const victim of victims) {
      row.models.delete(victim);
      copies.set(victim, (copies.get(victim) ?? 1) - 1);
      work.steps.push(step('unload', victim, '', nowMs + SETTLE_MS));
    }
    if (victims.length > 0) this.#book.changed(row);
    work.steps.push(step('load', need.model, '', nowMs));
    work.present.set(need.model, new Set());
    copies.set(need.model, (copies.get(need.model) ?? 0) + 1);
    const tokens = this.#tokens.get(engine.service);
    if (!work.held.has(need.model) && tokens !== undefined) tokens.count -= 1;
    this.#gear.decided(`${row.id} loads ${need.model}${victims.length > 0 ? ` in the place of ${victims.join(', ')}` : ''} (worth ${need.worth.toFixed(2)})`);
    return work.held.has(need.model) ? 'from-disk' : 'from-store';
  }

  #sizeMb(engine: StockEngine, model: string, work: Work): number {
    const known = engine.models.get(model);
    return (known?.sizeMb ?? engine.roomMb) + (work.present.get(model)?.size ?? 0) * (known?.adapterMb ?? 0);
  }

  #usedMb(engine: StockEngine, work: Work): number {
    let sumMb = 0;
    for (const model of work.present.keys()) sumMb += this.#sizeMb(engine, model, work);
    return sumMb;
  }

  #placeAdapters(engine: StockEngine, rows: readonly BookRow[], model: string, demand: Demand, nowMs: number): void {
    const size = engine.models.get(model)?.adapterMb ?? 0;
    for (const [adapter, wanted] of demand.adapters) {
      const key = `${engine.service}/${model}/${adapter}`;
      if (wanted.waiting + wanted.inFlight > 0) this.#usedMs.set(key, nowMs);
      if (wanted.waiting === 0) continue;
      const holders = rows.filter((row) => row.models.has(model));
      const there = holders.some((row) => row.models.get(model)?.has(adapter) === true || this.#work(row).steps.some((known) => known.action === 'load' && known.model === model && known.adapter === adapter));
      if (there || holders.length === 0) continue;
      holders.sort((one, other) => this.#work(one).steps.length - this.#work(other).steps.length || spread(`${adapter} ${one.id}`) - spread(`${adapter} ${other.id}`));
      for (const row of holders) {
        const work = this.#work(row);
        if (work.steps.length > 2) continue;
        const adapters = [...work.present].flatMap(([known, names]) => [...names].map((name) => ({ known, name, usedMs: this.#usedMs.get(`${engine.service}/${known}/${name}`) ?? -Infinity })));
        if (engine.roomMb - this.#usedMb(engine, work) < size) continue;
        if (adapters.length >= engine.adapterPlaces) {
          const queued = work.steps.filter((known) => known.adapter !== '');
          if (adapters.length - queued.filter((known) => known.action === 'unload').length >= engine.adapterPlaces + 1) continue;
          const free = adapters.filter(({ known, name }) => !queued.some((one) => one.model === known && one.adapter === name) && (this.#adapterIdle(demand, known, model, name)));
          const oldest = free.sort((one, other) => one.usedMs - other.usedMs)[0];
          if (oldest === undefined) continue;
                    row.models.get(oldest.known)?.delete(oldest.name);
          this.#book.changed(row);
          work.steps.push(step('unload', oldest.known, oldest.name, nowMs + SETTLE_MS));
        }
        work.steps.push(step('load', model, adapter, nowMs));
        work.present.get(model)?.add(adapter);
        break;
      }
    }
  }

  /** Whether an adapter is not in use now, as far as the edges say. */
  #adapterIdle(demand: Demand, known: string, model: string, adapter: string): boolean {
    const wanted = known === model ? demand.adapters.get(adapter) : undefined;
    return wanted === undefined || wanted.waiting + wanted.inFlight === 0;
  }

  /**
   * What a worker said itself, newer than any order of an earlier holder of
   * the duty: from here on its holdings are known.
   */
  settle(row: BookRow, models: ReadonlyMap<string, ReadonlySet<string>>): void {
    row.models = new Map([...models].map(([model, adapters]) => [model, new Set(adapters)]));
    row.sure = true;
    this.#works.delete(row.id);
    this.#book.changed(row);
  }

  /** Whether some request waits for a model or an adapter. */
  get pressed(): boolean {
    return [...this.#wants.values()].some(({ wants }) => wants.some((want) => want.waiting > 0));
  }

  #pursue(engine: StockEngine, row: BookRow, nowMs: number): void {
    const work = this.#work(row);
    const first = work.steps[0];
    if (first === undefined) return;
    if (row.leaving) {
      work.steps = [];
      return;
    }
    if (!row.sure) return;
    if (first.posted || nowMs < first.notBeforeMs) return;
    const fence = this.#gear.fence();
    if (fence === undefined) return;
    const { action, model, adapter } = first;
    if (action === 'load' && adapter !== '' && work.present.get(model)?.has(adapter) !== true) {
      work.steps.shift();
      return;
    }
    first.posted = true;
    this.counts.orders += 1;
    this.#gear.order(row, { action, model, adapter, fence }, (reply) => this.#replied(engine, row, work, first, reply));
  }

  #replied(engine: StockEngine, row: BookRow, work: Work, done: Step, reply: StockReply): void {
    if (work.steps[0] !== done) return;
    const nowMs = this.#gear.nowMs();
    function again(waitMs: number): void {
      done.posted = false;
      done.notBeforeMs = nowMs + waitMs;
    }
    switch (reply) {
      case 'begun': {
        if (done.action === 'unload') return this.#finish(row, work, done);
        if (done.adapter !== '') return this.#finish(row, work, done);
        const loadMs = engine.models.get(done.model)?.loadMs ?? 1000;
        this.counts.loads += 1;
        return again(work.held.has(done.model) ? loadMs * 0.62 : loadMs + 5);
      }
      case 'held':
        return this.#finish(row, work, done);
      case 'busy':
        this.counts.busy += 1;
        return again(done.adapter === '' ? AGAIN_MS : AGAIN_MS / 3);
      case 'no-answer':
        this.counts.unanswered += 1;
        return again(SILENT_MS);
      case 'fenced':
        return again(SILENT_MS);
      case 'wrong-worker':
      case 'refused':
        if (done.action === 'load' && reply === 'refused') this.#forget(work, done);
        work.steps.shift();
        return;
    }
  }

  #forget(work: Work, done: Step): void {
    if (done.adapter === '') work.present.delete(done.model);
    else work.present.get(done.model)?.delete(done.adapter);
  }

  #finish(row: BookRow, work: Work, done: Step): void {
    work.steps.shift();
    if (done.action === 'unload') {
      this.#forget(work, done);
      this.counts.unloads += 1;
    } else if (done.adapter === '') {
      work.held.add(done.model);
      row.models.set(done.model, new Set(work.present.get(done.model) ?? []));
    } else row.models.get(done.model)?.add(done.adapter);
    this.#book.changed(row);
  }
}

function step(action: 'load' | 'unload', model: string, adapter: string, notBeforeMs: number): Step {
  return { action, model, adapter, posted: false, notBeforeMs };
}
