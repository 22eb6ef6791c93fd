import { randomId, type SeededRandom } from '@rainrun/common';
import {
  copyOf,
  type ListedWorker,
  type ReportReply,
  type WorkerOrder,
  type WorkerOrderReply,
} from '@rainrun/placement';
import type { VirtualTime } from '../world.js';

/** The one service of models of a simulated system. */
export const SERVICE = 'assist';

/** What the simulated workers are like; the configuration says the same. */
export const ENGINE = {
  slots: 8,
  roomMb: 100,
  adapterPlaces: 3,
  loadsPerS: 6,
  loadMs: 600,
  adapterMb: 1,
} as const;

const SNAPSHOT_INTERVAL_MS = 100;
/** The list lags by no more. */
const LIST_LAG_MS = 800;
/** A worker's own report lags by no more than this and a step of the list. */
export const REPORT_LAG_MS = 200;
/** A load from a worker's own disk takes this part of one from the store. */
const DISK_LOAD_RATIO = 0.6;
const LEASE_MS = 3000;
const LOAD_WINDOW_MS = 5000;
const LOAD_OVERSHOOT = 1.1;
const LOAD_ALLOWANCE = 3;
const EVACUATION_BOUND_MS = 2000;

/** Size of a model by its name: a worker has room for two or three. */
export function sizeOf(model: string): number {
  return 30 + 6 * (Number(model.slice(1)) % 2);
}

/** Records that a rule was broken. */
export type BreachReporter = (rule: string, detail: string) => void;

interface AcceptedOrder {
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

interface OrderInProgress {
  readonly untilMs: number;
  readonly done: () => void;
}

/** An address of the platform at which incarnations of a worker follow each other. */
export class SimulatedWorker {
  readonly zone: string;
  readonly address: string;
  id: string;
  leaving = false;
  /** Silent: it takes nothing and answers nothing. */
  isSilent = false;
  /** Off the platform's list and away. */
  isAway = false;
  readonly models = new Map<string, Set<string>>();
  #pool: WorkerPool;
  #onDisk = new Set<string>();
  #inProgress: OrderInProgress | undefined;
  /** The last order that was taken. */
  #lastOrder: WorkerOrder | undefined;
  #loadingModel = '';
  #sequence = 0;
  #acceptedOrders: AcceptedOrder[] = [];

  constructor(pool: WorkerPool, zone: string, address: string) {
    this.#pool = pool;
    this.zone = zone;
    this.address = address;
    this.id = pool.newId();
  }

  /** Holds a model from the start. */
  preload(model: string): void {
    this.models.set(model, new Set());
    this.#onDisk.add(model);
  }

