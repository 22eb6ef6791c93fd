import { randomId, type SeededRandom } from '@rainrun/common';
import {
  cloneHoldings,
  type ListedWorker,
  type ReportReply,
  type WorkerOrder,
  type WorkerOrderReply,
} from '@rainrun/placement';
import type { VirtualTime } from '../world.js';

/** Name of the only model service of a simulated system. */
export const SERVICE = 'assist';

/** Properties of the simulated workers; the sample configuration states the same. */
export const ENGINE = {
  slots: 8,
  roomMb: 100,
  adapterPlaces: 3,
  loadsPerS: 6,
  loadMs: 600,
  adapterMb: 1,
} as const;

const SNAPSHOT_INTERVAL_MS = 100;
/** Maximum lag of the platform's list. */
const LIST_LAG_MS = 800;
/** A worker's own report lags by at most this plus one snapshot interval. */
export const REPORT_LAG_MS = 200;
/** Duration of a load from a worker's own disk, relative to a load from the store. */
const DISK_LOAD_RATIO = 0.6;
const LEASE_MS = 3000;
const LOAD_WINDOW_MS = 5000;
const LOAD_OVERSHOOT = 1.1;
const LOAD_ALLOWANCE = 3;
const EVACUATION_BOUND_MS = 2000;

/** Returns the size of a model by its name; a worker has room for two or three models. */
export function sizeOf(model: string): number {
  return 30 + 6 * (Number(model.slice(1)) % 2);
}

/** Records the breach of an invariant. */
export type BreachReporter = (rule: string, detail: string) => void;

interface ReceivedOrder {
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

interface OrderInProgress {
  readonly untilMs: number;
  readonly done: () => void;
}

/** A worker address of the platform, at which one incarnation of the worker follows another. */
export class SimulatedWorker {
  readonly zone: string;
  readonly address: string;
  id: string;
  leaving = false;
  /** True while the worker accepts nothing and answers nothing. */
  isSilent = false;
  /** True while the worker is gone and not on the platform's list. */
  isAway = false;
  readonly models = new Map<string, Set<string>>();
  #pool: WorkerPool;
  #onDisk = new Set<string>();
  #inProgress: OrderInProgress | undefined;
  /** The last accepted order. */
  #lastOrder: WorkerOrder | undefined;
  #loadingModel = '';
  #sequence = 0;
  #receivedOrders: ReceivedOrder[] = [];

  constructor(pool: WorkerPool, zone: string, address: string) {
    this.#pool = pool;
    this.zone = zone;
    this.address = address;
    this.id = pool.newId();
  }

  /** Makes the worker hold a model from the start. */
  preload(model: string): void {
    this.models.set(model, new Set());
    this.#onDisk.add(model);
  }

  /** Starts a new incarnation without models or remembered orders; its disk stays the same. */
  restart(): void {
    this.id = this.#pool.newId();
    this.models.clear();
    this.#inProgress = undefined;
    this.#lastOrder = undefined;
    this.#loadingModel = '';
    this.#receivedOrders = [];
    this.#sequence = 0;
    this.leaving = false;
  }

  usedMb(): number {
    let sumMb = this.#loadingModel === '' ? 0 : sizeOf(this.#loadingModel);
    for (const [model, adapters] of this.models) sumMb += sizeOf(model) + adapters.size * ENGINE.adapterMb;
    return sumMb;
  }

  adapterCount(): number {
    let count = 0;
    for (const adapters of this.models.values()) count += adapters.size;
    return count;
  }

