/** The worker table of an edge, replicated row by row from the coordinator's table. Platform family. */
import type { StateUpdate, WorkerRow } from '@rainrun/messages';

/** A worker as an edge knows it. */
export interface WorkerSnapshot {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly draining: boolean;
  /** Number of requests that the worker runs concurrently. */
  readonly slots: number;
  /** End of the worker's slow start, by the edge's clock; -Infinity if it has none. */
  readonly warmUpUntilMs: number;
  /** Adapters by model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  readonly number: number;
  /** Percentage of the edges in this edge's zone that may send to the worker. */
  readonly sharePercent: number;
}

/** The percentage for a worker without a limit: all edges of a zone may send to it. */
const ALL_EDGES_PERCENT = 100;

/**
 * The newest worker table of which this edge received rows. It is never replaced by a table of an earlier
 * epoch.
 * @example
 * const table = new EdgeWorkerTable('north');
 * if (table.apply(update, nowMs)) onChange('workers');
 */
export class EdgeWorkerTable {
  #zone: string;
  #tableId = '';
  #tableRow = 0;
  #workers = new Map<string, WorkerSnapshot>();

  constructor(zone: string) {
    this.#zone = zone;
  }

  get tableId(): string {
    return this.#tableId;
  }

  /** Number of the newest row applied. */
  get tableRow(): number {
    return this.#tableRow;
  }

  get workers(): ReadonlyMap<string, WorkerSnapshot> {
    return this.#workers;
  }

  /**
   * Applies the rows of an update if they leave no gap to the held ones; returns whether anything may have
   * changed.
   */
  apply(update: StateUpdate, nowMs: number): boolean {
    if (update.tableId === '' || epochOfTable(update.tableId) < epochOfTable(this.#tableId)) return false;
    if (update.snapshot) this.#workers = new Map();
    else if (!this.#follows(update)) return false;
    for (const row of update.rows) this.#applyRow(row, nowMs);
    this.#tableId = update.tableId;
    this.#tableRow = update.tableRow;
    return update.snapshot || update.rows.length > 0;
  }

  /** Whether the rows of an update, which changed after its `baseRow`, can be applied without a gap. */
  #follows({ tableId, tableRow, baseRow }: StateUpdate): boolean {
    return tableId === this.#tableId && tableRow >= this.#tableRow && baseRow <= this.#tableRow;
  }

  #applyRow(row: WorkerRow, nowMs: number): void {
    if (row.removed) {
      this.#workers.delete(row.id);
      return;
    }
    const { id, service, address, zone, draining, slots, warmUpMs, number, callerLimits } = row;
    const models = new Map(row.loadedModels.map(({ model, adapters }) => [model, new Set(adapters)]));
    this.#workers.set(id, {
      id,
      service,
      address,
      zone,
      draining,
      slots,
      warmUpUntilMs: warmUpMs > 0 ? nowMs + warmUpMs : -Infinity,
      models,
      number,
      sharePercent: callerLimits.find((limit) => limit.zone === this.#zone)?.percent ?? ALL_EDGES_PERCENT,
    });
  }
}

/**
 * The epoch of the coordinator that created a table; -1 for an empty id.
 * @example
 * epochOfTable('7-3fa9c1d20b44'); // 7
 */
export function epochOfTable(tableId: string): number {
  return tableId === '' ? -1 : Number(tableId.slice(0, tableId.indexOf('-')));
}
