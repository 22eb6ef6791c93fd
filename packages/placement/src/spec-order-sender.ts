import type { HoldingTarget, Spec } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import { TokenBucket } from './token-bucket.js';

/** One order to a worker. The epoch fences it: a worker has seen the highest. */
export interface SpecOrder {
  readonly worker: string;
  readonly epoch: number;
  readonly sequence: number;
  readonly action: 'inventory' | 'load' | 'unload';
  readonly model: string;
  readonly adapter: string;
}

/** What a worker says in reply. */
export interface SpecOrderReply {
  readonly holdings: readonly HoldingTarget[];
  /** True while an earlier load still goes on. */
  readonly busy: boolean;
}

/** What the orderer knows of a worker from its replies. */
export interface SpecWorkerState {
  readonly holdings: readonly HoldingTarget[];
  readonly reachable: boolean;
  /** For each model loaded by order: a number that grows with every load, so that warming is seen. */
  readonly loads: ReadonlyMap<string, number>;
}

/** What the orderer needs from its node. */
export interface SpecOrderContext {
  /** The epoch this node may act in; asked just before each order. */
  singletonEpoch(): number | undefined;
  order(order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  onWorkerState(worker: string, known: SpecWorkerState): void;
}

/** How much a model, or an adapter of it, is asked for; the more, the sooner it is loaded. */
export type Urgency = (model: string, adapter: string) => number;

interface WorkerChannel {
  known: SpecWorkerState | undefined;
  epoch: number;
  orderInFlight: boolean;
  notBeforeMs: number;
  failures: number;
  lastOrderMs: number;
  /** What is to be unloaded, and since when. */
  surplus: { part: string; sinceMs: number } | undefined;
}

const INVENTORY_INTERVAL_MS = 5000;
/** Loads ordered in a later epoch have higher numbers. */
const LOADS_PER_EPOCH = 65_536;
/** By then every edge that may admit has heard of the new target and sends no more to what goes. */
const UNLOAD_DELAY_MS = 1500;

/** How many pulls the store allows: so many a minute, and so many at once. */
class PullBucket {
  #bucket: TokenBucket;
  #flying = 0;

  constructor(nowMs: number) {
    this.#bucket = new TokenBucket(nowMs);
  }

  take(spec: Spec, nowMs: number): boolean {
    const perS = spec.store.pullsPerMinute / 60;
    this.#bucket.refill(perS, Math.max(1, Math.floor(perS)), nowMs);
    if (!this.#bucket.isOpen || this.#flying >= spec.store.concurrentPulls) return false;
    this.#bucket.take();
    this.#flying += 1;
    return true;
  }

  ended(): void {
    this.#flying = Math.max(0, this.#flying - 1);
  }
}

/**
 * Brings workers to their agreed targets, one order at a time to each. It
 * asks a worker what it holds before the first order of an epoch, unloads
 * before it loads, and never lets a worker hold more than its room.
 * @example
 * const orderer = new SpecOrderSender(context);
 * orderer.tick(spec, placement, rooms, nowMs);
 */
export class SpecOrderSender {
  #context: SpecOrderContext;
  #channels = new Map<string, WorkerChannel>();
  #bucket: PullBucket | undefined;
  #epoch = 0;
  #sequence = 0;
  #loads = 0;

  constructor(context: SpecOrderContext) {
    this.#context = context;
  }

  workerState(worker: string): SpecWorkerState | undefined {
    return this.#channels.get(worker)?.known;
  }

  tick(
    spec: Spec,
    placement: Readonly<Record<string, readonly HoldingTarget[]>>,
    workers: readonly { name: string; roomMb: number }[],
    nowMs: number,
    urgency: Urgency = () => 0,
  ): void {
    const epoch = this.#context.singletonEpoch();
    if (epoch === undefined) return;
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#bucket = new PullBucket(nowMs);
    }
    const loads: { name: string; bay: WorkerChannel; step: Step; urgency: number }[] = [];
    for (const { name, roomMb } of workers) {
      const bay = this.#channel(name);
      if (bay.orderInFlight || nowMs < bay.notBeforeMs) continue;
      const step = this.#next(bay, spec, placement[name] ?? [], roomMb, nowMs, urgency);
      if (step?.action === 'load')
        loads.push({ name, bay, step, urgency: urgency(step.model, step.adapter) });
      else if (step !== undefined) this.#send(name, bay, epoch, step, nowMs);
    }
    loads.sort((one, other) => other.urgency - one.urgency);
    for (const { name, bay, step } of loads) {
      if (this.#bucket?.take(spec, nowMs) !== true) return;
      this.#send(name, bay, epoch, step, nowMs);
    }
  }

