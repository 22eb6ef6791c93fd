import { create } from '@bufbuild/protobuf';
import {
  SubscribeSchema,
  FrameSchema,
  MemberSchema,
  WIRE_VERSION,
  type Frame,
  type Member,
  type StateUpdate,
  type ModelDemand,
  type WorkerOutcomes,
  type WorkerRow,
} from '@rainrun/messages';
import {
  checkConfiguration,
  EMPTY_DEPLOYMENT,
  type Configuration,
  type Deployment,
} from '@rainrun/configuration';
import { randomId, spread, type RandomSource, type Clock } from '@rainrun/common';
import { decodeStateUpdate } from './state-update.js';

/** A worker as an edge knows it. */
export interface WorkerSnapshot {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly draining: boolean;
  readonly slots: number;
  readonly warmUpUntilMs: number;
  /** Adapters by model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  readonly number: number;
  /** Percentage of the edges of this one's zone that may send to it. */
  readonly sharePercent: number;
}

/** What a follower is given by its program, or by the simulator. */
export interface EdgeReplicaDependencies {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly deployment: string;
  /** Addresses of cores to begin with. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly chance: RandomSource;
  send(address: string, frame: Frame): void;
  /** What this node asks for now. */
  demands(): readonly ModelDemand[];
  /** How requests to workers ended since the last call. */
  outcomes(): WorkerOutcomes[];
  /** Another edition, or other workers, are known from now on. */
  onChange(what: 'state' | 'workers'): void;
}

/** What an edge tells a core beside what it holds. */
interface SubscribeFields {
  readonly demands?: ModelDemand[];
  readonly outcomes?: WorkerOutcomes[];
  readonly leaving?: boolean;
  readonly incremental?: boolean;
}

const ALL_EDGES_PERCENT = 100;
const SUBSCRIBE_INTERVAL_MS = 250;
/** A node that cannot serve yet, and that no coordinator knows of, asks this often. */
const UNREADY_INTERVAL_MS = 80;
const NON_COORDINATOR_INTERVAL_MS = 750;
const URGENT_BATCH_DELAY_MS = 6;
const CORE_EXPIRY_MS = 10_000;
const CORES_MAX = 3;
const CORE_TIMEOUT_MS = 1500;
/** So long a new coordinator may not have heard every edge. */
const EDGE_COUNT_SETTLING_MS = 2500;

interface Core {
  readonly address: string;
  /** The incarnation at this address, once a view has named it. */
  incarnation: string;
  /** Each edge prefers the cores in an order of its own, so that all are followed by alike many. */
  readonly preference: number;
  lastContactMs: number;
  hasLease: boolean;
  subscribedMs: number;
}

/**
 * A node outside the group that follows its cores: it says what it holds and
 * is told what is newer. What it holds never goes back; cut off, it goes on
 * with it.
 * @example
 * const follower = new EdgeReplica(dependencies);
 * follower.tick(); // every 20 ms
 */
export class EdgeReplica {
  #dependencies: EdgeReplicaDependencies;
  #self: Member;
  #state: Deployment = EMPTY_DEPLOYMENT;
  #configuration: Configuration | undefined;
  #cores = new Map<string, Core>();
  #coordinator: Member | undefined;
  #tableId = '';
  #tableRow = 0;
  #workers = new Map<string, WorkerSnapshot>();
  #edgeCount = 1;
  /** Whose count of the edges is taken, and since when. */
  #edgeCountSource = { table: '', sinceMs: -Infinity };
  #urgentSinceMs: number | undefined;
  /** What the coordinator was told to wait, since the last whole question. */
  #reportedWaiting = new Set<string>();
  #readySinceMs: number | undefined;

