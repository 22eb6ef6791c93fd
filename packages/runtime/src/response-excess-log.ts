/** Logs which workers send responses beyond the bounds, without a line for each response. */
import type { ResponseExcess } from '@rainrun/gateway';
import type { Log } from './log.js';

/** The responses of one worker that were stopped at one bound. */
interface ExcessCount {
  readonly worker: string;
  readonly bound: ResponseExcess['bound'];
  responses: number;
  bytes: number;
  pieces: number;
  /** Those since the last line. */
  unlogged: number;
}

const MESSAGE = 'response stopped at a bound';

/**
 * Logs the first stopped response of each worker and bound at once, and the number of further ones when it is
 * flushed. A worker of which nothing was stopped between two flushes is forgotten.
 * @example
 * excessLog.record('i-7f3a', excess);
 * setInterval(() => excessLog.flush(), 10_000);
 */
export class ResponseExcessLog {
  readonly #log: Log;
  readonly #counts = new Map<string, ExcessCount>();
  #total = 0;

  constructor(log: Log) {
    this.#log = log;
  }

  /** Number of stopped responses since the start. */
  get total(): number {
    return this.#total;
  }

  /** Records a stopped response of a worker, by its id or address. */
  record(worker: string, { bound, part, bytes, pieces }: ResponseExcess): void {
    this.#total += 1;
    const key = `${worker} ${bound}`;
    const known = this.#counts.get(key);
    if (known === undefined) {
      this.#counts.set(key, { worker, bound, responses: 1, bytes, pieces, unlogged: 0 });
      this.#log.warn({ worker, bound, part, bytes, pieces, responses: 1 }, MESSAGE);
      return;
    }
    known.responses += 1;
    known.bytes += bytes;
    known.pieces += pieces;
    known.unlogged += 1;
  }

  /** Logs a line for each worker and bound with further responses since the last flush, and forgets the others. */
  flush(): void {
    for (const [key, count] of this.#counts) {
      if (count.unlogged === 0) {
        this.#counts.delete(key);
        continue;
      }
      const { worker, bound, responses, bytes, pieces } = count;
      count.unlogged = 0;
      this.#log.warn({ worker, bound, bytes, pieces, responses }, MESSAGE);
    }
  }
}
