/** Orders to workers, their answers, and what workers say of themselves. */
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
   * How many orders the worker has taken so far. A worker that has taken
   * another number refuses the order, so that an order that was delayed on its
   * way is never taken after another one, nor twice.
   */
  readonly sequence: number;
}

/** How a worker answered an order. */
export type WorkerOrderReply =
  /** It is being done. */
  | 'begun'
  /** It was so already. */
  | 'held'
  /** Another order is being done, or the sequence differs. */
  | 'busy'
  /** A higher fencing token was seen. */
  | 'fenced'
  /** The worker at this address is another one, or lacks what the order builds on. */
  | 'wrong-worker'
  /** Not taken, and nothing is said of what the worker holds. */
  | 'refused'
  /** It may have been taken, and may still be. */
  | 'no-answer';

/** What a worker that is at no order said of itself; it may have taken an order since. */
export interface WorkerReport {
  readonly holdings: Holdings;
  /** How many orders it had taken. */
  readonly sequence: number;
}

/** How a worker answered the question what it holds. */
export type ReportReply = WorkerReport | 'busy' | 'no-answer';