  constructor(dependencies: EdgeReplicaDependencies) {
    this.#dependencies = dependencies;
    this.#self = create(MemberSchema, {
      name: dependencies.name,
      incarnation: randomId(dependencies.chance),
      address: dependencies.address,
      zone: dependencies.zone,
    });
  }

  get state(): Deployment {
    return this.#state;
  }

  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  get workers(): ReadonlyMap<string, WorkerSnapshot> {
    return this.#workers;
  }

  get incarnation(): string {
    return this.#self.incarnation;
  }

  /** How many edges there are, as far as the coordinator knows. */
  get edgeCount(): number {
    return this.#edgeCount;
  }

  /** Whether a core with a majority behind it was heard lately. */
  get informed(): boolean {
    const nowMs = this.#dependencies.clock.nowMs();
    return [...this.#cores.values()].some(
      (core) => core.hasLease && nowMs - core.lastContactMs < CORE_TIMEOUT_MS,
    );
  }

  /** Whether this node may serve: it holds a configuration and the workers, and had both from a core in touch with the others. */
  get ready(): boolean {
    return this.#configuration !== undefined && this.#workers.size > 0 && this.#readySinceMs !== undefined;
  }

  /** Something is wanted that cannot wait for the next heartbeat. */
  requestUpdateSoon(): void {
    this.#urgentSinceMs ??= this.#dependencies.clock.nowMs();
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    const hasty = this.#urgentSinceMs !== undefined && nowMs - this.#urgentSinceMs >= URGENT_BATCH_DELAY_MS;
    const isEager = !this.ready && !this.#isCoordinatorLive(nowMs);
    for (const core of this.#subscribedCores(nowMs)) {
      const leads = core.address === this.#coordinator?.address;
      const everyMs = isEager
        ? UNREADY_INTERVAL_MS
        : leads || this.#coordinator === undefined
          ? SUBSCRIBE_INTERVAL_MS
          : NON_COORDINATOR_INTERVAL_MS;
      if (nowMs - core.subscribedMs >= everyMs) this.#subscribe(core, nowMs, leads);
      else if (hasty && leads) this.#sendUrgentDemands(core);
    }
    if (hasty) this.#urgentSinceMs = undefined;
  }

  /** Says that this node goes. */
  leave(): void {
    for (const core of this.#cores.values()) this.#send(core.address, { leaving: true });
  }

  receive(frame: Frame): void {
    if (frame.body.case !== 'stateUpdate' || frame.to !== this.#self.incarnation) return;
    this.#onStateUpdate(frame.body.value, frame.from);
  }

  /** Whether the coordinator answers: then it tells this node all that is new unasked. */
  #isCoordinatorLive(nowMs: number): boolean {
    const core = this.#cores.get(this.#coordinator?.address ?? '');
    return core !== undefined && core.incarnation !== '' && nowMs - core.lastContactMs < CORE_TIMEOUT_MS;
  }

  /** The leader and a few more: seeds until cores are known. */
  #subscribedCores(nowMs: number): Core[] {
    for (const [address, core] of this.#cores) {
      if (nowMs - core.lastContactMs > CORE_EXPIRY_MS && !this.#dependencies.seeds.includes(address))
        this.#cores.delete(address);
    }
    for (const address of this.#dependencies.seeds) this.#core(address);
    const known = [...this.#cores.values()].filter((core) => core.address !== this.#self.address);
    const fresh = known.filter((core) => nowMs - core.lastContactMs < CORE_TIMEOUT_MS);
    const leader = known.filter((core) => core.address === this.#coordinator?.address);
    const granted = fresh
      .filter((core) => core.hasLease)
      .sort((one, other) => one.preference - other.preference);
    const chosen = new Set([...leader, ...granted.slice(0, CORES_MAX)]);
    if (leader.length === 0 || !fresh.includes(leader[0] as Core) || chosen.size < CORES_MAX)
      for (const core of known) chosen.add(core);
    return [...chosen];
  }

  #core(address: string): Core {
    let core = this.#cores.get(address);
    if (core === undefined) {
      core = {
        address,
        incarnation: '',
        preference: spread(`${this.#self.incarnation} ${address}`),
        lastContactMs: this.#dependencies.clock.nowMs(),
        hasLease: false,
        subscribedMs: -Infinity,
      };
      this.#cores.set(address, core);
    }
    return core;
  }

  #subscribe(core: Core, nowMs: number, leads: boolean): void {
    core.subscribedMs = nowMs;
    const demands = leads ? this.#dependencies.demands() : [];
    if (leads) this.#reportedWaiting = new Set(demands.filter(({ waiting }) => waiting > 0).map(keyOf));
    const outcomes = leads ? this.#dependencies.outcomes() : [];
    this.#send(core.address, { demands: [...demands], outcomes });
  }

  /** Between two whole questions the coordinator is told only of what waits, or waited when it was told last. */
  #sendUrgentDemands(leader: Core): void {
    const demands = this.#dependencies
      .demands()
      .filter((want) => want.waiting > 0 || this.#reportedWaiting.has(keyOf(want)));
    for (const demand of demands) this.#reportedWaiting.add(keyOf(demand));
    this.#send(leader.address, { demands, incremental: true });
  }

  #send(address: string, fields: SubscribeFields): void {
    const value = create(SubscribeSchema, {
      subscriber: this.#self,
      edition: this.#state.edition,
      tableId: this.#tableId,
      tableRow: this.#tableRow,
      acceptsDeflate: true,
      ...fields,
    });
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: this.#dependencies.deployment,
      from: this.#self.incarnation,
      to: '',
    });
    frame.body = { case: 'subscribe', value };
    this.#dependencies.send(address, frame);
  }

  #onStateUpdate(tell: StateUpdate, from: string): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const seat of tell.cores) this.#core(seat.address).incarnation = seat.incarnation;
    const core = [...this.#cores.values()].find((known) => known.incarnation === from);
    if (core !== undefined) {
      core.lastContactMs = nowMs;
      core.hasLease = tell.hasLease;
    }
    if (tell.hasLease && tell.coordinator !== undefined) this.#coordinator = tell.coordinator;
    this.#countEdges(tell, nowMs);
    this.#applyState(tell);
    this.#applyRows(tell, nowMs);
    if (tell.hasLease && this.#configuration !== undefined && this.#workers.size > 0)
      this.#readySinceMs ??= nowMs;
  }

  /** Only the coordinator hears every edge; one that is new to it counts too few at first. */
  #countEdges(tell: StateUpdate, nowMs: number): void {
    // A coordinator that has lost its majority may hear no edge, and still be heard.
    if (!tell.hasLease || tell.tableId === '' || epochOf(tell.tableId) < epochOf(this.#edgeCountSource.table))
      return;
    if (tell.tableId !== this.#edgeCountSource.table)
      this.#edgeCountSource = { table: tell.tableId, sinceMs: nowMs };
    const least = nowMs - this.#edgeCountSource.sinceMs < EDGE_COUNT_SETTLING_MS ? this.#edgeCount : 1;
    this.#edgeCount = Math.max(least, tell.edgeCount);
  }

  #applyState(tell: StateUpdate): void {
    if (tell.edition <= this.#state.edition) return;
    const state = decodeStateUpdate(tell);
    if (state === undefined || state.isErr) return;
    this.#state = state.value;
    const checked = state.value.document === undefined ? undefined : checkConfiguration(state.value.document);
    if (checked?.isOk === true) this.#configuration = checked.value;
    this.#dependencies.onChange('state');
  }

  #applyRows(tell: StateUpdate, nowMs: number): void {
    if (tell.tableId === '' || epochOf(tell.tableId) < epochOf(this.#tableId)) return;
    if (tell.snapshot) this.#workers = new Map();
    else if (
      tell.tableId !== this.#tableId ||
      tell.tableRow < this.#tableRow ||
      tell.baseRow > this.#tableRow
    )
      return;
    for (const row of tell.rows) this.#applyRow(row, nowMs);
    this.#tableId = tell.tableId;
    this.#tableRow = tell.tableRow;
    if (tell.snapshot || tell.rows.length > 0) this.#dependencies.onChange('workers');
  }

  #applyRow(row: WorkerRow, nowMs: number): void {
    if (row.removed) {
      this.#workers.delete(row.id);
      return;
    }
    const {
      id,
      service,
      address,
      zone,
      draining: leaving,
      slots,
      warmUpMs: coldMs,
      number,
      callerLimits: limits,
    } = row;
    const models = new Map(row.loadedModels.map(({ model, adapters }) => [model, new Set(adapters)]));
    this.#workers.set(id, {
      id,
      service,
      address,
      zone,
      draining: leaving,
      slots,
      warmUpUntilMs: coldMs > 0 ? nowMs + coldMs : -Infinity,
      models,
      number,
      sharePercent: limits.find((limit) => limit.zone === this.#self.zone)?.percent ?? ALL_EDGES_PERCENT,
    });
  }
}

function keyOf({ service, model, adapter }: ModelDemand): string {
  return `${service}/${model}/${adapter}`;
}

function epochOf(table: string): number {
  return table === '' ? -1 : Number(table.slice(0, table.indexOf('-')));
}
