/** When rejected clients of the research groups' gateway should retry. */

/** Half-life of the rate. */
const HALF_LIFE_MS = 5000;
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 60;

/**
 * How fast a group's backlog drains at this edge, and from it when a rejected
 * client should retry: once those who wait now are gone, and spread over
 * as long again, so that a crowd does not return as one.
 * @example
 * const rate = new DrainRate();
 * rate.sent(nowMs);
 * rate.retryAfterS(40, 0.5, nowMs); // seconds
 */
export class DrainRate {
  #sendsPerS = 0;
  #updatedMs = 0;

  /** One of the group's requests has left for a worker. */
  recordSend(nowMs: number): void {
    this.#decay(nowMs);
    this.#sendsPerS += (Math.LN2 / HALF_LIFE_MS) * 1000;
  }

  /** `jitter` in [0, 1) spreads those who are told at the same moment. */
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
