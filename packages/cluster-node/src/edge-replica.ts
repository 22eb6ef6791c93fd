/**
 * An edge's replica of the committed state and the worker table, fed by subscriptions to cores. Platform
 * family.
 */
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

/** Collaborators and callbacks that the edge program or the simulator supplies. */
export interface EdgeReplicaDependencies {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly deployment: string;
  /** Addresses of the cores that are contacted first. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /**
   * Source of random numbers. The secret under which tenants' API keys are hashed is drawn from it, so it
   * must be unpredictable in production.
   */
  readonly chance: RandomSource;
  /** Bounds within which a tenant's requests may exceed its limit. */
  readonly quota: QuotaBounds;
  send(address: string, frame: Frame): void;
  /** Current demand for models at this edge. */
  demands(): readonly ModelDemand[];
  /** Outcomes of the requests to workers since the last call. */
  outcomes(): WorkerOutcomes[];
  /** Called after the replicated state or the worker table has changed. */
  onChange(what: 'state' | 'workers'): void;
}

/** Fields of a subscribe message that are optional beside the versions that the edge holds. */
interface SubscribeFields {
  readonly demands?: ModelDemand[];
  readonly outcomes?: WorkerOutcomes[];
  readonly leaving?: boolean;
  readonly incremental?: boolean;
}

/**
 * Renewal interval of the subscription to the coordinator; of every subscription until a coordinator is
 * known.
 */
const SUBSCRIBE_INTERVAL_MS = 250;
/** Renewal interval while this node is not ready to serve and no coordinator answers it. */
const UNREADY_INTERVAL_MS = 80;
/** Renewal interval of the subscriptions to cores other than the coordinator. */
const NON_COORDINATOR_INTERVAL_MS = 750;
/** Urgent demand is collected for this long and reported in one message. */
const URGENT_BATCH_DELAY_MS = 6;

/**
 * A node outside the process group that subscribes to its cores: it reports
 * which versions it holds and receives newer ones. It never replaces a version
 * by an older one, and keeps its last versions while it is partitioned from the
 * cores.
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
  /** Secret under which API keys are hashed; drawn when the first configuration with tenants arrives. */
  #tenantSecret: Uint8Array | undefined;
  #cores: CoreSelection;
  #table: EdgeWorkerTable;
  #edgeCount = new EdgeCount();
  #demandReporter: DemandReporter;
  #quota: EdgeQuota;
  /** When the oldest urgent demand that is not yet reported came up; undefined if there is none. */
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

  /** The newest committed state that was received, without tenants' API keys. */
  get state(): Deployment {
    return this.#state;
  }

  /** The newest valid configuration, without tenants' API keys; undefined before the first. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /**
   * Tenants of the newest valid configuration; undefined if it has no list of tenants, in which case requests
   * need no API key.
   */
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

  /** Grants permits for requests of tenants that have a rate limit. */
  get permits(): PermitSource {
    return this.#quota.permits;
  }

  /** Number of edges, as the coordinator last counted them. */
  get edgeCount(): number {
    return this.#edgeCount.value;
  }

  /** Whether a core that holds a lease, hence has a majority, answered within the core time-out. */
  get informed(): boolean {
    return this.#cores.hasLiveLease(this.#dependencies.clock.nowMs());
  }

  /**
   * Whether this node may serve: it holds a configuration and workers, and a core with a lease has updated it
   * since it has held both.
   */
  get ready(): boolean {
    return this.#configuration !== undefined && this.workers.size > 0 && this.#readySinceMs !== undefined;
  }

  /** Has this edge report its demand shortly, without waiting for the next renewal of the subscription. */
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

  /** Ends all subscriptions, as this node is leaving. */
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

  /** Subscribes to a core or renews the subscription; only the coordinator receives demand and outcomes. */
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
   * Puts a valid document in force, and returns it without tenants' API keys. The document is checked a
   * second time without the keys, because the checker retains the items that it checked last.
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
