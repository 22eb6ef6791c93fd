/** Orders to workers, their replies, and the reports of workers. */
import type { Holdings } from './holdings.js';

/** An order to a worker. */
export interface WorkerOrder {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** Empty for the model itself. */
  readonly adapter: string;
  /** Epoch of the coordinator that sends it. */
  readonly fence: number;
  /**
   * Number of orders that the worker has accepted so far. A worker that has accepted another number declines
   * the order, so that a delayed order is never accepted after a later one, nor twice.
   */
  readonly sequence: number;
}

/** How a worker replied to an order. */
export type WorkerOrderReply =
  /** The order is in progress. */
  | 'begun'
  /** The worker was already in the ordered state. */
  | 'held'
  /** Another order is in progress, or the sequence differs. */
  | 'busy'
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** The address belongs to another worker, or the worker lacks what the order depends on. */
  | 'wrong-worker'
  /** The worker did not accept the order, and its holdings are unknown. */
  | 'refused'
  /** The outcome is unknown: the worker may have accepted the order, or may still do so. */
  | 'no-answer';

/** The report of a worker that runs no order; it may have accepted an order since. */
export interface WorkerReport {
  readonly holdings: Holdings;
  /** Number of orders that the worker had accepted. */
  readonly sequence: number;
}

/** How a worker replied to a report request. */
export type ReportReply = WorkerReport | 'busy' | 'no-answer';
