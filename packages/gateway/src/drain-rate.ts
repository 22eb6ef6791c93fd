/** Retry-After times for rejected clients, from the rate at which the backlog drains. */

/** Half-life of the exponentially decaying send rate. */
const HALF_LIFE_MS = 5000;
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 60;

/**
 * Measures how fast a group's backlog drains at this edge, and derives when a rejected client should retry:
 * after the requests that wait now have been sent, plus a random delay of up to the same length, so that
 * clients rejected together do not all return at the same time.
 * @example
 * const rate = new DrainRate();
 * rate.recordSend(nowMs);
 * rate.retryAfterS(40, 0.5, nowMs); // seconds
 */
export class DrainRate {
  #sendsPerS = 0;
  #updatedMs = 0;

  /** Records that one of the group's requests was sent to a worker. */
  recordSend(nowMs: number): void {
    this.#decay(nowMs);
    this.#sendsPerS += (Math.LN2 / HALF_LIFE_MS) * 1000;
  }

  /** Seconds after which to retry; `jitter` in [0, 1) spreads clients that are rejected at the same time. */
  retryAfterS(waiting: number, jitter: number, nowMs: number): number {
    this.#decay(nowMs);
    const drainS = waiting === 0 ? MIN_RETRY_AFTER_S : waiting / Math.max(this.#sendsPerS, 0.01);
    const spreadS = Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, drainS)) * (1 + jitter);
    return Math.ceil(spreadS);
  }

  #decay(nowMs: number): void {
    this.#sendsPerS *= 0.5 ** ((nowMs - this.#updatedMs) / HALF_LIFE_MS);
    this.#updatedMs = nowMs;
  }
}
