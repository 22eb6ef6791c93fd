/** The draws of an edge at one allocator: at most one in flight, sent again while no grant comes. */

/** A first draw is taken for lost after so long. */
const INITIAL_TIMEOUT_MS = 150;

/** Each further one in a row waits this much longer. */
const TIMEOUT_STEP_MS = 50;

/** The longest time for which a draw is waited for. */
const MAX_TIMEOUT_MS = 400;

/** A draw that was sent. */
export interface SentDraw {
  readonly draw: number;
  /** On the edge's monotonic clock; permits granted for it end a fixed time after this. */
  readonly sentMs: number;
  /** Permits asked for, by tenant. */
  readonly needs: ReadonlyMap<string, number>;
}

/**
 * Remembers the draws sent to one allocator until a grant for them could no longer be used.
 * @example
 * if (draws.canSend(nowMs)) draws.sent({ draw: 7, sentMs: nowMs, needs });
 * draws.answered(7)?.sentMs;
 */
export class DrawTracker {
  #lifetimeMs: number;
  #pending = new Map<number, SentDraw>();
  #inFlight: SentDraw | undefined;
  #consecutiveTimeouts = 0;

  /** `lifetimeMs`: how long permits may be used from the moment at which their draw was sent. */
  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  /** Whether no draw is in flight, or the one that is must be taken for lost. */
  canSend(nowMs: number): boolean {
    return this.#inFlight === undefined || nowMs >= this.#inFlight.sentMs + this.#timeoutMs();
  }

  /** Notes a draw that goes out now. */
  recordSent(draw: SentDraw): void {
    this.#consecutiveTimeouts = this.#inFlight === undefined ? 0 : this.#consecutiveTimeouts + 1;
    this.#inFlight = draw;
    for (const [id, { sentMs }] of this.#pending)
      if (draw.sentMs - sentMs >= this.#lifetimeMs) this.#pending.delete(id);
    this.#pending.set(draw.draw, draw);
  }

  /** The draw that a grant answers, once each; undefined where it is not known any more. */
  resolve(draw: number): SentDraw | undefined {
    const known = this.#pending.get(draw);
    this.#pending.delete(draw);
    if (this.#inFlight?.draw === draw) this.#inFlight = undefined;
    return known;
  }

  #timeoutMs(): number {
    return Math.min(MAX_TIMEOUT_MS, INITIAL_TIMEOUT_MS + TIMEOUT_STEP_MS * this.#consecutiveTimeouts);
  }
}
