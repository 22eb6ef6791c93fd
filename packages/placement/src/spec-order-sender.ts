import type { HoldingTarget, Spec } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import { TokenBucket } from './token-bucket.js';

/**
 * One order to a worker. Its epoch is the fencing token: a worker refuses orders of a lower epoch than it has
 * seen.
 */
export interface SpecOrder {
  readonly worker: string;
  readonly epoch: number;
  readonly sequence: number;
  readonly action: 'inventory' | 'load' | 'unload';
  readonly model: string;
  readonly adapter: string;
}

/** A worker's reply to an order. */
export interface SpecOrderReply {
  readonly holdings: readonly HoldingTarget[];
  /** Whether an earlier load is still in progress. */
  readonly busy: boolean;
}

/** The state of a worker as known from its replies. */
export interface SpecWorkerState {
  readonly holdings: readonly HoldingTarget[];
  readonly reachable: boolean;
  /**
   * A number for each model that was loaded by an order; it grows with every load, so that edges detect a
   * warm-up.
   */
  readonly loads: ReadonlyMap<string, number>;
}

/** What the order sender needs from its node. */
export interface SpecOrderDependencies {
  /** The epoch of this node's singleton lease, or undefined without one; read just before each order. */
  singletonEpoch(): number | undefined;
  order(order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  onWorkerState(worker: string, known: SpecWorkerState): void;
}

/** The urgency of a model, or of an adapter of it; the higher, the sooner it is loaded. */
export type Urgency = (model: string, adapter: string) => number;

interface WorkerChannel {
  state: SpecWorkerState | undefined;
  inventoryEpoch: number;
  orderInFlight: boolean;
  notBeforeMs: number;
  failures: number;
  lastOrderMs: number;
  /** What is to be unloaded, and since when it is surplus. */
  pendingUnload: { item: string; sinceMs: number } | undefined;
}

const INVENTORY_REFRESH_MS = 5000;
/** Range of load numbers in one epoch, so that loads of a later epoch have higher numbers. */
const LOADS_PER_EPOCH = 65_536;
/**
 * Within this time every admitting edge has received the new target and sends no more requests for what is
 * unloaded.
 */
const UNLOAD_DELAY_MS = 1500;

/** Limits pulls from the store by rate and by concurrency. */
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
 * Brings workers to their agreed targets, with one outstanding order for each. It requests a worker's
 * inventory before the first order of an epoch, unloads before it loads, and never exceeds a worker's memory.
 * @example
 * const sender = new SpecOrderSender(dependencies);
 * sender.tick(spec, placement, workers, nowMs);
 */
export class SpecOrderSender {
  #dependencies: SpecOrderDependencies;
  #channels = new Map<string, WorkerChannel>();
  #pullLimiter: PullLimiter | undefined;
  #epoch = 0;
  #sequence = 0;
  #loadCount = 0;

  constructor(context: SpecOrderDependencies) {
    this.#dependencies = context;
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
    const epoch = this.#dependencies.singletonEpoch();
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
    const size = holdingsMb(spec, state.holdings) + itemMb(spec, wanted);
    return size <= roomMb ? { action: 'load', ...wanted } : undefined;
  }

  #send(name: string, channel: WorkerChannel, epoch: number, step: Step, nowMs: number): void {
    this.#sequence += 1;
    channel.orderInFlight = true;
    channel.lastOrderMs = nowMs;
    const order: SpecOrder = { worker: name, epoch, sequence: this.#sequence, ...step };
    const pullLimiter = this.#pullLimiter;
    this.#dependencies.order(order, (reply) => {
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
    this.#dependencies.onWorkerState(name, channel.state);
  }
}

interface Step {
  readonly action: SpecOrder['action'];
  readonly model: string;
  readonly adapter: string;
}

const INVENTORY: Step = { action: 'inventory', model: '', adapter: '' };

/** The items of `wanted` that `held` lacks; only the model if the model itself is missing. */
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
 * The memory that holdings use by the spec's sizes, in MB; an item that is not in the spec counts as
 * infinite.
 * @example
 * holdingsMb(spec, [{ model: 'gearbox-7b', adapters: [] }]); // 14000
 */
export function holdingsMb(spec: Spec, holdings: readonly HoldingTarget[]): number {
  let sumMb = 0;
  for (const { model, adapters } of holdings) {
    sumMb += itemMb(spec, { model, adapter: '' });
    for (const adapter of adapters) sumMb += itemMb(spec, { model, adapter });
  }
  return sumMb;
}
