/** An edge's replica of the committed state and the worker table, by subscription to cores. Platform family. */
import { create } from '@bufbuild/protobuf';
import {
  MemberSchema,
  newFrame,
  SubscribeSchema,
  type Frame,
  type Member,
  type ModelDemand,
  type StateUpdate,
  type WorkerOutcomes,
} from '@rainrun/messages';
import {
  checkConfiguration,
  EMPTY_DEPLOYMENT,
  TENANT_SECRET_BYTES,
  TenantDirectory,
  withoutApiKeys,
  type Configuration,
  type ConfigurationDocument,
  type Deployment,
} from '@rainrun/configuration';
import { randomBytes, randomId, type Clock, type RandomSource } from '@rainrun/common';
import type { PermitSource, QuotaBounds } from '@rainrun/quotas';
import { CoreSelection, type Core } from './core-selection.js';
import { DemandReporter } from './demand-reporter.js';
import { EdgeCount } from './edge-count.js';
import { EdgeQuota } from './edge-quota.js';
import { EdgeWorkerTable, type WorkerSnapshot } from './edge-worker-table.js';
import { decodeStateUpdate } from './state-update.js';

/** What an edge's replica is given by its program, or by the simulator. */
export interface EdgeReplicaDependencies {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly deployment: string;
  /** Addresses of cores to begin with. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** The keys of tenants are hashed under a secret drawn from it, so on a real machine it is to be unpredictable. */
  readonly chance: RandomSource;
  /** How far requests of tenants may go above their limits. */
  readonly quota: QuotaBounds;
  send(address: string, frame: Frame): void;
  /** The demand for models at this edge now. */
  demands(): readonly ModelDemand[];
  /** How requests to workers ended since the last call. */
  outcomes(): WorkerOutcomes[];
  /** Another edition, or other workers, are known from now on. */
  onChange(what: 'state' | 'workers'): void;
}

/** What an edge reports to a core beside the state that it holds. */
interface SubscribeFields {
  readonly demands?: ModelDemand[];
  readonly outcomes?: WorkerOutcomes[];
  readonly leaving?: boolean;
  readonly incremental?: boolean;
}

/** How often the subscription to the coordinator is renewed, and to every core until one is known. */
const SUBSCRIBE_INTERVAL_MS = 250;
/** How often a node that cannot serve yet, and that no coordinator knows of, subscribes. */
const UNREADY_INTERVAL_MS = 80;
/** How often subscriptions to other cores than the coordinator are renewed. */
const NON_COORDINATOR_INTERVAL_MS = 750;
/** Urgent demand of so long is batched into one message. */
const URGENT_BATCH_DELAY_MS = 6;

/**
 * A node outside the group that subscribes to its cores: it says what it holds
 * and is sent what is newer. What it holds never goes back; partitioned from
 * the cores, it goes on with it.
 * @example
 * const replica = new EdgeReplica(dependencies);
 * replica.tick(); // every 20 ms
 */
export class EdgeReplica {
  #dependencies: EdgeReplicaDependencies;
  #self: Member;
  #state: Deployment = EMPTY_DEPLOYMENT;
  #configuration: Configuration | undefined;
  #tenants: TenantDirectory | undefined;
  /** Drawn when the first tenants come. */
  #tenantSecret: Uint8Array | undefined;
  #cores: CoreSelection;
  #table: EdgeWorkerTable;
  #edgeCount = new EdgeCount();
  #demandReporter: DemandReporter;
  #quota: EdgeQuota;
  /** Since when urgent demand is to be reported. */
  #urgentSinceMs: number | undefined;
  #readySinceMs: number | undefined;

