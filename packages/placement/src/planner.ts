import { spread } from '@rainrun/common';
import { loadsAtOnce, type StockEngine } from './engine.js';
import { OrderSender, type OrderDependencies } from './order-sender.js';
import type { WorkerReport } from './orders.js';
import { adapterCount, modelMb, newStep, usedMb, type WorkerState } from './worker-state.js';
import { WorkerTable, type WorkerRecord } from './worker-table.js';
import { DemandTotals, type Demand, type StockWant } from './demand-totals.js';
import { Loop, type LoopSettings } from './loop.js';

/** What the planner needs of its node. */
export interface PlannerDependencies extends OrderDependencies {
  /** Called for each decision, for the logs. */
  decided(text: string): void;
}

/** A copy that is wanted. */
interface Need {
  readonly model: string;
  readonly worth: number;
  /** Requests that it would help. */
  readonly helped: number;
  /** What each present copy carries. */
  readonly load: number;
}

interface Counts {
  readonly demands: ReadonlyMap<string, Demand>;
  readonly copies: Map<string, number>;
  readonly desired: ReadonlyMap<string, number>;
}

/** How much of a model runs and waits at once: lately, and at its height, which is forgotten slowly. */
interface Concurrency {
  recent: number;
  height: number;
  atMs: number;
}

const WANT_MS = 2000;
/** So long edges are given to learn that they may send no more for what is to go; longer where they do send. */
const SETTLE_MS = 15;
const SETTLE_USED_MS = 50;
const SMOOTH_MS = 400;
/** Copies are given up as slowly as this, so that a wave of demand does not move them to and fro. */
const HEIGHT_MS = 6000;
/** Part of a worker's slots that its copies should have in use: the set point of the copies' loop. */
const SLOTS_WANTED = 0.2;
/** Whatever the slots: reading prompts binds before slots do. */
const RUNS_WANTED = 7;
/** Where the wait for the first word should be, in parts of the target. */
const PRESSURE_WANTED = 0.2;
/** Rarely asked models say too little to steer by. */
const STEERED_PER_S = 3;
const COPIES_LOOP: LoopSettings = {
  gain: 0.4,
  integralPerS: 0.15,
  least: 0.6,
  most: 2.5,
  stepPerS: 0.8,
  deadBand: 0.25,
};
const LOOP_MS = 200;
/** A further copy is wanted only this much beyond the set point, in copies. */
const DEAD_BAND = 0.15;
const REST_MS = 400;
/** A copy stays so long once it is loaded. */
const RESIDE_MS = 800;
/** What stands nowhere and is waited for gains worth, until it takes the place even of what is in use: so none starves. */
const IMPATIENT_PER_S = 3;
const IMPATIENT_MOST = 6;
const RETIRE_MS = 400;
/** A copy of another model gives way if what its others then carry is this part of what the needy carry. */
const GIVES_WAY = 0.7;
/** Copies that carry so many times their set point are helped before others' idle ones. */
const HEAVY = 1.6;
/** A request that no worker can take counts for more than one that a busy copy takes late. */
const ALONE = 1.5;
/** What it is worth that a model comes from a worker's own disk: sooner, and without the store. */
const DISK = 1.5;

/**
 * Decides which worker holds which model, and orders it, while this node has
 * the duty. A model that is asked for and stands nowhere is loaded at once, in
 * the place of what has been unused longest; models in demand stand as often
 * as their concurrency needs.
 * @example
 * const planner = new PlacementPlanner(book, dependencies);
 * planner.want('incarnation-1', wants, nowMs);
 * planner.plan(engines, evacuated, nowMs);
 * planner.pursue(engines, nowMs);
 */