  /** A new incarnation begins, empty and with nothing remembered; its disk is the same. */
  restart(): void {
    this.id = this.#pool.newId();
    this.models.clear();
    this.#inProgress = undefined;
    this.#lastOrder = undefined;
    this.#loadingModel = '';
    this.#acceptedOrders = [];
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

  /** An order arrives; undefined: no answer is ever given. */
  order(id: string, holder: string, order: WorkerOrder): WorkerOrderReply | undefined {
    const nowMs = this.#pool.time.nowMs();
    if (this.isSilent || this.isAway) return undefined;
    if (id !== this.id) return 'wrong-worker';
    if (this.#acceptedOrders.some((taken) => taken.fence > order.fence)) return 'fenced';
    this.#checkHolder({ holder, fence: order.fence, atMs: nowMs });
    this.completeDueOrder();
    if (order.sequence !== this.#sequence) return 'busy';
    if (this.#inProgress !== undefined) return this.#isInProgress(order) ? 'begun' : 'busy';
    this.#lastOrder = order;
    return order.action === 'load' ? this.#load(order, nowMs) : this.#unload(order, nowMs);
  }

  /** How many orders this incarnation has taken. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Whether an order is being done. */
  get busy(): boolean {
    return this.#inProgress !== undefined;
  }

  /** Whether a model is being loaded. */
  get isLoading(): boolean {
    return this.#loadingModel !== '';
  }

  /** Ends what is done by now. */
  completeDueOrder(): void {
    const doing = this.#inProgress;
    if (doing === undefined || this.#pool.time.nowMs() < doing.untilMs) return;
    this.#inProgress = undefined;
    doing.done();
  }

  /** Whether an order repeats the one that is being done: it is answered as if it were taken, and counts once. */
  #isInProgress({ action, model, adapter }: WorkerOrder): boolean {
    const order = this.#lastOrder;
    return order?.action === action && order.model === model && order.adapter === adapter;
  }

  #checkHolder(taken: AcceptedOrder): void {
    const before = this.#acceptedOrders.at(-1);
    if (before !== undefined && before.holder !== taken.holder) {
      const back = this.#acceptedOrders.findLast((known) => known.holder === taken.holder);
      if (back !== undefined && taken.atMs - back.atMs < LEASE_MS)
        this.#pool.breach('one holder', `${this.address}: ${taken.holder} and ${before.holder} take turns`);
    }
    this.#acceptedOrders.push(taken);
    if (this.#acceptedOrders.length > 64) this.#acceptedOrders.shift();
  }

  #load({ model, adapter }: WorkerOrder, nowMs: number): WorkerOrderReply {
    const adapters = this.models.get(model);
    if (adapter !== '') {
      if (adapters === undefined) return 'refused';
      if (adapters.has(adapter)) return 'held';
      adapters.add(adapter);
      this.#begin(nowMs, 5 + this.#pool.dice.next() * 15, () => undefined);
      this.#checkRoom(`adapter ${adapter} of ${model}`);
      return 'begun';
    }
    if (adapters !== undefined) return 'held';
    const fromDisk = this.#onDisk.has(model);
    if (!fromDisk) this.#pool.recordLoad(nowMs);
    this.#pool.checkEvacuated(this, model);
    this.#loadingModel = model;
    const slowdown = fromDisk ? DISK_LOAD_RATIO : this.#pool.loadSlowdown();
    this.#begin(nowMs, ENGINE.loadMs * slowdown * (0.9 + this.#pool.dice.next() * 0.8), () => {
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
    this.#begin(nowMs, this.#pool.dice.next() * 200, () => {
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

/** What the platform and the workers themselves show of a moment. */
interface Snapshot {
  readonly atMs: number;
  readonly list: readonly ListedWorker[];
  /** Workers that were at an order. */
  readonly busy: ReadonlySet<string>;
  /** How many orders each worker had taken. */
  readonly sequences: ReadonlyMap<string, number>;
}

/** The platform's workers and its list of them, which lags. */
export class WorkerPool {
  readonly time: VirtualTime;
  readonly dice: SeededRandom;
  readonly members: SimulatedWorker[] = [];
  readonly breach: BreachReporter;
  /** When each load from the store began, and whether it counts. */
  readonly loads: number[] = [];
  /** Whether loads that begin now are counted. */
  countsLoads: () => boolean = () => true;
  #fences = new Map<number, string>();
  #newestHolder: { fence: number; holder: string } = { fence: 0, holder: '' };
  #snapshots: Snapshot[] = [];
  #shownMs = -Infinity;
  #leavingMs = new Map<string, number>();
  #evacuatedMs = new Map<string, number>();

  constructor(
    time: VirtualTime,
    dice: SeededRandom,
    breach: BreachReporter,
    workers: number,
    zones: readonly string[],
  ) {
    this.time = time;
    this.dice = dice;
    this.breach = breach;
    for (let place = 0; place < workers; place += 1)
      this.members.push(new SimulatedWorker(this, zones[place % zones.length] ?? '', `10.0.0.${place}:80`));
  }

  /** The platform begins to list what stands here. */
  start(): void {
    this.#takeSnapshot();
  }

  newId(): string {
    return `i-${randomId(this.dice)}`;
  }

  /** A worker is marked as leaving. */
  leave(worker: SimulatedWorker): void {
    worker.leaving = true;
    this.#leavingMs.set(worker.id, this.time.nowMs());
  }

  evacuate(zone: string, evacuated: boolean): void {
    if (evacuated) this.#evacuatedMs.set(zone, this.time.nowMs());
    else this.#evacuatedMs.delete(zone);
  }

  /** Lives that the newest list that was shown has called leaving, and since when any list could. */
  leavingSince(id: string): number {
    return this.#leavingMs.get(id) ?? Infinity;
  }

  /** A holder sends an order: fences never go back between holders, whatever worker it is for. */
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

  /** How many times longer a load from the store takes that begins now: beyond so many at once, each waits for the others. */
  loadSlowdown(): number {
    const loading = this.members.filter((worker) => worker.isLoading).length + 1;
    return Math.max(1, loading / ((ENGINE.loadsPerS * ENGINE.loadMs) / 1000));
  }

  /** A model begins to load in a zone. */
  checkEvacuated(worker: SimulatedWorker, model: string): void {
    const sinceMs = this.#evacuatedMs.get(worker.zone);
    if (sinceMs !== undefined && this.time.nowMs() - sinceMs > EVACUATION_BOUND_MS)
      this.breach(
        'evacuation',
        `${worker.address} in ${worker.zone} loads ${model} ${(this.time.nowMs() - sinceMs).toFixed(0)} ms after the evacuation`,
      );
  }

  /** What the platform's list shows to one who asks now. */
  list(): readonly ListedWorker[] {
    const nowMs = this.time.nowMs();
    const wantedMs = Math.max(this.#shownMs, nowMs - this.dice.next() * LIST_LAG_MS);
    this.#shownMs = wantedMs;
    return (this.#snapshots.findLast((known) => known.atMs <= wantedMs) ?? this.#snapshots[0])?.list ?? [];
  }

  /** What a worker says that it holds, as it stood a little before; its models, as they stood `olderMs` before that. */
  report(address: string, id: string, olderMs: number): ReportReply {
    const worker = this.workerAt(address);
    if (worker === undefined || worker.id !== id || worker.isSilent || worker.isAway) return 'no-answer';
    const stoodMs = this.time.nowMs() - this.dice.next() * REPORT_LAG_MS;
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
        models: copyOf(models),
      }));
    const busy = new Set(this.members.filter((worker) => worker.busy).map((worker) => worker.id));
    const sequences = new Map(this.members.map((worker) => [worker.id, worker.sequence]));
    this.#snapshots.push({ atMs: nowMs, list, busy, sequences });
    if (this.#snapshots.length > 2 * (LIST_LAG_MS / SNAPSHOT_INTERVAL_MS)) this.#snapshots.shift();
    this.time.after(SNAPSHOT_INTERVAL_MS, () => this.#takeSnapshot());
  }
}