  /** Handles an order; undefined if the worker never answers. */
  order(id: string, holder: string, order: WorkerOrder): WorkerOrderReply | undefined {
    const nowMs = this.#pool.time.nowMs();
    if (this.isSilent || this.isAway) return undefined;
    if (id !== this.id) return 'wrong-worker';
    if (this.#receivedOrders.some((received) => received.fence > order.fence)) return 'fenced';
    this.#checkHolder({ holder, fence: order.fence, atMs: nowMs });
    this.completeDueOrder();
    if (order.sequence !== this.#sequence) return 'busy';
    if (this.#inProgress !== undefined) return this.#isInProgress(order) ? 'begun' : 'busy';
    this.#lastOrder = order;
    return order.action === 'load' ? this.#load(order, nowMs) : this.#unload(order, nowMs);
  }

  /** Number of orders that this incarnation has accepted. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Whether an order is in progress. */
  get busy(): boolean {
    return this.#inProgress !== undefined;
  }

  /** Whether a model is being loaded. */
  get isLoading(): boolean {
    return this.#loadingModel !== '';
  }

  /** Completes the order in progress if its time has passed. */
  completeDueOrder(): void {
    const current = this.#inProgress;
    if (current === undefined || this.#pool.time.nowMs() < current.untilMs) return;
    this.#inProgress = undefined;
    current.done();
  }

  /**
   * Whether an order repeats the one in progress; a repeat is answered as if it were accepted, and counts
   * once.
   */
  #isInProgress({ action, model, adapter }: WorkerOrder): boolean {
    const order = this.#lastOrder;
    return order?.action === action && order.model === model && order.adapter === adapter;
  }

  #checkHolder(received: ReceivedOrder): void {
    const before = this.#receivedOrders.at(-1);
    if (before !== undefined && before.holder !== received.holder) {
      const back = this.#receivedOrders.findLast((known) => known.holder === received.holder);
      if (back !== undefined && received.atMs - back.atMs < LEASE_MS)
        this.#pool.breach(
          'one holder',
          `${this.address}: ${received.holder} and ${before.holder} take turns`,
        );
    }
    this.#receivedOrders.push(received);
    if (this.#receivedOrders.length > 64) this.#receivedOrders.shift();
  }

  #load({ model, adapter }: WorkerOrder, nowMs: number): WorkerOrderReply {
    const adapters = this.models.get(model);
    if (adapter !== '') {
      if (adapters === undefined) return 'refused';
      if (adapters.has(adapter)) return 'held';
      adapters.add(adapter);
      this.#begin(nowMs, 5 + this.#pool.random.next() * 15, () => undefined);
      this.#checkRoom(`adapter ${adapter} of ${model}`);
      return 'begun';
    }
    if (adapters !== undefined) return 'held';
    const fromDisk = this.#onDisk.has(model);
    if (!fromDisk) this.#pool.recordLoad(nowMs);
    this.#pool.checkEvacuated(this, model);
    this.#loadingModel = model;
    const slowdown = fromDisk ? DISK_LOAD_RATIO : this.#pool.loadSlowdown();
    this.#begin(nowMs, ENGINE.loadMs * slowdown * (0.9 + this.#pool.random.next() * 0.8), () => {
      this.#loadingModel = '';
      this.#onDisk.add(model);
      this.models.set(model, new Set());
    });
    this.#checkRoom(model);
    return 'begun';
  }

  #unload({ model, adapter }: WorkerOrder, nowMs: number): WorkerOrderReply {
    const adapters = this.models.get(model);
    if (adapters === undefined || (adapter !== '' && !adapters.has(adapter))) return 'held';
    this.#begin(nowMs, this.#pool.random.next() * 200, () => {
      if (adapter === '') this.models.delete(model);
      else adapters.delete(adapter);
    });
    return 'begun';
  }

  #begin(nowMs: number, takesMs: number, done: () => void): void {
    this.#sequence += 1;
    this.#inProgress = { untilMs: nowMs + takesMs, done };
  }

  #checkRoom(what: string): void {
    const over =
      this.usedMb() > ENGINE.roomMb
        ? `${this.usedMb()} MB of ${ENGINE.roomMb}`
        : this.adapterCount() > ENGINE.adapterPlaces
          ? `${this.adapterCount()} adapters of ${ENGINE.adapterPlaces}`
          : undefined;
    if (over === undefined) return;
    this.#pool.breach(
      'limit',
      `${this.address} ordered to load ${what}: ${over}; holds ${[...this.models.keys()].join(', ')}`,
    );
    this.restart();
  }
}

/** State of the platform's list and of the workers at one time. */
interface Snapshot {
  readonly atMs: number;
  readonly list: readonly ListedWorker[];
  /** IDs of workers with an order in progress. */
  readonly busy: ReadonlySet<string>;
  /** Number of orders that each worker had accepted. */
  readonly sequences: ReadonlyMap<string, number>;
}

/** The platform's workers and its list of them, which lags behind. */
export class WorkerPool {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly members: SimulatedWorker[] = [];
  readonly breach: BreachReporter;
  /** Start times of the counted loads from the store. */
  readonly loads: number[] = [];
  /** Whether loads that start now are counted. */
  countsLoads: () => boolean = () => true;
  #fences = new Map<number, string>();
  #newestHolder: { fence: number; holder: string } = { fence: 0, holder: '' };
  #snapshots: Snapshot[] = [];
  #shownMs = -Infinity;
  #leavingMs = new Map<string, number>();
  #evacuatedMs = new Map<string, number>();

  constructor(
    time: VirtualTime,
    random: SeededRandom,
    breach: BreachReporter,
    workers: number,
    zones: readonly string[],
  ) {
    this.time = time;
    this.random = random;
    this.breach = breach;
    for (let place = 0; place < workers; place += 1)
      this.members.push(new SimulatedWorker(this, zones[place % zones.length] ?? '', `10.0.0.${place}:80`));
  }

  /** Starts to take snapshots for the platform's list. */
  start(): void {
    this.#takeSnapshot();
  }

  newId(): string {
    return `i-${randomId(this.random)}`;
  }

  /** Marks a worker as leaving. */
  leave(worker: SimulatedWorker): void {
    worker.leaving = true;
    this.#leavingMs.set(worker.id, this.time.nowMs());
  }

  evacuate(zone: string, evacuated: boolean): void {
    if (evacuated) this.#evacuatedMs.set(zone, this.time.nowMs());
    else this.#evacuatedMs.delete(zone);
  }

