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
  changed(what: 'state' | 'workers'): void;
}

/** What an edge tells a core beside what it holds. */
interface SubscribeFields {
  readonly demands?: ModelDemand[];
  readonly outcomes?: WorkerOutcomes[];
  readonly leaving?: boolean;
  readonly incremental?: boolean;
}

const EVERYONE = 100;
const FOLLOW_MS = 250;
/** A node that cannot serve yet, and that no coordinator knows of, asks this often. */
const EAGER_MS = 80;
const SELDOM_MS = 750;
const HASTE_MS = 6;
const CORE_MS = 10_000;
const CORES_MOST = 3;
const FRESH_MS = 1500;
/** So long a new coordinator may not have heard every edge. */
const COUNTING_MS = 2500;

interface Core {
  readonly address: string;
  /** The incarnation at this address, once a view has named it. */
  incarnation: string;
  /** Each edge prefers the cores in an order of its own, so that all are followed by alike many. */
  readonly place: number;
  heardMs: number;
  granted: boolean;
  askedMs: number;
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
  #seat: Member;
  #state: Deployment = EMPTY_DEPLOYMENT;
  #configuration: Configuration | undefined;
  #cores = new Map<string, Core>();
  #leader: Member | undefined;
  #table = '';
  #row = 0;
  #workers = new Map<string, WorkerSnapshot>();
  #edges = 1;
  /** Whose count of the edges is taken, and since when. */
  #counted = { table: '', sinceMs: -Infinity };
  #hasteMs: number | undefined;
  /** What the coordinator was told to wait, since the last whole question. */
  #toldWaiting = new Set<string>();
  #knewMs: number | undefined;

  constructor(dependencies: EdgeReplicaDependencies) {
    this.#dependencies = dependencies;
    this.#seat = create(MemberSchema, {
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
    return this.#seat.incarnation;
  }

  /** How many edges there are, as far as the coordinator knows. */
  get edges(): number {
    return this.#edges;
  }

  /** Whether a core with a majority behind it was heard lately. */
  get informed(): boolean {
    const nowMs = this.#dependencies.clock.nowMs();
    return [...this.#cores.values()].some((core) => core.granted && nowMs - core.heardMs < FRESH_MS);
  }

  /** Whether this node may serve: it holds a configuration and the workers, and had both from a core in touch with the others. */
  get ready(): boolean {
    return this.#configuration !== undefined && this.#workers.size > 0 && this.#knewMs !== undefined;
  }

  /** Something is wanted that cannot wait for the next heartbeat. */
  requestUpdateSoon(): void {
    this.#hasteMs ??= this.#dependencies.clock.nowMs();
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    const hasty = this.#hasteMs !== undefined && nowMs - this.#hasteMs >= HASTE_MS;
    const isEager = !this.ready && !this.#isLeaderHeard(nowMs);
    for (const core of this.#followed(nowMs)) {
      const leads = core.address === this.#leader?.address;
      const everyMs = isEager ? EAGER_MS : leads || this.#leader === undefined ? FOLLOW_MS : SELDOM_MS;
      if (nowMs - core.askedMs >= everyMs) this.#follow(core, nowMs, leads);
      else if (hasty && leads) this.#hasten(core);
    }
    if (hasty) this.#hasteMs = undefined;
  }

  /** Says that this node goes. */
  leave(): void {
    for (const core of this.#cores.values()) this.#post(core.address, { leaving: true });
  }

  receive(frame: Frame): void {
    if (frame.body.case !== 'stateUpdate' || frame.to !== this.#seat.incarnation) return;
    this.#onTell(frame.body.value, frame.from);
  }

  /** Whether the coordinator answers: then it tells this node all that is new unasked. */
  #isLeaderHeard(nowMs: number): boolean {
    const core = this.#cores.get(this.#leader?.address ?? '');
    return core !== undefined && core.incarnation !== '' && nowMs - core.heardMs < FRESH_MS;
  }

  /** The leader and a few more: seeds until cores are known. */
  #followed(nowMs: number): Core[] {
    for (const [address, core] of this.#cores) {
      if (nowMs - core.heardMs > CORE_MS && !this.#dependencies.seeds.includes(address))
        this.#cores.delete(address);
    }
    for (const address of this.#dependencies.seeds) this.#core(address);
    const known = [...this.#cores.values()].filter((core) => core.address !== this.#seat.address);
    const fresh = known.filter((core) => nowMs - core.heardMs < FRESH_MS);
    const leader = known.filter((core) => core.address === this.#leader?.address);
    const granted = fresh.filter((core) => core.granted).sort((one, other) => one.place - other.place);
    const chosen = new Set([...leader, ...granted.slice(0, CORES_MOST)]);
    if (leader.length === 0 || !fresh.includes(leader[0] as Core) || chosen.size < CORES_MOST)
      for (const core of known) chosen.add(core);
    return [...chosen];
  }

  #core(address: string): Core {
    let core = this.#cores.get(address);
    if (core === undefined) {
      core = {
        address,
        incarnation: '',
        place: spread(`${this.#seat.incarnation} ${address}`),
        heardMs: this.#dependencies.clock.nowMs(),
        granted: false,
        askedMs: -Infinity,
      };
      this.#cores.set(address, core);
    }
    return core;
  }

  #follow(core: Core, nowMs: number, leads: boolean): void {
    core.askedMs = nowMs;
    const demands = leads ? this.#dependencies.demands() : [];
    if (leads) this.#toldWaiting = new Set(demands.filter(({ waiting }) => waiting > 0).map(keyOf));
    const outcomes = leads ? this.#dependencies.outcomes() : [];
    this.#post(core.address, { demands: [...demands], outcomes });
  }

  /** Between two whole questions the coordinator is told only of what waits, or waited when it was told last. */
  #hasten(leader: Core): void {
    const demands = this.#dependencies
      .demands()
      .filter((want) => want.waiting > 0 || this.#toldWaiting.has(keyOf(want)));
    for (const demand of demands) this.#toldWaiting.add(keyOf(demand));
    this.#post(leader.address, { demands, incremental: true });
  }

  #post(address: string, fields: SubscribeFields): void {
    const value = create(SubscribeSchema, {
      subscriber: this.#seat,
      edition: this.#state.edition,
      tableId: this.#table,
      tableRow: this.#row,
      acceptsDeflate: true,
      ...fields,
    });
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: this.#dependencies.deployment,
      from: this.#seat.incarnation,
      to: '',
    });
    frame.body = { case: 'subscribe', value };
    this.#dependencies.send(address, frame);
  }

