/** What workers send to this process, in total and by worker since the last reading. */

/** Bytes and pieces of response bodies. */
export interface TrafficCounts {
  readonly bytes: number;
  readonly pieces: number;
  /** Those of the bytes that came after nobody needed the response any more. */
  readonly unneededBytes: number;
}

/** What one worker has sent. */
export interface WorkerTrafficCounts extends TrafficCounts {
  /** Address of the worker. */
  readonly address: string;
}

class MutableCounts implements TrafficCounts {
  bytes = 0;
  pieces = 0;
  unneededBytes = 0;

  add(bytes: number, isNeeded: boolean): void {
    this.bytes += bytes;
    this.pieces += 1;
    if (!isNeeded) this.unneededBytes += bytes;
  }
}

/**
 * Counts the pieces of response bodies that workers send.
 * @example
 * traffic.record('10.0.0.9:8080', 4096, true);
 * traffic.takeBusiest(); // { address: '10.0.0.9:8080', bytes: 4096, pieces: 1, unneededBytes: 0 }
 */
export class WorkerTraffic {
  readonly #total = new MutableCounts();
  readonly #byAddress = new Map<string, MutableCounts>();

  /** Everything since the start. */
  get total(): TrafficCounts {
    return this.#total;
  }

  /** Records a piece of a response body; `isNeeded` is false once the response has no reader any more. */
  record(address: string, bytes: number, isNeeded: boolean): void {
    let counts = this.#byAddress.get(address);
    if (counts === undefined) {
      counts = new MutableCounts();
      this.#byAddress.set(address, counts);
    }
    counts.add(bytes, isNeeded);
    this.#total.add(bytes, isNeeded);
  }

  /** The worker that sent the most bytes since the last call; undefined if none sent any. */
  takeBusiest(): WorkerTrafficCounts | undefined {
    let busiest: WorkerTrafficCounts | undefined;
    for (const [address, { bytes, pieces, unneededBytes }] of this.#byAddress)
      if (bytes > (busiest?.bytes ?? 0)) busiest = { address, bytes, pieces, unneededBytes };
    this.#byAddress.clear();
    return busiest;
  }
}
