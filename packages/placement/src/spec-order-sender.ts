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
  state: SpecWorkerState | undefined;
  inventoryEpoch: number;
  orderInFlight: boolean;
  notBeforeMs: number;
  failures: number;
  lastOrderMs: number;
  /** What is to be unloaded, and since when. */
  pendingUnload: { item: string; sinceMs: number } | undefined;
}

const INVENTORY_REFRESH_MS = 5000;
/** Loads ordered in a later epoch have higher numbers. */
const LOADS_PER_EPOCH = 65_536;
/** By then every edge that may admit has heard of the new target and sends no more to what goes. */
const UNLOAD_DELAY_MS = 1500;

/** How many pulls the store allows: so many a minute, and so many at once. */
class PullLimiter {
  #bucket: TokenBucket;
  #inFlight = 0;

  constructor(nowMs: number) {
    this.#bucket = new TokenBucket(nowMs);
  }

  take(spec: Spec, nowMs: number): boolean {
    const perS = spec.store.pullsPerMinute / 60;
    this.#bucket.refill(perS, Math.max(1, Math.floor(perS)), nowMs);
    if (!this.#bucket.hasToken || this.#inFlight >= spec.store.concurrentPulls) return false;
    this.#bucket.take();
    this.#inFlight += 1;
    return true;
  }

  release(): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
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
  #pullLimiter: PullLimiter | undefined;
  #epoch = 0;
  #sequence = 0;
  #loadCount = 0;

  constructor(context: SpecOrderContext) {
    this.#context = context;
  }

  workerState(worker: string): SpecWorkerState | undefined {
    return this.#channels.get(worker)?.state;
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
      this.#pullLimiter = new PullLimiter(nowMs);
    }
    const loads: { name: string; channel: WorkerChannel; step: Step; urgency: number }[] = [];
    for (const { name, roomMb } of workers) {
      const channel = this.#channel(name);
      if (channel.orderInFlight || nowMs < channel.notBeforeMs) continue;
      const step = this.#nextStep(channel, spec, placement[name] ?? [], roomMb, nowMs, urgency);
      if (step?.action === 'load')
        loads.push({ name, channel, step, urgency: urgency(step.model, step.adapter) });
      else if (step !== undefined) this.#send(name, channel, epoch, step, nowMs);
    }
    loads.sort((one, other) => other.urgency - one.urgency);
    for (const { name, channel, step } of loads) {
      if (this.#pullLimiter?.take(spec, nowMs) !== true) return;
      this.#send(name, channel, epoch, step, nowMs);
    }
  }

  #channel(name: string): WorkerChannel {
    let channel = this.#channels.get(name);
    if (channel === undefined) {
      channel = {
        state: undefined,
        inventoryEpoch: 0,
        orderInFlight: false,
        notBeforeMs: -Infinity,
        failures: 0,
        lastOrderMs: -Infinity,
        pendingUnload: undefined,
      };
      this.#channels.set(name, channel);
    }
    return channel;
  }

  #nextStep(
    channel: WorkerChannel,
    spec: Spec,
    target: readonly HoldingTarget[],
    roomMb: number,
    nowMs: number,
    urgency: Urgency,
  ): Step | undefined {
    const state = channel.state;
    if (state === undefined || !state.reachable || channel.inventoryEpoch !== this.#epoch) return INVENTORY;
    const [surplus] = missingItems(target, state.holdings);
    if (surplus !== undefined) {
      const item = `${surplus.model}/${surplus.adapter}`;
      if (channel.pendingUnload?.item !== item) channel.pendingUnload = { item, sinceMs: nowMs };
      return nowMs - channel.pendingUnload.sinceMs >= UNLOAD_DELAY_MS
        ? { action: 'unload', ...surplus }
        : undefined;
    }
    const [wanted] = missingItems(state.holdings, target).sort(
      (one, other) => urgency(other.model, other.adapter) - urgency(one.model, one.adapter),
    );
    if (wanted === undefined)
      return nowMs - channel.lastOrderMs > INVENTORY_REFRESH_MS ? INVENTORY : undefined;
    const size = sizeMb(spec, state.holdings) + itemMb(spec, wanted);
    return size <= roomMb ? { action: 'load', ...wanted } : undefined;
  }

  #send(name: string, channel: WorkerChannel, epoch: number, step: Step, nowMs: number): void {
    this.#sequence += 1;
    channel.orderInFlight = true;
    channel.lastOrderMs = nowMs;
    const order: SpecOrder = { worker: name, epoch, sequence: this.#sequence, ...step };
    const pullLimiter = this.#pullLimiter;
    this.#context.order(order, (reply) => {
      channel.orderInFlight = false;
      if (step.action === 'load') pullLimiter?.release();
      this.#onReply(name, channel, step, epoch, reply, nowMs);
    });
  }

  #onReply(
    name: string,
    channel: WorkerChannel,
    step: Step,
    epoch: number,
    reply: Result<SpecOrderReply, Fault>,
    nowMs: number,
  ): void {
    const loads = new Map(channel.state?.loads);
    if (step.action === 'load' && step.adapter === '') {
      this.#loadCount += 1;
      loads.set(step.model, epoch * LOADS_PER_EPOCH + this.#loadCount);
    }
    if (reply.isErr) {
      channel.failures += 1;
      channel.notBeforeMs = nowMs + Math.min(4000, 500 * 2 ** channel.failures);
      channel.inventoryEpoch = 0;
      const reachable = channel.failures < 2 && (channel.state?.reachable ?? false);
      channel.state = { holdings: channel.state?.holdings ?? [], reachable, loads };
    } else {
      channel.failures = 0;
      channel.inventoryEpoch = reply.value.busy ? 0 : epoch;
      if (reply.value.busy) channel.notBeforeMs = nowMs + 1000;
      channel.state = { holdings: reply.value.holdings, reachable: true, loads };
    }
    this.#context.onWorkerState(name, channel.state);
  }
}

interface Step {
  readonly action: SpecOrder['action'];
  readonly model: string;
  readonly adapter: string;
}

const INVENTORY: Step = { action: 'inventory', model: '', adapter: '' };

/** The parts of `wanted` that `held` lacks; of a model that is missing itself, only the model. */
function missingItems(
  held: readonly HoldingTarget[],
  wanted: readonly HoldingTarget[],
): { model: string; adapter: string }[] {
  return wanted.flatMap(({ model, adapters }) => {
    const loaded = held.find((holding) => holding.model === model);
    if (loaded === undefined) return [{ model, adapter: '' }];
    return adapters
      .filter((adapter) => !loaded.adapters.includes(adapter))
      .map((adapter) => ({ model, adapter }));
  });
}

function itemMb(spec: Spec, item: { model: string; adapter: string }): number {
  const known =
    item.adapter === ''
      ? spec.models.find((model) => model.name === item.model)
      : spec.adapters.find((adapter) => adapter.name === item.adapter);
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
    sumMb += itemMb(spec, { model, adapter: '' });
    for (const adapter of adapters) sumMb += itemMb(spec, { model, adapter });
  }
  return sumMb;
}
