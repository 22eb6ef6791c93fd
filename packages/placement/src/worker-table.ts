/** The workers of the platform system as its coordinator knows them, a versioned row each. */
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
  /** What it reports as loaded: adapters by model. */
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
  /** What requests may be sent for: adapters by model. */
  models: Map<string, Set<string>>;
  /** Percentage of the edges of a zone that may send to it; zones that are not named send freely. */
  limits: ReadonlyMap<string, number>;
  /** Grows with every change of any row. */
  number: number;
  removedMs: number;
  /** Whether the worker itself has reported its holdings; only then is it ordered. */
  confirmed: boolean;
}

/** A row is dropped so long after its worker was removed, in milliseconds. */
const REMOVED_ROW_RETENTION_MS = 30_000;
/** The end of the warm-up must move by more than this to count as a new one, in milliseconds. */
const WARM_UP_STEP_MS = 400;

/** What changed in a table since it was last asked. */
export interface TableChanges {
  /** Something changed that concerns every request: a worker came, leaves, is gone, or its holdings were read anew. */
  readonly all: boolean;
  /** Models, each as `service/model`, that a worker began or ceased to serve. */
  readonly models: ReadonlySet<string>;
}

/**
 * The table of workers, a numbered row each, so that a reader that has all
 * rows up to a number is told only what came after it.
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

  /** Number of the newest change. */
  get number(): number {
    return this.#number;
  }

  get rows(): IterableIterator<WorkerRecord> {
    return this.#rows.values();
  }

  row(id: string): WorkerRecord | undefined {
    return this.#rows.get(id);
  }

  /** Rows changed after a number. */
  since(number: number): WorkerRecord[] {
    return [...this.#rows.values()].filter((row) => row.number > number);
  }

  /** Gives a changed row a new number; `model` is named where nothing but the copies of that model changed. */
  touch(row: WorkerRecord, model?: string): void {
    this.#number += 1;
    row.number = this.#number;
    if (model === undefined) this.#changedAll = true;
    else this.#changedModels.add(`${row.service}/${model}`);
  }

  /** What changed since the last call. */
  takeChanges(): TableChanges {
    const changes: TableChanges = { all: this.#changedAll, models: this.#changedModels };
    this.#changedAll = false;
    this.#changedModels = new Set();
    return changes;
  }

  /** Takes the platform's whole list. Holdings count only for incarnations that were not known: later ones follow from replies to orders. */
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
