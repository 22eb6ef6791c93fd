/** The workers of the platform system as its coordinator knows them, one versioned row for each. */
import { copyOf, type Holdings } from './holdings.js';

/** One worker as the platform lists it. */
export interface ListedWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  readonly warmUpMs: number;
  /** The loaded adapters by loaded model, as the platform lists them. */
  readonly models: Holdings;
}

/** One incarnation of a worker as the holder of the singleton lease knows it. */
export interface WorkerRecord {
  readonly id: string;
  readonly service: string;
  address: string;
  readonly zone: string;
  slots: number;
  draining: boolean;
  removed: boolean;
  warmUpUntilMs: number;
  /** What the worker may get requests for: adapters by model. */
  models: Map<string, Set<string>>;
  /** Percentage of the edges of a zone that may send to the worker; all edges of an unnamed zone may. */
  limits: ReadonlyMap<string, number>;
  /** The number of the row's last change; each change in the table gets the next higher number. */
  number: number;
  removedMs: number;
  /** Whether the holdings are confirmed by the worker's own report; only then does it get orders. */
  confirmed: boolean;
}

/** A row is dropped this long after its worker was removed, in milliseconds. */
const REMOVED_ROW_RETENTION_MS = 30_000;
/** A new warm-up is assumed if its end moves by more than this, in milliseconds. */
const WARM_UP_STEP_MS = 400;

/** What changed in a table since `takeChanges` was last called. */
export interface TableChanges {
  /**
   * Whether a change affects all requests: a worker joined, drains or was removed, or its holdings were
   * reread.
   */
  readonly all: boolean;
  /** Models, each as `service/model`, that a worker has started or stopped serving. */
  readonly models: ReadonlySet<string>;
}

/**
 * The table of workers, one numbered row for each, so that a reader that has all
 * rows up to a number gets only the later changes.
 * @example
 * const table = new WorkerTable();
 * table.learn([listed], nowMs);
 * table.since(0); // every row
 */
export class WorkerTable {
  #rows = new Map<string, WorkerRecord>();
  #number = 0;
  #changedAll = false;
  #changedModels = new Set<string>();

  /** Number of the latest change. */
  get number(): number {
    return this.#number;
  }

  get rows(): IterableIterator<WorkerRecord> {
    return this.#rows.values();
  }

  row(id: string): WorkerRecord | undefined {
    return this.#rows.get(id);
  }

  /** Rows that changed after a number. */
  since(number: number): WorkerRecord[] {
    return [...this.#rows.values()].filter((row) => row.number > number);
  }

  /** Gives a changed row a new number; `model` is given if only the copies of that model changed. */
  touch(row: WorkerRecord, model?: string): void {
    this.#number += 1;
    row.number = this.#number;
    if (model === undefined) this.#changedAll = true;
    else this.#changedModels.add(`${row.service}/${model}`);
  }

  /** Returns and clears the changes since the last call. */
  takeChanges(): TableChanges {
    const changes: TableChanges = { all: this.#changedAll, models: this.#changedModels };
    this.#changedAll = false;
    this.#changedModels = new Set();
    return changes;
  }

  /**
   * Applies the platform's complete list of workers, and returns the new ones. Listed holdings are used only
   * for new incarnations; later changes follow from replies to orders.
   */
  learn(list: readonly ListedWorker[], nowMs: number): WorkerRecord[] {
    const added: WorkerRecord[] = [];
    const listedIds = new Set<string>();
    for (const listed of list) {
      listedIds.add(listed.id);
      const known = this.#rows.get(listed.id);
      if (known === undefined) added.push(this.#insert(listed, nowMs));
      else this.#update(known, listed, nowMs);
    }
    for (const row of this.#rows.values()) {
      if (!listedIds.has(row.id) && !row.removed) {
        row.removed = true;
        row.removedMs = nowMs;
        this.touch(row);
      } else if (row.removed && nowMs - row.removedMs > REMOVED_ROW_RETENTION_MS) this.#rows.delete(row.id);
    }
    return added;
  }

  #insert(listed: ListedWorker, nowMs: number): WorkerRecord {
    const { id, service, address, zone, slots, draining, warmUpMs } = listed;
    const models = copyOf(listed.models);
    const row: WorkerRecord = {
      id,
      service,
      address,
      zone,
      slots,
      draining,
      removed: false,
      warmUpUntilMs: warmUpMs > 0 ? nowMs + warmUpMs : -Infinity,
      models,
      limits: new Map(),
      number: 0,
      removedMs: 0,
      confirmed: false,
    };
    this.#rows.set(id, row);
    this.touch(row);
    return row;
  }

  #update(row: WorkerRecord, listed: ListedWorker, nowMs: number): void {
    const warmUpUntilMs = listed.warmUpMs > 0 ? nowMs + listed.warmUpMs : -Infinity;
    const warmsUpAnew = warmUpUntilMs > row.warmUpUntilMs + WARM_UP_STEP_MS && warmUpUntilMs > nowMs;
    if (
      row.draining === listed.draining &&
      !row.removed &&
      !warmsUpAnew &&
      row.address === listed.address &&
      row.slots === listed.slots
    )
      return;
    row.draining = listed.draining;
    row.removed = false;
    row.address = listed.address;
    row.slots = listed.slots;
    if (warmsUpAnew) row.warmUpUntilMs = warmUpUntilMs;
    this.touch(row);
  }
}