export class PlacementPlanner {
  #book: WorkerTable;
  #dependencies: PlannerDependencies;
  #sender: OrderSender;
  #totals = new DemandTotals();
  #usedMs = new Map<string, number>();
  /** Since when a model that stands nowhere is waited for. */
  #waitingMs = new Map<string, number>();
  /** When a copy of a model was last taken out of use. */
  #retiredMs = new Map<string, number>();
  #smooth = new Map<string, Concurrency>();
  #loops = new Map<string, { readonly loop: Loop; atMs: number }>();
  /** Loads from the store that may begin now, by service; a new holder begins with none. */
  #tokens = new Map<string, { count: number; atMs: number }>();

  constructor(book: WorkerTable, dependencies: PlannerDependencies) {
    this.#book = book;
    this.#dependencies = dependencies;
    this.#sender = new OrderSender(book, dependencies);
  }

  get counts(): Readonly<OrderSender['counts']> {
    return this.#sender.counts;
  }

  /** Takes all that an edge asks for now, or where `partial` what has changed of it. */
  want(incarnation: string, wants: readonly StockWant[], nowMs: number, partial = false): void {
    if (partial) this.#totals.update(incarnation, wants, nowMs);
    else this.#totals.set(incarnation, wants, nowMs);
  }

  /** Decides anew which worker is to hold what. Its cost grows with models, workers and edges: see `PlanPacer`. */
  plan(engines: ReadonlyMap<string, StockEngine>, evacuated: readonly string[], nowMs: number): void {
    this.#totals.expire(nowMs - WANT_MS);
    this.#sender.forgetGone();
    for (const engine of engines.values()) {
      this.#refill(engine, nowMs);
      this.#plan(engine, this.#rowsOf(engine), evacuated, nowMs);
    }
  }

  /** Sends the orders that are due, in what was decided before. */
  pursue(engines: ReadonlyMap<string, StockEngine>, nowMs: number): void {
    for (const engine of engines.values())
      for (const row of this.#rowsOf(engine)) this.#sender.pursue(engine, row, nowMs);
  }

  #rowsOf(engine: StockEngine): WorkerRecord[] {
    return [...this.#book.rows].filter((row) => row.service === engine.service && !row.gone);
  }

  #work(row: WorkerRecord): WorkerState {
    return this.#sender.state(row);
  }