  constructor(dependencies: EdgeReplicaDependencies) {
    const { name, address, zone, seeds } = dependencies;
    this.#dependencies = dependencies;
    const incarnation = randomId(dependencies.chance);
    this.#self = create(MemberSchema, { name, incarnation, address, zone });
    this.#cores = new CoreSelection({ incarnation, address, seeds });
    this.#table = new EdgeWorkerTable(zone);
    this.#demandReporter = new DemandReporter(() => dependencies.demands());
    this.#quota = new EdgeQuota({
      deployment: dependencies.deployment,
      clock: dependencies.clock,
      chance: dependencies.chance,
      bounds: dependencies.quota,
      self: this.#self,
      limitOf: (tenant) => this.#tenants?.tenantNamed(tenant),
      send: (to, frame) => dependencies.send(to, frame),
    });
  }

  /** The newest committed state that is known here, without the keys of tenants. */
  get state(): Deployment {
    return this.#state;
  }

  /** The newest valid configuration, without the keys of tenants; undefined before the first. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** The tenants of that configuration; undefined where it has none, so that requests need no key. */
  get tenants(): TenantDirectory | undefined {
    return this.#tenants;
  }

  /** Workers by id. */
  get workers(): ReadonlyMap<string, WorkerSnapshot> {
    return this.#table.workers;
  }

  get incarnation(): string {
    return this.#self.incarnation;
  }

  /** Permits to send requests of tenants with a limit. */
  get permits(): PermitSource {
    return this.#quota.permits;
  }

  /** How many edges there are, as far as the coordinator knows. */
  get edgeCount(): number {
    return this.#edgeCount.value;
  }

  /** Whether a core with a majority behind it answered lately. */
  get informed(): boolean {
    return this.#cores.hasLiveLease(this.#dependencies.clock.nowMs());
  }

  /** Whether this node may serve: it holds a configuration and the workers, and had both from a core with a lease. */
  get ready(): boolean {
    return this.#configuration !== undefined && this.workers.size > 0 && this.#readySinceMs !== undefined;
  }

  /** There is demand that cannot wait for the next renewal of the subscription. */
  requestUpdateSoon(): void {
    this.#urgentSinceMs ??= this.#dependencies.clock.nowMs();
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    const isUrgent =
      this.#urgentSinceMs !== undefined && nowMs - this.#urgentSinceMs >= URGENT_BATCH_DELAY_MS;
    const isUnready = !this.ready && !this.#cores.isCoordinatorLive(nowMs);
    for (const core of this.#cores.subscribedCores(nowMs)) {
      const isCoordinator = this.#cores.isCoordinator(core);
      const intervalMs = isUnready ? UNREADY_INTERVAL_MS : this.#intervalMs(isCoordinator);
      if (nowMs - core.subscribedMs >= intervalMs) this.#subscribe(core, nowMs, isCoordinator);
      else if (isUrgent && isCoordinator)
        this.#send(core.address, { demands: this.#demandReporter.increment(), incremental: true });
    }
    if (isUrgent) this.#urgentSinceMs = undefined;
    this.#quota.tick(nowMs);
  }

  /** Ends the subscriptions: this node leaves. */
  leave(): void {
    for (const address of this.#cores.addresses) this.#send(address, { leaving: true });
  }

  receive(frame: Frame): void {
    if (frame.to !== this.#self.incarnation || this.#quota.receive(frame.body)) return;
    if (frame.body.case === 'stateUpdate') this.#onStateUpdate(frame.body.value, frame.from);
  }

  #intervalMs(isCoordinator: boolean): number {
    return isCoordinator || !this.#cores.hasCoordinator ? SUBSCRIBE_INTERVAL_MS : NON_COORDINATOR_INTERVAL_MS;
  }

  /** Only the coordinator is sent demand and outcomes. */
  #subscribe(core: Core, nowMs: number, isCoordinator: boolean): void {
    core.subscribedMs = nowMs;
    const demands = isCoordinator ? this.#demandReporter.full() : [];
    const outcomes = isCoordinator ? this.#dependencies.outcomes() : [];
    this.#send(core.address, { demands, outcomes });
  }

  #send(address: string, fields: SubscribeFields): void {
    const value = create(SubscribeSchema, {
      subscriber: this.#self,
      edition: this.#state.edition,
      tableId: this.#table.tableId,
      tableRow: this.#table.tableRow,
      acceptsDeflate: true,
      ...fields,
    });
    const route = { deployment: this.#dependencies.deployment, from: this.#self.incarnation, to: '' };
    this.#dependencies.send(address, newFrame(route, { case: 'subscribe', value }));
  }

  #onStateUpdate(update: StateUpdate, from: string): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#cores.learnMembers(update.cores, nowMs);
    this.#quota.onStateUpdate(update);
    this.#cores.onContact(from, update.hasLease, nowMs);
    if (update.hasLease && update.coordinator !== undefined) this.#cores.learnCoordinator(update.coordinator);
    this.#edgeCount.apply(update, nowMs);
    this.#applyState(update);
    if (this.#table.apply(update, nowMs)) this.#dependencies.onChange('workers');
    if (update.hasLease && this.#configuration !== undefined && this.workers.size > 0)
      this.#readySinceMs ??= nowMs;
  }

  #applyState(update: StateUpdate): void {
    if (update.edition <= this.#state.edition) return;
    const state = decodeStateUpdate(update);
    if (state === undefined || state.isErr) return;
    const { document } = state.value;
    this.#state = {
      ...state.value,
      document: document === undefined ? undefined : this.#applyDocument(document),
    };
    this.#dependencies.onChange('state');
  }

  /**
   * Takes over a document that is valid, and returns it without the keys of tenants. It is checked a second time
   * without them: the checker remembers the items that it saw last.
   */
  #applyDocument(document: ConfigurationDocument): ConfigurationDocument {
    const checked = checkConfiguration(document);
    const hasTenants = checked.isOk && Array.isArray(checked.value.tenants);
    const keyless = withoutApiKeys(document);
    const checkedKeyless = hasTenants ? checkConfiguration(keyless) : checked;
    if (!checked.isOk || !checkedKeyless.isOk) return keyless;
    this.#configuration = checkedKeyless.value;
    this.#tenants = this.#newTenantDirectory(checked.value);
    return keyless;
  }

  #newTenantDirectory({ tenants }: Configuration): TenantDirectory | undefined {
    if (tenants === undefined || tenants === null) return undefined;
    this.#tenantSecret ??= randomBytes(this.#dependencies.chance, TENANT_SECRET_BYTES);
    return new TenantDirectory(tenants, this.#tenantSecret);
  }
}
