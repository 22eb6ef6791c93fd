import { create } from '@bufbuild/protobuf';
import { ModelDemandSchema, type Frame, type ModelDemand, type WorkerRow } from '@rainrun/messages';
import { EdgeReplica } from '@rainrun/cluster-node';
import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { PeerTransport } from '@rainrun/runtime';
import { sharedMs } from './ipc.js';
import { adapterName, initialModelCount, modelName, SERVICE, SLOTS, zoneOf, type Size } from './site.js';

/** Frames and bytes exchanged between the simulated edges and one kind of core. */
export interface Traffic {
  sentFrames: number;
  sentBytes: number;
  receivedFrames: number;
  receivedBytes: number;
  /** Received frames that carried a configuration state, and the bytes of these states. */
  states: number;
  stateBytes: number;
  /** Received frames that carried a table snapshot, and their bytes without an included state. */
  snapshots: number;
  snapshotBytes: number;
  /** Received frames that carried changed rows, the number of rows, and the bytes of these frames. */
  deltas: number;
  rows: number;
  deltaBytes: number;
}

/** How many followers have received an item, and when the first and the latest of them received it. */
export interface Propagation {
  count: number;
  firstMs: number;
  lastMs: number;
}

/** Traffic counters that all start at zero. */
export function noTraffic(): Traffic {
  return {
    sentFrames: 0,
    sentBytes: 0,
    receivedFrames: 0,
    receivedBytes: 0,
    states: 0,
    stateBytes: 0,
    snapshots: 0,
    snapshotBytes: 0,
    deltas: 0,
    rows: 0,
    deltaBytes: 0,
  };
}

/** Statistics of all followers of one process since the last reset. */
export class EdgeStats {
  readonly leader = noTraffic();
  readonly other = noTraffic();
  readonly revisions = new Map<number, Propagation>();
  /** Followers that hold the complete table, by table id. */
  readonly tables = new Map<string, Propagation>();
  /** Followers that recognize a coordinator as the leader, by its incarnation. */
  readonly leaders = new Map<string, Propagation>();
  /** Followers that were informed of a given number of edges, by that number. */
  readonly edgeCounts = new Map<number, Propagation>();
  /** Followers that have seen a given number of rows removed, by that number. */
  readonly removedRows = new Map<number, Propagation>();
  readonly joinTimesMs: number[] = [];
  readonly placementTimesMs: number[] = [];

  record<K>(propagations: Map<K, Propagation>, key: K): void {
    const nowMs = sharedMs();
    const known = propagations.get(key) ?? { count: 0, firstMs: nowMs, lastMs: nowMs };
    known.count += 1;
    known.lastMs = nowMs;
    propagations.set(key, known);
  }
}

/** Delay before an urgent update, as on a real edge, so that demands arriving meanwhile share one frame. */
const URGENT_UPDATE_DELAY_MS = 7;
/** An unmet demand is dropped from the updates after this time. */
const DEMAND_TTL_MS = 8000;

/** A listening transport and its frame handler, which can be set only once the port is known. */
interface Listener {
  readonly transport: PeerTransport;
  onFrame: (frame: Frame) => void;
}

interface PendingDemand {
  readonly model: string;
  readonly adapter: string;
  readonly sinceMs: number;
}

/**
 * Simulated edge without clients: a real follower with its own transport and connections
 * that reports the demand of an edge with a given number of models in use.
 */
export class SimulatedEdge {
  #transport: PeerTransport;
  #follower: EdgeReplica;
  #stats: () => EdgeStats;
  #leader = '';
  #leaderIncarnation = '';
  #tableId = '';
  #tableRow = 0;
  #edgeCount = 0;
  #removedRows = 0;
  #revision = 0;
  #bytesIn = 0;
  #joinedMs: number | undefined;
  #steadyDemands: ModelDemand[];
  #pendingDemands: PendingDemand[] = [];
  #partitioned = false;
  /** Whether all received rows are retained; otherwise only the first row of each update is. */
  #retainsRows: boolean;