  #refill(engine: StockEngine, nowMs: number): void {
    const known = this.#tokens.get(engine.service) ?? { count: 0, atMs: nowMs };
    this.#tokens.set(engine.service, known);
    known.count = Math.min(
      loadsAtOnce(engine),
      known.count + (engine.loadsPerS * (nowMs - known.atMs)) / 1000,
    );
    known.atMs = nowMs;
  }

  /** What is asked for of the models that an engine can load. */
  #demands(engine: StockEngine): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const [model, demand] of this.#totals.of(engine.service))
      if (engine.models.has(model)) demands.set(model, demand);
    return demands;
  }

  #concurrency(key: string, now: number, nowMs: number): Concurrency {
    const known = this.#smooth.get(key) ?? { recent: now, height: now, atMs: nowMs };
    this.#smooth.set(key, known);
    const passedMs = nowMs - known.atMs;
    known.recent += (now - known.recent) * (1 - Math.exp(-passedMs / SMOOTH_MS));
    known.height = Math.max(known.recent, known.height * Math.exp(-passedMs / HEIGHT_MS));
    known.atMs = nowMs;
    return known;
  }

  #plan(
    engine: StockEngine,
    rows: readonly WorkerRecord[],
    evacuated: readonly string[],
    nowMs: number,
  ): void {
    const demands = this.#demands(engine);
    const usable = rows.filter((row) => row.sure && !row.leaving && !evacuated.includes(row.zone));
    const copies = new Map<string, number>();
    for (const row of rows)
      if (!row.leaving && !evacuated.includes(row.zone))
        for (const model of this.#coming(row)) copies.set(model, (copies.get(model) ?? 0) + 1);
    const desired = new Map<string, number>();
    const needs: Need[] = [];
    for (const [model, demand] of demands) {
      const key = `${engine.service}/${model}`;
      if (demand.waiting + demand.inFlight > 0) this.#usedMs.set(key, nowMs);
      const { recent, height } = this.#concurrency(key, demand.inFlight + demand.waiting, nowMs);
      const each =
        Math.max(1, Math.min(RUNS_WANTED, engine.slots * SLOTS_WANTED)) / this.#steer(key, demand, nowMs);
      const wanted = Math.min(usable.length, Math.ceil(recent / each - DEAD_BAND));
      desired.set(model, Math.ceil(height / each));
      const have = copies.get(model) ?? 0;
      if (have > 0 || demand.waiting === 0) this.#waitingMs.delete(key);
      if (have === 0 && demand.waiting > 0) {
        const sinceMs = this.#waitingMs.get(key) ?? nowMs;
        this.#waitingMs.set(key, sinceMs);
        const worth = 8 + Math.min(IMPATIENT_MOST, ((nowMs - sinceMs) / 1000) * IMPATIENT_PER_S);
        needs.push({ model, worth, helped: ALONE * demand.waiting, load: Infinity });
      }
      if (have > 0 && have < wanted)
        needs.push({
          model,
          worth: recent > HEAVY * have * each ? 7.6 : 4 + (wanted - have) / wanted,
          helped: recent - have * each,
          load: recent / have,
        });
    }
    this.#retire(engine, usable, copies, desired, nowMs);
    needs.sort((one, other) => other.helped - one.helped);
    let running = 0;
    for (const row of rows) {
      const work = this.#work(row);
      if (work.isFetching) running += 1;
    }
    for (const need of needs) {
      if (this.#revive(usable, need.model, copies)) continue;
      const placed = this.#place(
        engine,
        usable,
        need,
        { demands, copies, desired },
        running < loadsAtOnce(engine),
        nowMs,
      );
      if (placed === 'from-store') running += 1;
    }
    for (const [model, demand] of demands) this.#placeAdapters(engine, usable, model, demand, nowMs);
  }

  /** How many times its copies a model needs, by how promptly workers take up its requests. */
  #steer(key: string, demand: Demand, nowMs: number): number {
    const known = this.#loops.get(key) ?? { loop: new Loop(COPIES_LOOP), atMs: nowMs };
    this.#loops.set(key, known);
    const passedMs = nowMs - known.atMs;
    if (passedMs >= LOOP_MS) {
      known.atMs = nowMs;
      const pressure = demand.perS < STEERED_PER_S ? 0 : demand.pressed / demand.perS;
      if (pressure > 0) known.loop.move(pressure / PRESSURE_WANTED, Math.min(1, passedMs / 1000));
    }
    return known.loop.output;
  }

  /** Models that a worker holds or will hold once its orders are done. */
  #coming(row: WorkerRecord): Set<string> {
    const models = new Set(row.models.keys());
    for (const step of this.#work(row).steps) {
      if (step.adapter !== '') continue;
      if (step.action === 'load') models.add(step.model);
      else models.delete(step.model);
    }
    return models;
  }

  /**
   * What a copy is worth where it stands; more than a need is worth, and it
   * stays. A further copy of one busy model gives way to another's only if
   * that is clearly better off for it, so that two do not take turns.
   */
  #valueOf(
    engine: StockEngine,
    row: WorkerRecord,
    model: string,
    need: Need,
    counts: Counts,
    nowMs: number,
  ): number {
    const key = `${engine.service}/${model}`;
    const demand = counts.demands.get(model);
    const copies = counts.copies.get(model) ?? 0;
    const active = demand !== undefined && demand.inFlight + demand.waiting > 0;
    if (this.#work(row).retired.has(model)) return 0.5;
    if (nowMs - (this.#work(row).sinceMs.get(model) ?? -Infinity) < RESIDE_MS) return copies > 1 ? 9 : 15;
    if (copies > Math.max(1, counts.desired.get(model) ?? 0)) return 1 + (active ? 0.5 : 0);
    if (copies > 1) {
      if (!active) return 2;
      const after = (this.#smooth.get(key)?.recent ?? 0) / (copies - 1);
      if (need.load === Infinity) return 6;
      return after < need.load * GIVES_WAY ? 3.5 : 9;
    }
    if (active) return 12 + Math.min(1, demand.inFlight / 100);
    const idleMs = nowMs - (this.#usedMs.get(key) ?? -60_000);
    if (idleMs < REST_MS) return 7.5;
    return 2 + 2 / (1 + idleMs / 1000);
  }

  /** Copies beyond what a model needs get no more requests, one at a time, so that nothing runs there when the room is wanted. */
  #retire(
    engine: StockEngine,
    rows: readonly WorkerRecord[],
    copies: Map<string, number>,
    desired: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    for (const [model, count] of copies) {
      if (count <= Math.max(1, desired.get(model) ?? 1) || !engine.models.has(model)) continue;
      const key = `${engine.service}/${model}`;
      if (nowMs - (this.#retiredMs.get(key) ?? -Infinity) < RETIRE_MS) continue;
      const holders = rows.filter(
        (row) =>
          row.models.has(model) &&
          this.#work(row).steps.length === 0 &&
          nowMs - (this.#work(row).sinceMs.get(model) ?? -Infinity) > RESIDE_MS,
      );
      const most = holders.sort((one, other) => other.models.size - one.models.size)[0];
      if (most === undefined || holders.length < 2) continue;
      this.#retiredMs.set(key, nowMs);
      most.models.delete(model);
      this.#work(most).retired.add(model);
      this.#book.changed(most, model);
      copies.set(model, count - 1);
    }
  }

  /** A retired copy is taken back into use; nothing is loaded for it. */
  #revive(rows: readonly WorkerRecord[], model: string, copies: Map<string, number>): boolean {
    for (const row of rows) {
      const work = this.#work(row);
      if (
        !work.retired.has(model) ||
        !work.holdings.has(model) ||
        work.steps.some((known) => known.model === model)
      )
        continue;
      work.retired.delete(model);
      row.models.set(model, new Set(work.holdings.get(model)));
      this.#book.changed(row, model);
      copies.set(model, (copies.get(model) ?? 0) + 1);
      return true;
    }
    return false;
  }

  #place(
    engine: StockEngine,
    rows: readonly WorkerRecord[],
    need: Need,
    counts: Counts,
    storeFree: boolean,
    nowMs: number,
  ): 'no' | 'from-disk' | 'from-store' {
    const model = engine.models.get(need.model);
    if (model === undefined || model.sizeMb > engine.roomMb) return 'no';
    let best: { row: WorkerRecord; cost: number; victims: string[] } | undefined;
    for (const row of rows) {
      const work = this.#work(row);
      if (work.steps.length > 0 || nowMs < work.restsUntilMs || work.planned.has(need.model)) continue;
      const fromDisk = work.onDisk.has(need.model);
      if (!fromDisk && (!storeFree || (this.#tokens.get(engine.service)?.count ?? 0) < 1)) continue;
      let freeMb = engine.roomMb - usedMb(engine, work.planned);
      const victims: string[] = [];
      let cost = fromDisk ? -DISK : 0;
      const others = [...work.planned.keys()]
        .map((other) => ({ other, value: this.#valueOf(engine, row, other, need, counts, nowMs) }))
        .sort((one, other) => one.value - other.value);
      for (const { other, value } of others) {
        if (freeMb >= model.sizeMb) break;
        if (value >= need.worth) break;
        victims.push(other);
        freeMb += modelMb(engine, other, work.planned.get(other)?.size ?? 0);
        cost += value;
      }
      if (freeMb < model.sizeMb) continue;
      if (best === undefined || cost < best.cost) best = { row, cost, victims };
    }
    if (best === undefined) return 'no';
    const { row, victims } = best;
    const work = this.#work(row);
    for (const victim of victims) {
      if (work.retired.delete(victim)) {
        work.add(newStep('unload', victim, '', nowMs));
        continue;
      }
      row.models.delete(victim);
      counts.copies.set(victim, (counts.copies.get(victim) ?? 1) - 1);
      const inUse = (counts.demands.get(victim)?.inFlight ?? 0) > 0;
      work.add(newStep('unload', victim, '', nowMs + (inUse ? SETTLE_USED_MS : SETTLE_MS)));
    }
    for (const victim of victims) this.#book.changed(row, victim);
    work.add(newStep('load', need.model, '', nowMs));
    counts.copies.set(need.model, (counts.copies.get(need.model) ?? 0) + 1);
    const tokens = this.#tokens.get(engine.service);
    if (!work.onDisk.has(need.model) && tokens !== undefined) tokens.count -= 1;
    this.#dependencies.decided(
      `${row.id} loads ${need.model}${victims.length > 0 ? ` in the place of ${victims.join(', ')}` : ''} (worth ${need.worth.toFixed(2)})`,
    );
    return work.onDisk.has(need.model) ? 'from-disk' : 'from-store';
  }

  #placeAdapters(
    engine: StockEngine,
    rows: readonly WorkerRecord[],
    model: string,
    demand: Demand,
    nowMs: number,
  ): void {
    const size = engine.models.get(model)?.adapterMb ?? 0;
    for (const [adapter, wanted] of demand.adapters) {
      const key = `${engine.service}/${model}/${adapter}`;
      if (wanted.waiting + wanted.inFlight > 0) this.#usedMs.set(key, nowMs);
      if (wanted.waiting === 0) continue;
      const holders = rows.filter((row) => row.models.has(model));
      const there = holders.some(
        (row) =>
          row.models.get(model)?.has(adapter) === true ||
          this.#work(row).steps.some(
            (known) => known.action === 'load' && known.model === model && known.adapter === adapter,
          ),
      );
      if (there || holders.length === 0) continue;
      holders.sort(
        (one, other) =>
          this.#work(one).steps.length - this.#work(other).steps.length ||
          spread(`${adapter} ${one.id}`) - spread(`${adapter} ${other.id}`),
      );
      for (const row of holders) {
        const work = this.#work(row);
        if (work.steps.length > 2 || nowMs < work.restsUntilMs) continue;
        if (engine.roomMb - usedMb(engine, work.planned) < size) continue;
        if (adapterCount(work.planned) >= engine.adapterPlaces) {
          const oldest = this.#oldestAdapter(engine, work, model, demand);
          if (oldest === undefined) continue;
          row.models.get(oldest.model)?.delete(oldest.adapter);
          this.#book.changed(row, oldest.model);
          work.add(newStep('unload', oldest.model, oldest.adapter, nowMs + SETTLE_MS));
        }
        work.add(newStep('load', model, adapter, nowMs));
        break;
      }
    }
  }

  /** Of the adapters that a worker holds and that are not in use, the one that was unused longest. */
  #oldestAdapter(
    engine: StockEngine,
    work: WorkerState,
    model: string,
    demand: Demand,
  ): { readonly model: string; readonly adapter: string } | undefined {
    let oldest: { readonly model: string; readonly adapter: string; readonly usedMs: number } | undefined;
    for (const [known, adapters] of work.planned) {
      for (const name of adapters) {
        if (work.holdings.get(known)?.has(name) !== true) continue;
        if (!this.#adapterIdle(demand, known, model, name)) continue;
        const usedMs = this.#usedMs.get(`${engine.service}/${known}/${name}`) ?? -Infinity;
        if (oldest === undefined || usedMs < oldest.usedMs) oldest = { model: known, adapter: name, usedMs };
      }
    }
    return oldest;
  }

  /** Whether an adapter is not in use now, as far as the edges say. */
  #adapterIdle(demand: Demand, known: string, model: string, adapter: string): boolean {
    const wanted = known === model ? demand.adapters.get(adapter) : undefined;
    return wanted === undefined || wanted.waiting + wanted.inFlight === 0;
  }

  /** Takes a worker's own word on what it holds: from here on it may be ordered. */
  settle(row: WorkerRecord, report: WorkerReport): void {
    this.#sender.settle(row, report);
  }
}
