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
  /** What it holds by its own word: adapters by model. */
  readonly models: Holdings;
}

/** One incarnation of a worker as the holder of the duty knows it. */
export interface WorkerRecord {
  readonly id: string;
  readonly service: string;
  address: string;
  readonly zone: string;
  slots: number;
  draining: boolean;
  gone: boolean;
  coldUntilMs: number;
  /** What requests may be sent for: adapters by model. */
  models: Map<string, Set<string>>;
  /** Percentage of the edges of a zone that may send to it; zones that are not named send freely. */
  limits: ReadonlyMap<string, number>;
  /** Grows with every change of any row. */
  number: number;
  goneMs: number;
  /** Whether its holdings are known for certain, by its own word; only then is it ordered. */
  sure: boolean;
}

const FORGET_MS = 30_000;
const COLD_STEP_MS = 400;

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
 * const book = new WorkerTable();
 * book.learn([listed], nowMs);
 * book.since(0); // every row
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

  /** Numbers a changed row anew; `model` is named where nothing but the copies of that model changed. */
  changed(row: WorkerRecord, model?: string): void {
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
    const fresh: WorkerRecord[] = [];
    const seen = new Set<string>();
    for (const listed of list) {
      seen.add(listed.id);
      const known = this.#rows.get(listed.id);
      if (known === undefined) fresh.push(this.#enter(listed, nowMs));
      else this.#update(known, listed, nowMs);
    }
    for (const row of this.#rows.values()) {
      if (!seen.has(row.id) && !row.gone) {
        row.gone = true;
        row.goneMs = nowMs;
        this.changed(row);
      } else if (row.gone && nowMs - row.goneMs > FORGET_MS) this.#rows.delete(row.id);
    }
    return fresh;
  }

  #enter(listed: ListedWorker, nowMs: number): WorkerRecord {
    const { id, service, address, zone, slots, draining: leaving, warmUpMs: coldMs } = listed;
    const models = copyOf(listed.models);
    const row: WorkerRecord = {
      id,
      service,
      address,
      zone,
      slots,
      draining: leaving,
      gone: false,
      coldUntilMs: coldMs > 0 ? nowMs + coldMs : -Infinity,
      models,
      limits: new Map(),
      number: 0,
      goneMs: 0,
      sure: false,
    };
    this.#rows.set(id, row);
    this.changed(row);
    return row;
  }

  #update(row: WorkerRecord, listed: ListedWorker, nowMs: number): void {
    const coldUntilMs = listed.warmUpMs > 0 ? nowMs + listed.warmUpMs : -Infinity;
    const cold = coldUntilMs > row.coldUntilMs + COLD_STEP_MS && coldUntilMs > nowMs;
    if (
      row.draining === listed.draining &&
      !row.gone &&
      !cold &&
      row.address === listed.address &&
      row.slots === listed.slots
    )
      return;
    row.draining = listed.draining;
    row.gone = false;
    row.address = listed.address;
    row.slots = listed.slots;
    if (cold) row.coldUntilMs = coldUntilMs;
    this.changed(row);
  }
}