  /** Time since which the incarnation is marked as leaving; Infinity if it is not. */
  leavingSince(id: string): number {
    return this.#leavingMs.get(id) ?? Infinity;
  }

  /**
   * Checks the fencing token of an order: it never decreases between holders, whichever worker the order is
   * for.
   */
  checkFence(holder: string, fence: number): void {
    const other = this.#fences.get(fence);
    if (other !== undefined && other !== holder)
      this.breach('one holder', `${other} and ${holder} share fence ${fence}`);
    this.#fences.set(fence, holder);
    if (fence < this.#newestHolder.fence)
      this.breach(
        'one holder',
        `${holder} orders under ${fence} after ${this.#newestHolder.holder} did under ${this.#newestHolder.fence}`,
      );
    if (fence >= this.#newestHolder.fence) this.#newestHolder = { fence, holder };
  }

  recordLoad(atMs: number): void {
    if (!this.countsLoads()) return;
    this.loads.push(atMs);
    const bound = ENGINE.loadsPerS * (LOAD_WINDOW_MS / 1000) * LOAD_OVERSHOOT + LOAD_ALLOWANCE;
    const inWindow = this.loads.filter((known) => known > atMs - LOAD_WINDOW_MS).length;
    if (inWindow > bound)
      this.breach(
        'ceiling',
        `${inWindow} loads from the store in ${LOAD_WINDOW_MS} ms, the bound is ${bound.toFixed(0)}`,
      );
  }

  /**
   * Slowdown factor of a load from the store that starts now: concurrent loads above the store's rate slow
   * each other.
   */
  loadSlowdown(): number {
    const loading = this.members.filter((worker) => worker.isLoading).length + 1;
    return Math.max(1, loading / ((ENGINE.loadsPerS * ENGINE.loadMs) / 1000));
  }

  /** Checks that a load does not start in a zone that was evacuated earlier than the time bound permits. */
  checkEvacuated(worker: SimulatedWorker, model: string): void {
    const sinceMs = this.#evacuatedMs.get(worker.zone);
    if (sinceMs !== undefined && this.time.nowMs() - sinceMs > EVACUATION_BOUND_MS)
      this.breach(
        'evacuation',
        `${worker.address} in ${worker.zone} loads ${model} ${(this.time.nowMs() - sinceMs).toFixed(0)} ms after the evacuation`,
      );
  }

  /** Returns the platform's list as a reader gets it now. */
  list(): readonly ListedWorker[] {
    const nowMs = this.time.nowMs();
    const wantedMs = Math.max(this.#shownMs, nowMs - this.random.next() * LIST_LAG_MS);
    this.#shownMs = wantedMs;
    return (this.#snapshots.findLast((known) => known.atMs <= wantedMs) ?? this.#snapshots[0])?.list ?? [];
  }

  /**
   * Returns a worker's report, up to `REPORT_LAG_MS` old; its models are older than the rest by `olderMs`.
   */
  report(address: string, id: string, olderMs: number): ReportReply {
    const worker = this.workerAt(address);
    if (worker === undefined || worker.id !== id || worker.isSilent || worker.isAway) return 'no-answer';
    const stoodMs = this.time.nowMs() - this.random.next() * REPORT_LAG_MS;
    const snapshot = this.#snapshots.findLast((known) => known.atMs <= stoodMs);
    const listed = snapshot?.list.find((known) => known.id === id);
    if (snapshot === undefined || listed === undefined) return 'no-answer';
    if (snapshot.busy.has(id)) return 'busy';
    const older = this.#snapshots.findLast((known) => known.atMs <= stoodMs - olderMs);
    const models = older?.list.find((known) => known.id === id)?.models ?? listed.models;
    return { holdings: models, sequence: snapshot.sequences.get(id) ?? 0 };
  }

  workerAt(address: string): SimulatedWorker | undefined {
    return this.members.find((worker) => worker.address === address);
  }

  #takeSnapshot(): void {
    const nowMs = this.time.nowMs();
    for (const worker of this.members) worker.completeDueOrder();
    const list = this.members
      .filter((worker) => !worker.isAway)
      .map(({ id, address, zone, leaving, models }) => ({
        id,
        service: SERVICE,
        address,
        zone,
        slots: ENGINE.slots,
        draining: leaving,
        warmUpMs: 0,
        models: cloneHoldings(models),
      }));
    const busy = new Set(this.members.filter((worker) => worker.busy).map((worker) => worker.id));
    const sequences = new Map(this.members.map((worker) => [worker.id, worker.sequence]));
    this.#snapshots.push({ atMs: nowMs, list, busy, sequences });
    if (this.#snapshots.length > 2 * (LIST_LAG_MS / SNAPSHOT_INTERVAL_MS)) this.#snapshots.shift();
    this.time.after(SNAPSHOT_INTERVAL_MS, () => this.#takeSnapshot());
  }
}