  #channel(name: string): WorkerChannel {
    let bay = this.#channels.get(name);
    if (bay === undefined) {
      bay = {
        known: undefined,
        epoch: 0,
        orderInFlight: false,
        notBeforeMs: -Infinity,
        failures: 0,
        lastOrderMs: -Infinity,
        surplus: undefined,
      };
      this.#channels.set(name, bay);
    }
    return bay;
  }

  #next(
    bay: WorkerChannel,
    spec: Spec,
    target: readonly HoldingTarget[],
    roomMb: number,
    nowMs: number,
    urgency: Urgency,
  ): Step | undefined {
    const known = bay.known;
    if (known === undefined || !known.reachable || bay.epoch !== this.#epoch) return INVENTORY;
    const [surplus] = missing(target, known.holdings);
    if (surplus !== undefined) {
      const part = `${surplus.model}/${surplus.adapter}`;
      if (bay.surplus?.part !== part) bay.surplus = { part, sinceMs: nowMs };
      return nowMs - bay.surplus.sinceMs >= UNLOAD_DELAY_MS ? { action: 'unload', ...surplus } : undefined;
    }
    const [wanted] = missing(known.holdings, target).sort(
      (one, other) => urgency(other.model, other.adapter) - urgency(one.model, one.adapter),
    );
    if (wanted === undefined) return nowMs - bay.lastOrderMs > INVENTORY_INTERVAL_MS ? INVENTORY : undefined;
    const size = sizeMb(spec, known.holdings) + partMb(spec, wanted);
    return size <= roomMb ? { action: 'load', ...wanted } : undefined;
  }

  #send(name: string, bay: WorkerChannel, epoch: number, step: Step, nowMs: number): void {
    this.#sequence += 1;
    bay.orderInFlight = true;
    bay.lastOrderMs = nowMs;
    const order: SpecOrder = { worker: name, epoch, sequence: this.#sequence, ...step };
    const bucket = this.#bucket;
    this.#context.order(order, (reply) => {
      bay.orderInFlight = false;
      if (step.action === 'load') bucket?.ended();
      this.#onReply(name, bay, step, epoch, reply, nowMs);
    });
  }

  #onReply(
    name: string,
    bay: WorkerChannel,
    step: Step,
    epoch: number,
    reply: Result<SpecOrderReply, Fault>,
    nowMs: number,
  ): void {
    const loads = new Map(bay.known?.loads);
    if (step.action === 'load' && step.adapter === '') {
      this.#loads += 1;
      loads.set(step.model, epoch * LOADS_PER_EPOCH + this.#loads);
    }
    if (reply.isErr) {
      bay.failures += 1;
      bay.notBeforeMs = nowMs + Math.min(4000, 500 * 2 ** bay.failures);
      bay.epoch = 0;
      const reachable = bay.failures < 2 && (bay.known?.reachable ?? false);
      bay.known = { holdings: bay.known?.holdings ?? [], reachable, loads };
    } else {
      bay.failures = 0;
      bay.epoch = reply.value.busy ? 0 : epoch;
      if (reply.value.busy) bay.notBeforeMs = nowMs + 1000;
      bay.known = { holdings: reply.value.holdings, reachable: true, loads };
    }
    this.#context.onWorkerState(name, bay.known);
  }
}

interface Step {
  readonly action: SpecOrder['action'];
  readonly model: string;
  readonly adapter: string;
}

const INVENTORY: Step = { action: 'inventory', model: '', adapter: '' };

/** The parts of `wanted` that `held` lacks; of a model that is missing itself, only the model. */
function missing(
  held: readonly HoldingTarget[],
  wanted: readonly HoldingTarget[],
): { model: string; adapter: string }[] {
  return wanted.flatMap(({ model, adapters }) => {
    const there = held.find((holding) => holding.model === model);
    if (there === undefined) return [{ model, adapter: '' }];
    return adapters
      .filter((adapter) => !there.adapters.includes(adapter))
      .map((adapter) => ({ model, adapter }));
  });
}

function partMb(spec: Spec, part: { model: string; adapter: string }): number {
  const known =
    part.adapter === ''
      ? spec.models.find((model) => model.name === part.model)
      : spec.adapters.find((adapter) => adapter.name === part.adapter);
  return known?.sizeMb ?? Infinity;
}

/**
 * What holdings take up by the spec's sizes; what the spec does not know counts as endless.
 * @example
 * sizeMb(spec, [{ model: 'gearbox-7b', adapters: [] }]); // 14000
 */
export function sizeMb(spec: Spec, holdings: readonly HoldingTarget[]): number {
  let sumMb = 0;
  for (const { model, adapters } of holdings) {
    sumMb += partMb(spec, { model, adapter: '' });
    for (const adapter of adapters) sumMb += partMb(spec, { model, adapter });
  }
  return sumMb;
}
