/**
 * Tracks the draws of an edge to one allocator: at most one is in flight, and a new one may follow after a
 * timeout.
 */

/** Timeout after which the first of a series of unanswered draws counts as lost. */
const INITIAL_TIMEOUT_MS = 150;

/** Increase of the timeout with each further unanswered draw of the series. */
const TIMEOUT_STEP_MS = 50;

/** Longest timeout of a draw. */
const MAX_TIMEOUT_MS = 400;

/** A draw that was sent. */
export interface SentDraw {
  readonly draw: number;
  /** Time on the edge's monotonic clock; permits granted for this draw expire a fixed time later. */
  readonly sentMs: number;
  /** Number of requested permits by tenant. */
  readonly needs: ReadonlyMap<string, number>;
}

/**
 * Keeps the draws sent to one allocator until the permits of a grant for them would have expired.
 * @example
 * if (draws.canSend(nowMs)) draws.recordSent({ draw: 7, sentMs: nowMs, needs });
 * draws.resolve(7)?.sentMs;
 */
export class DrawTracker {
  #lifetimeMs: number;
  #pending = new Map<number, SentDraw>();
  #inFlight: SentDraw | undefined;
  #consecutiveTimeouts = 0;

  /** `lifetimeMs` is the lifetime of permits, measured from the time at which their draw was sent. */
  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  /** Whether a draw may be sent: none is in flight, or the one in flight has timed out. */
  canSend(nowMs: number): boolean {
    return this.#inFlight === undefined || nowMs >= this.#inFlight.sentMs + this.#timeoutMs();
  }

  /** Records a draw that is being sent now. */
  recordSent(draw: SentDraw): void {
    this.#consecutiveTimeouts = this.#inFlight === undefined ? 0 : this.#consecutiveTimeouts + 1;
    this.#inFlight = draw;
    for (const [id, { sentMs }] of this.#pending)
      if (draw.sentMs - sentMs >= this.#lifetimeMs) this.#pending.delete(id);
    this.#pending.set(draw.draw, draw);
  }

  /**
   * Returns the draw with this number and removes it, so that each grant counts once; undefined if it is
   * unknown.
   */
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
