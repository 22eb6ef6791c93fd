import type { SendHandler, Sender, Sending, SendRequest } from '@rainrun/gate';
import type { HoldingTarget, Spec } from '@rainrun/marquee';
import { fault, type Chance, type Fault } from '@rainrun/nacelle';
import { sizeMb, type Order, type OrderReply } from '@rainrun/yaw';
import { Result } from 'true-myth';
import type { Oracle } from './oracle.js';
import type { VirtualTime } from './world.js';

const WARM_MS = 500;
const WARM_MOST = 2;

/** What the simulated workers share. */
export interface Grounds {
  readonly time: VirtualTime;
  readonly oracle: Oracle;
  readonly dice: Chance;
  spec(): Spec | undefined;
}

interface Work {
  readonly model: string;
  lost: boolean;
  readonly fail: () => void;
}

/** A simulated worker: takes orders and requests, and tells the oracle what it did. */
export class SimWorker {
  readonly name: string;
  readonly zone: string;
  readonly kind: 'model' | 'lookup';
  readonly slots: number;
  holdings: HoldingTarget[] = [];
  up = true;
  dark = false;
  #grounds: Grounds;
  #loadedMs = new Map<string, number>();
  #busyUntilMs = 0;
  #epoch = 0;
  #works = new Set<Work>();
  #boots = 0;

  constructor(grounds: Grounds, name: string, zone: string, kind: 'model' | 'lookup', slots: number) {
    this.#grounds = grounds;
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    this.slots = slots;
  }

  /** Goes down at once: what it held and what it worked on is gone. */
  crash(): void {
    this.up = false;
    this.#boots += 1;
    this.holdings = [];
    this.#loadedMs.clear();
    this.#busyUntilMs = 0;
    this.#grounds.oracle.orderEnds(this.name);
    for (const work of this.#works) {
      work.lost = true;
      work.fail();
    }
    this.#works.clear();
  }

  order(by: string, order: Order, done: (reply: Result<OrderReply, Fault>) => void): void {
    const { time, oracle, dice } = this.#grounds;
    if (!this.up || this.dark) return time.after(500, () => done(Result.err(fault('unreached', 'no reply'))));
    const acts = order.action !== 'inventory';
    if (acts) oracle.orderBegins(this.name, by, order.epoch, time.nowMs());
    if (order.epoch < this.#epoch) oracle.breach('orders are fenced', `${this.name} got epoch ${order.epoch} after ${this.#epoch}`, time.nowMs());
    this.#epoch = Math.max(this.#epoch, order.epoch);
    const busy = time.nowMs() < this.#busyUntilMs;
    if (acts && busy) oracle.breach('no order to a busy worker', this.name, time.nowMs());
    const workMs = order.action === 'load' && !busy ? 300 + dice.next() * 500 : 1;
    if (workMs > 1) {
      this.#busyUntilMs = time.nowMs() + workMs;
      oracle.pulled(this.#grounds.spec()?.store.pullsPerMinute ?? Infinity, time.nowMs());
    }
    const boots = this.#boots;
    time.after(workMs, () => {
      if (boots !== this.#boots) return done(Result.err(fault('unreached', 'torn')));
      if (acts) oracle.orderEnds(this.name);
      if (!busy) this.#carryOut(order);
      if (dice.next() < 0.02) done(Result.err(fault('worker-nonsense', 'no reply')));
      else done(Result.ok({ holdings: this.holdings, busy }));
    });
  }

  /** Serves a request; the reply may never come. */
  serve(id: string, model: string, reply: (status: number) => void, fail: () => void): void {
    const { time, oracle, dice } = this.#grounds;
    if (!this.up) return fail();
    if (this.dark) return;
    if (this.kind === 'model' && !this.holdings.some((held) => held.model === model)) return reply(503);
    if (this.#works.size >= 2 * this.slots) return reply(503);
    const work: Work = { model, lost: false, fail };
    this.#works.add(work);
    oracle.ran(id, this.name, this.zone, time.nowMs());
    const warmMs = time.nowMs() - (this.#loadedMs.get(model) ?? -Infinity);
    const atOnce = [...this.#works].filter((other) => other.model === model).length;
    if (warmMs < WARM_MS && atOnce > WARM_MOST) {
      oracle.breach('a warming worker is not flooded', `${this.name}, ${atOnce} at once ${warmMs.toFixed(0)} ms after loading`, time.nowMs());
    }
    const workMs = this.kind === 'lookup' ? 5 : 100 + dice.next() * 300;
    time.after(workMs, () => {
      if (work.lost) return;
      this.#works.delete(work);
      reply(200);
    });
  }

  #carryOut(order: Order): void {
    const { model, adapter } = order;
    const others = this.holdings.filter((holding) => holding.model !== model);
    const held = this.holdings.find((holding) => holding.model === model);
    const adapters = (held?.adapters ?? []).filter((name) => name !== adapter);
    if (order.action === 'unload') this.holdings = adapter === '' ? others : [...others, { model, adapters }];
    if (order.action !== 'load') return;
    this.holdings = [...others, { model, adapters: adapter === '' ? adapters : [...adapters, adapter] }];
    if (adapter === '') this.#loadedMs.set(model, this.#grounds.time.nowMs());
    const spec = this.#grounds.spec();
    if (spec === undefined || this.kind === 'lookup') return;
    const heldMb = sizeMb(spec, this.holdings);
    if (heldMb > spec.workers.roomMb) this.#grounds.oracle.breach('room is kept', `${this.name} was told to hold ${heldMb} MB`, this.#grounds.time.nowMs());
  }
}

/** The edge process that a sender belongs to: runs an act there, when it is awake, or never if it has died. */
export type AtEdge = (act: () => void) => void;

/** Carries requests from one simulated edge process to the workers. */
export class SimSender implements Sender {
  #grounds: Grounds;
  #workers: readonly SimWorker[];
  #atEdge: AtEdge;
  #modelOf: (id: string) => string;

  constructor(grounds: Grounds, workers: readonly SimWorker[], atEdge: AtEdge, modelOf: (id: string) => string) {
    this.#grounds = grounds;
    this.#workers = workers;
    this.#atEdge = atEdge;
    this.#modelOf = modelOf;
  }

  send(request: SendRequest, handler: SendHandler): Sending {
    const { time, oracle } = this.#grounds;
    const id = request.headers['rainrun-id'] ?? '';
    const worker = this.#workers.find((known) => known.name === request.address);
    const state = { over: false };
    time.after(this.#lagMs(), () =>
      this.#atEdge(() => {
        if (worker?.up !== true) return this.#end(state, () => handler.failed(false, 'refused'));
        if (state.over || !handler.mayStart()) return this.#end(state, () => handler.failed(false, 'not started'));
        oracle.sent(id, time.nowMs());
        time.after(request.stallMs, () => this.#end(state, () => handler.failed(true, 'silent')));
        time.after(this.#lagMs(), () => {
          worker.serve(
            id,
            this.#modelOf(id),
            (status) => this.#end(state, () => {
              handler.start(status, 'application/json');
              handler.chunk(Buffer.from('{}'));
              handler.end();
            }),
            () => this.#end(state, () => handler.failed(true, 'reset')),
          );
        });
      }),
    );
    return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
  }

  /** Tells the edge how a send ended, once. */
  #end(state: { over: boolean }, act: () => void): void {
    this.#grounds.time.after(this.#lagMs(), () =>
      this.#atEdge(() => {
        if (!state.over) act();
        state.over = true;
      }),
    );
  }

  #lagMs(): number {
    return 0.2 + this.#grounds.dice.next() * 2;
  }
}