  #onTell(tell: StateUpdate, from: string): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const seat of tell.cores) this.#core(seat.address).incarnation = seat.incarnation;
    const core = [...this.#cores.values()].find((known) => known.incarnation === from);
    if (core !== undefined) {
      core.heardMs = nowMs;
      core.granted = tell.hasLease;
    }
    if (tell.hasLease && tell.coordinator !== undefined) this.#leader = tell.coordinator;
    this.#countEdges(tell, nowMs);
    this.#takeState(tell);
    this.#takeRows(tell, nowMs);
    if (tell.hasLease && this.#configuration !== undefined && this.#workers.size > 0) this.#knewMs ??= nowMs;
  }

  /** Only the coordinator hears every edge; one that is new to it counts too few at first. */
  #countEdges(tell: StateUpdate, nowMs: number): void {
    // A coordinator that has lost its majority may hear no edge, and still be heard.
    if (!tell.hasLease || tell.tableId === '' || epochOf(tell.tableId) < epochOf(this.#counted.table)) return;
    if (tell.tableId !== this.#counted.table) this.#counted = { table: tell.tableId, sinceMs: nowMs };
    const least = nowMs - this.#counted.sinceMs < COUNTING_MS ? this.#edges : 1;
    this.#edges = Math.max(least, tell.edgeCount);
  }

  #takeState(tell: StateUpdate): void {
    if (tell.edition <= this.#state.edition) return;
    const state = decodeStateUpdate(tell);
    if (state === undefined || state.isErr) return;
    this.#state = state.value;
    const checked = state.value.document === undefined ? undefined : checkConfiguration(state.value.document);
    if (checked?.isOk === true) this.#configuration = checked.value;
    this.#dependencies.changed('state');
  }

  #takeRows(tell: StateUpdate, nowMs: number): void {
    if (tell.tableId === '' || epochOf(tell.tableId) < epochOf(this.#table)) return;
    if (tell.snapshot) this.#workers = new Map();
    else if (tell.tableId !== this.#table || tell.tableRow < this.#row || tell.baseRow > this.#row) return;
    for (const row of tell.rows) this.#takeRow(row, nowMs);
    this.#table = tell.tableId;
    this.#row = tell.tableRow;
    if (tell.snapshot || tell.rows.length > 0) this.#dependencies.changed('workers');
  }

  #takeRow(row: WorkerRow, nowMs: number): void {
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
      sharePercent: limits.find((limit) => limit.zone === this.#seat.zone)?.percent ?? EVERYONE,
    });
  }
}

function keyOf({ service, model, adapter }: ModelDemand): string {
  return `${service}/${model}/${adapter}`;
}

function epochOf(table: string): number {
  return table === '' ? -1 : Number(table.slice(0, table.indexOf('-')));
}
