import type { HoldingTarget, Spec } from '@rainrun/configuration';
import { fault, type RandomSource, type Fault } from '@rainrun/common';
import type { SpecOrder, SpecOrderReply } from '@rainrun/placement';
import { Result } from 'true-myth';
import type { Oracle } from './oracle.js';
import type { VirtualTime } from './world.js';

const WARM_UP_MS = 500;
const PREFIX_CACHE_SIZE = 32;
const WARM_UP_MAX_REQUESTS = 2;
/** Fraction of the responses that take long. */
const SLOW_ANSWER_RATIO = 0.15;

/** Services and state that the simulated workers share. */
export interface SimulationContext {
  readonly time: VirtualTime;
  readonly oracle: Oracle;
  readonly random: RandomSource;
  spec(): Spec | undefined;
  /** Whether the network currently blocks traffic from one name to another. */
  isCut(from: string, to: string): boolean;
  /** Returns what a request asks for. */
  requestPlan(id: string): RequestPlan;
  /** Records that a load or unload was started. */
  orderStarted(action: string): void;
}

/** What a simulated client asked for. */
export interface RequestPlan {
  readonly model: string;
  readonly streamed: boolean;
  /** Cost of the request if the workload defines it; otherwise the worker draws it at random. */
  readonly cost?: RequestCost;
}

/** Cost of one request: the prefill, a tenth of it if the prefix is cached, and then the output chunks. */
export interface RequestCost {
  readonly prefix: string;
  readonly prefillMs: number;
  readonly pieces: number;
  readonly gapMs: number;
}

/** Receives a worker's reply. */
export interface ReplySink {
  start(status: number, type: string): void;
  chunk(text: string): void;
  end(): void;
  fail(): void;
}

/** A request at a worker; `closed` tells the worker that the edge has closed the connection. */
export interface WorkerConnection {
  closed(): void;
}

/** How a worker answers: correctly, ending early, sending more after its end, or with an invalid reply. */
export type FaultMode = 'well' | 'early' | 'more' | 'nonsense';

interface RunningRequest {
  readonly model: string;
  ended: boolean;
  readonly reply: ReplySink;
}

const SSE = 'text/event-stream';

/** A simulated worker that executes orders and requests and reports them to the oracle. */
export class SimWorker {
  readonly name: string;
  readonly zone: string;
  readonly kind: 'model' | 'lookup';
  readonly slots: number;
  holdings: HoldingTarget[] = [];
  up = true;
  unresponsive = false;
  faultMode: FaultMode = 'well';
  /** Hits and misses of the prefix cache, and the prefill time that hits saved. */
  readonly prefill = { hits: 0, misses: 0, savedMs: 0 };
  #prefixes = new Set<string>();
  #runs = 0;
  #context: SimulationContext;
  #loadedAtMs = new Map<string, number>();
  #busyUntilMs = 0;
  #epoch = 0;
  #sequence = 0;
  #runningRequests = new Set<RunningRequest>();
  #boots = 0;
  #sizesMb = new Map<string, number>();

  constructor(
    context: SimulationContext,
    name: string,
    zone: string,
    kind: 'model' | 'lookup',
    slots: number,
  ) {
    this.#context = context;
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    this.slots = slots;
  }

  /** Crashes the worker: it loses its loaded models and its running requests. */
  crash(): void {
    this.up = false;
    this.#boots += 1;
    this.holdings = [];
    this.#loadedAtMs.clear();
    this.#busyUntilMs = 0;
    this.#sequence = 0;
    this.#context.oracle.orderFinished(this.name);
    for (const work of this.#runningRequests) {
      work.ended = true;
      work.reply.fail();
    }
    this.#runningRequests.clear();
  }