  private constructor(
    index: number,
    size: Size,
    host: string,
    seeds: readonly string[],
    retainsRows: boolean,
    listener: Listener,
    stats: () => EdgeStats,
  ) {
    const startedAtMs = sharedMs();
    this.#transport = listener.transport;
    this.#retainsRows = retainsRows;
    this.#stats = stats;
    this.#steadyDemands = steadyDemandsOf(index, size);
    this.#follower = new EdgeReplica({
      name: `hollow-${index}`,
      zone: zoneOf(index),
      address: `${host}:${listener.transport.port}`,
      deployment: 'system',
      seeds,
      clock: { nowMs: () => performance.now() },
      chance: { next: () => Math.random() },
      quota: STRICT_QUOTA_BOUNDS,
      send: (address, frame) => this.#send(address, frame),
      outcomes: () => [],
      demands: () => this.#demands(),
      onChange: (what) => this.#onChange(what, startedAtMs),
    });
    listener.onFrame = (frame) => this.#onFrame(frame);
  }

  /** Listens on a free port and starts to follow the cores. */
  static async open(
    index: number,
    size: Size,
    host: string,
    seeds: readonly string[],
    retainsRows: boolean,
    stats: () => EdgeStats,
  ): Promise<SimulatedEdge> {
    const listener: Listener = {
      transport: new PeerTransport('system', (frame) => listener.onFrame(frame)),
      onFrame: () => undefined,
    };
    await listener.transport.listen(`${host}:0`);
    return new SimulatedEdge(index, size, host, seeds, retainsRows, listener, stats);
  }

  get follower(): EdgeReplica {
    return this.#follower;
  }

  get tableRow(): number {
    return this.#tableRow;
  }

  get tableId(): string {
    return this.#tableId;
  }

  get pendingCount(): number {
    return this.#pendingDemands.length;
  }

  /** Drops all incoming and outgoing frames while the edge is partitioned. */
  setPartitioned(partitioned: boolean): void {
    this.#partitioned = partitioned;
  }

  requestModel(model: string, adapter: string): void {
    this.#pendingDemands.push({ model, adapter, sinceMs: sharedMs() });
    this.#follower.reportDemandSoon();
    setTimeout(() => this.#follower.tick(), URGENT_UPDATE_DELAY_MS);
  }

  tick(): void {
    this.#follower.tick();
    if (this.#follower.edgeCount !== this.#edgeCount) {
      this.#edgeCount = this.#follower.edgeCount;
      this.#stats().record(this.#stats().edgeCounts, this.#edgeCount);
    }
  }

  /** Closes the transport without sending a leave message, as a killed process does. */
  close(): void {
    this.#transport.close();
  }

  leave(): void {
    this.#follower.leave();
    setTimeout(() => this.#transport.close(), 50);
  }

  #demands(): ModelDemand[] {
    const nowMs = sharedMs();
    this.#pendingDemands = this.#pendingDemands.filter((demand) => nowMs - demand.sinceMs < DEMAND_TTL_MS);
    return [
      ...this.#steadyDemands,
      ...this.#pendingDemands.map(({ model, adapter }) =>
        create(ModelDemandSchema, { service: SERVICE, model, adapter, waiting: 1, perS: 0.2 }),
      ),
    ];
  }

  #send(address: string, frame: Frame): void {
    if (this.#partitioned) return;
    const before = this.#transport.counts.bytesOut;
    this.#transport.send(address, frame);
    const traffic = this.#traffic(address === this.#leader);
    traffic.sentFrames += 1;
    traffic.sentBytes += this.#transport.counts.bytesOut - before;
  }

  #traffic(leads: boolean): Traffic {
    const stats = this.#stats();
    return leads ? stats.leader : stats.other;
  }

  #onFrame(frame: Frame): void {
    const bytes = this.#transport.counts.bytesIn - this.#bytesIn;
    this.#bytesIn = this.#transport.counts.bytesIn;
    if (this.#partitioned || frame.body.case !== 'stateUpdate') return;
    const update = frame.body.value;
    const stats = this.#stats();
    if (
      update.hasLease &&
      update.coordinator !== undefined &&
      update.coordinator.incarnation !== this.#leaderIncarnation
    ) {
      this.#leaderIncarnation = update.coordinator.incarnation;
      this.#leader = update.coordinator.address;
      stats.record(stats.leaders, update.coordinator.incarnation);
    }
    const traffic = this.#traffic(frame.from === this.#leaderIncarnation);
    traffic.receivedFrames += 1;
    traffic.receivedBytes += bytes;
    const stateBytes = update.state.length + update.deflatedState.length;
    if (stateBytes > 0) {
      traffic.states += 1;
      traffic.stateBytes += stateBytes;
    }
    if (update.snapshot) {
      traffic.snapshots += 1;
      traffic.snapshotBytes += bytes - stateBytes;
    } else if (update.rows.length > 0) {
      traffic.deltas += 1;
      traffic.rows += update.rows.length;
      traffic.deltaBytes += bytes - update.state.length;
    }
    if (update.tableId !== '') {
      if (update.tableId !== this.#tableId) {
        this.#tableId = update.tableId;
        this.#removedRows = 0;
        stats.record(stats.tables, update.tableId);
      }
      this.#tableRow = update.tableRow;
    }
    const { rows } = update;
    if (!this.#retainsRows) update.rows = rows.slice(0, 1);
    this.#follower.receive(frame);
    this.#recordRows(rows);
  }

  #recordRows(rows: readonly WorkerRow[]): void {
    const stats = this.#stats();
    const removed = rows.filter((row) => row.removed).length;
    if (removed > 0) {
      this.#removedRows += removed;
      stats.record(stats.removedRows, this.#removedRows);
    }
    if (this.#pendingDemands.length === 0) return;
    const nowMs = sharedMs();
    this.#pendingDemands = this.#pendingDemands.filter(({ model, adapter, sinceMs }) => {
      const isLoaded = rows.some((row) =>
        row.loadedModels.some(
          (holding) => holding.model === model && (adapter === '' || holding.adapters.includes(adapter)),
        ),
      );
      if (isLoaded) stats.placementTimesMs.push(nowMs - sinceMs);
      return !isLoaded;
    });
  }

  #onChange(what: 'state' | 'workers', startedAtMs: number): void {
    const stats = this.#stats();
    if (what === 'state') {
      const { revision } = this.#follower.state;
      for (let reached = Math.max(this.#revision, revision - 64) + 1; reached <= revision; reached += 1)
        stats.record(stats.revisions, reached);
      this.#revision = revision;
    }
    if (
      this.#joinedMs === undefined &&
      this.#follower.configuration !== undefined &&
      this.#follower.workers.size > 0
    ) {
      this.#joinedMs = sharedMs();
      stats.joinTimesMs.push(this.#joinedMs - startedAtMs);
    }
  }
}

/** Fraction of all worker slots of the fleet that is in use. */
const UTILIZATION = 0.1;

/** Constant demand of an edge: models and adapters that are already loaded, at a sustainable load. */
function steadyDemandsOf(index: number, size: Size): ModelDemand[] {
  const initialModels = initialModelCount(size);
  const part = Math.min(1, (UTILIZATION * SLOTS * size.rows) / (size.nodes * Math.max(1, size.asked)));
  return Array.from({ length: size.asked }, (_, nth) => {
    const model = (index * 7 + nth) % initialModels;
    const turn = index * size.asked + nth;
    const inFlight = Math.floor((turn + 1) * part) - Math.floor(turn * part);
    return create(ModelDemandSchema, {
      service: SERVICE,
      model: modelName(model),
      adapter: adapterName(model),
      inFlight,
      perS: 1.234,
    });
  });
}
