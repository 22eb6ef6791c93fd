/** Calls of a core to workers and to the platform, whose replies are held whole within bounds. */
import { ByteCollector, type MemoryBudget } from '@rainrun/common';
import type { Link, LinkRequest, LinkTimer, ResponseBound, ResponseExcess } from '@rainrun/gateway';

/** A smaller piece of a reply is charged as this many bytes: reading it costs as much. */
const MIN_CHARGED_BYTES = 64;

/** A complete reply. */
export interface CallReply {
  readonly status: number;
  readonly body: string;
}

/** Bounds on one call, and what it waits for. */
export interface CallOptions {
  /** Largest body of the reply. */
  readonly maxBytes: number;
  /** The call is given up after this time, whatever has come. */
  readonly timeoutMs: number;
  /** Asked just before the first byte is sent; false withholds the call. */
  mayStart?(): boolean;
}

/** What all calls of a process share. */
export interface BoundedCallsDependencies {
  readonly link: Link;
  readonly timer: LinkTimer;
  /** The memory of all replies together. */
  readonly memory: MemoryBudget;
  /** A reply from this address was stopped at a bound. */
  onExcess(address: string, excess: ResponseExcess): void;
}

/**
 * Makes calls whose replies are complete and within their bounds, or count as missing.
 * @example
 * const calls = new BoundedCalls({ link, timer, memory, onExcess });
 * calls.call(request, { maxBytes: 4096, timeoutMs: 900 }, (reply) => console.log(reply?.status));
 */
export class BoundedCalls {
  readonly #dependencies: BoundedCallsDependencies;

  constructor(dependencies: BoundedCallsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Calls; `done` is called exactly once, with `undefined` if no complete reply came within the bounds. */
  call(request: LinkRequest, options: CallOptions, done: (reply: CallReply | undefined) => void): void {
    const { link, timer, memory, onExcess } = this.#dependencies;
    const body = new ByteCollector();
    let isPending = true;
    let status = 0;
    let chargedBytes = 0;
    function finish(reply: CallReply | undefined): void {
      if (!isPending) return;
      isPending = false;
      cancelTimer();
      reservation.release();
      done(reply);
    }
    function giveUp(): void {
      send.abort();
      finish(undefined);
    }
    function stopAt(bound: ResponseBound): void {
      onExcess(request.address, { bound, ...send.received });
      giveUp();
    }
    function take(bytes: Buffer): void {
      if (!isPending) return;
      chargedBytes += Math.max(bytes.length, MIN_CHARGED_BYTES);
      if (chargedBytes > options.maxBytes) return stopAt('body');
      const growthBytes = body.growthFor(bytes.length);
      if (growthBytes > 0 && !reservation.grow(growthBytes)) return giveUp();
      body.append(bytes);
    }
    const reservation = memory.open(() => stopAt('memory'), request.address);
    const cancelTimer = timer(options.timeoutMs, giveUp);
    const send = link.send(request, {
      mayStart: () => isPending && (options.mayStart?.() ?? true),
      head: (code) => {
        status = code;
      },
      chunk: take,
      end: () => finish({ status, body: body.take().toString('utf8') }),
      failed: () => finish(undefined),
      exceeded: (excess) => onExcess(request.address, excess),
    });
  }
}