  receiveOrder(by: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void {
    const { time, oracle, random: rng, isCut } = this.#context;
    if (!this.up || this.unresponsive || isCut(by, this.name))
      return time.after(500, () => done(Result.err(fault('unreached', 'no reply'))));
    if (order.epoch === this.#epoch && order.sequence <= this.#sequence)
      return time.after(1, () => done(Result.err(fault('worker-nonsense', 'late'))));
    const acts = order.action !== 'inventory';
    const spec = this.#context.spec();
    if (spec !== undefined) this.#heldMb(spec);
    if (acts) oracle.orderStarted(this.name, by, order.epoch, time.nowMs());
    if (order.epoch < this.#epoch)
      oracle.reportBreach(
        'orders are fenced',
        `${this.name} got epoch ${order.epoch} after ${this.#epoch}`,
        time.nowMs(),
      );
    if (order.epoch >= this.#epoch) this.#sequence = order.sequence;
    this.#epoch = Math.max(this.#epoch, order.epoch);
    const busy = time.nowMs() < this.#busyUntilMs;
    if (acts && !busy) this.#context.orderStarted(order.action);
    if (acts && busy) oracle.reportBreach('no order to a busy worker', this.name, time.nowMs());
    const workMs = order.action === 'load' && !busy ? 300 + rng.next() * 500 : 1;
    if (workMs > 1) {
      this.#busyUntilMs = time.nowMs() + workMs;
      oracle.storePulled(this.#context.spec()?.store.pullsPerMinute ?? Infinity, time.nowMs());
    }
    const boots = this.#boots;
    time.after(workMs, () => {
      if (boots !== this.#boots) return done(Result.err(fault('unreached', 'torn')));
      if (acts) oracle.orderFinished(this.name);
      if (!busy) this.#applyOrder(order);
      if (rng.next() < 0.02 || isCut(this.name, by)) done(Result.err(fault('worker-nonsense', 'no reply')));
      else done(Result.ok({ holdings: this.holdings, busy }));
    });
  }

  /** Serves a request; an unresponsive worker never replies. */
  serve(id: string, reply: ReplySink): WorkerConnection {
    const { time, oracle, random: rng } = this.#context;
    const { model, streamed, cost } = this.#context.requestPlan(id);
    const work: RunningRequest = { model, ended: false, reply };
    const connection: WorkerConnection = {
      closed: () => {
        work.ended = true;
        this.#runningRequests.delete(work);
      },
    };
    if (!this.up) reply.fail();
    if (!this.up || this.unresponsive) return connection;
    const takes = this.kind === 'lookup' || this.holdings.some((held) => held.model === model);
    if (!takes || this.#runningRequests.size >= 2 * this.slots) {
      reply.start(503, 'application/json');
      reply.chunk('{}');
      reply.end();
      return connection;
    }
    this.#runningRequests.add(work);
    oracle.requestRan(id, this.name, this.zone, time.nowMs());
    const warmMs = time.nowMs() - (this.#loadedAtMs.get(model) ?? -Infinity);
    const atOnce = [...this.#runningRequests].filter((other) => other.model === model).length;
    if (warmMs < WARM_UP_MS && atOnce > WARM_UP_MAX_REQUESTS) {
      oracle.reportBreach(
        'a warming worker is not flooded',
        `${this.name}, ${atOnce} at once ${warmMs.toFixed(0)} ms after loading`,
        time.nowMs(),
      );
    }
    this.#runs += 1;
    const run = `${this.name}-${this.#runs}`;
    const of = cost?.pieces ?? (this.kind === 'lookup' ? 1 : 2 + Math.floor(rng.next() * 6));
    const pieces = Array.from({ length: of }, (_, place) => JSON.stringify({ id, run, place, of }));
    const longMs = rng.next() < SLOW_ANSWER_RATIO ? 3000 : 300;
    const gapMs = cost?.gapMs ?? (this.kind === 'lookup' ? 5 : (100 + rng.next() * longMs) / of);
    time.after(cost === undefined ? 0 : this.#prefillMs(cost), () => {
      if (work.ended) return;
      if (streamed) this.#stream(work, pieces, gapMs);
      else this.#replyWhole(work, pieces, gapMs);
    });
    return connection;
  }

  /** Returns the prefill time, a tenth if the prompt's prefix is cached, and updates the cache. */
  #prefillMs({ prefix, prefillMs }: RequestCost): number {
    const kept = this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    const [oldest] = this.#prefixes;
    if (this.#prefixes.size > PREFIX_CACHE_SIZE && oldest !== undefined) this.#prefixes.delete(oldest);
    this.prefill[kept ? 'hits' : 'misses'] += 1;
    if (kept) this.prefill.savedMs += prefillMs * 0.9;
    return kept ? prefillMs * 0.1 : prefillMs;
  }

  /**
   * Runs the steps one after another; an unresponsive worker continues where it stopped once it
   * responds again.
   */
  #runSteps(work: RunningRequest, gapMs: number, acts: readonly (() => void)[]): void {
    const [act, ...later] = acts;
    if (act === undefined) return;
    this.#context.time.after(gapMs, () => {
      if (work.ended) return;
      if (this.unresponsive) return this.#runSteps(work, gapMs, acts);
      act();
      this.#runSteps(work, gapMs, later);
    });
  }

  #finish(work: RunningRequest): void {
    work.ended = true;
    this.#runningRequests.delete(work);
  }

  #replyWhole(work: RunningRequest, pieces: readonly string[], gapMs: number): void {
    const body = `[${pieces.join(',')}]`;
    this.#runSteps(work, gapMs * pieces.length, [
      () => {
        this.#finish(work);
        work.reply.start(200, 'application/json');
        work.reply.chunk(this.faultMode === 'nonsense' ? '<html>' : body.slice(0, body.length / 2));
        if (this.faultMode === 'early') return work.reply.fail();
        work.reply.chunk(body.slice(body.length / 2));
        work.reply.end();
      },
    ]);
  }

  /** Sends one event after another, each split into two chunks, and then the closing event. */
  #stream(work: RunningRequest, pieces: readonly string[], gapMs: number): void {
    const { reply } = work;
    if (this.faultMode === 'nonsense') {
      this.#finish(work);
      reply.start(200, 'text/html');
      return reply.end();
    }
    const acts = pieces.map((piece, place) => () => {
      if (place === 0) reply.start(200, SSE);
      const event = `data: ${piece}\n\n`;
      const middle = Math.floor(event.length * this.#context.random.next());
      reply.chunk(event.slice(0, middle));
      reply.chunk(event.slice(middle));
      if (this.faultMode !== 'early' || place !== 1) return;
      this.#finish(work);
      reply.end();
    });
    this.#runSteps(work, gapMs, [
      ...acts,
      () => {
        this.#finish(work);
        reply.chunk('data: [DONE]\n\n');
        if (this.faultMode === 'more') reply.chunk(`data: ${pieces[0] ?? ''}\n\n`);
        reply.end();
      },
    ]);
  }

  /**
   * Memory of all that the worker holds; an item that the spec no longer lists counts with its last
   * known size.
   */
  #heldMb(spec: Spec): number {
    for (const { name, sizeMb } of [...spec.models, ...spec.adapters]) this.#sizesMb.set(name, sizeMb);
    let sumMb = 0;
    for (const { model, adapters } of this.holdings) {
      for (const name of [model, ...adapters]) sumMb += this.#sizesMb.get(name) ?? Infinity;
    }
    return sumMb;
  }

  #applyOrder(order: SpecOrder): void {
    const { model, adapter } = order;
    const others = this.holdings.filter((holding) => holding.model !== model);
    const held = this.holdings.find((holding) => holding.model === model);
    const adapters = (held?.adapters ?? []).filter((name) => name !== adapter);
    if (order.action === 'unload') this.holdings = adapter === '' ? others : [...others, { model, adapters }];
    if (order.action !== 'load') return;
    this.holdings = [...others, { model, adapters: adapter === '' ? adapters : [...adapters, adapter] }];
    if (adapter === '') this.#loadedAtMs.set(model, this.#context.time.nowMs());
    const spec = this.#context.spec();
    if (spec === undefined || this.kind === 'lookup') return;
    const heldMb = this.#heldMb(spec);
    if (heldMb > spec.workers.roomMb)
      this.#context.oracle.reportBreach(
        'room is kept',
        `${this.name} was told to hold ${heldMb} MB`,
        this.#context.time.nowMs(),
      );
  }
}
