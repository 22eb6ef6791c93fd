/** Requests of one tenant at an edge that wait for permits, and surplus permits not yet used by a request. */
import type { PermitAnswer } from './permits.js';

/** Maximum number of surplus permits kept for a tenant; further ones are discarded. */
const MAX_SURPLUS_PERMITS = 256;

/** A request that waits for a permit. */
interface Waiter {
  readonly done: (answer: PermitAnswer) => void;
}

/**
 * Holds waiting requests in order of arrival, surplus permits until they expire, and the last refusal.
 * @example
 * const requests = new TenantRequests('tenant-1');
 * const cancel = requests.wait(done);
 * requests.grant(1, endMs); // calls done
 */
export class TenantRequests {
  readonly tenant: string;
  /** Earliest time at which the core may be asked again after it answered that it cannot allocate. */
  retryAtMs = -Infinity;
  #waiters = new Set<Waiter>();
  /** Expiry times of the surplus permits. */
  #surplusExpiriesMs: number[] = [];
  #refusedUntilMs = -Infinity;

  constructor(tenant: string) {
    this.tenant = tenant;
  }

  get waiting(): number {
    return this.#waiters.size;
  }

  get surplusPermits(): number {
    return this.#surplusExpiriesMs.length;
  }

  /** Returns how long requests are still refused without asking the core; 0 or less if they are not. */
  refusedForMs(nowMs: number): number {
    return this.#refusedUntilMs - nowMs;
  }

  /**
   * Whether this record can be deleted: no request waits, and there is no surplus permit and no refusal in
   * force.
   */
  isIdle(nowMs: number): boolean {
    this.#dropExpired(nowMs);
    return this.#waiters.size === 0 && this.#surplusExpiriesMs.length === 0 && this.refusedForMs(nowMs) <= 0;
  }

  /** Removes a surplus permit and returns its expiry time; undefined if none is left. */
  takeSurplusPermit(nowMs: number): number | undefined {
    this.#dropExpired(nowMs);
    return this.#surplusExpiriesMs.shift();
  }

  /** Adds a waiting request; the returned function removes it. */
  wait(done: (answer: PermitAnswer) => void): () => void {
    const waiter: Waiter = { done };
    this.#waiters.add(waiter);
    return () => void this.#waiters.delete(waiter);
  }

  /** Gives permits to the oldest requests and keeps surplus permits until they expire. */
  grant(permits: number, endMs: number): void {
    for (let left = permits; left > 0; left -= 1) {
      const waiter = this.#shiftWaiter();
      if (waiter !== undefined) waiter.done({ kind: 'granted', permit: { endMs } });
      else if (this.#surplusExpiriesMs.length < MAX_SURPLUS_PERMITS) this.#surplusExpiriesMs.push(endMs);
    }
  }

  /** Refuses the oldest waiting requests, and makes `refusedForMs` report a refusal until `untilMs`. */
  refuse(requests: number, retryAfterMs: number, untilMs: number): void {
    this.#refusedUntilMs = Math.max(this.#refusedUntilMs, untilMs);
    for (let left = Math.min(requests, this.#waiters.size); left > 0; left -= 1)
      this.#shiftWaiter()?.done({ kind: 'over-quota', retryAfterMs });
  }

  #shiftWaiter(): Waiter | undefined {
    for (const waiter of this.#waiters) {
      this.#waiters.delete(waiter);
      return waiter;
    }
    return undefined;
  }

  #dropExpired(nowMs: number): void {
    if (this.#surplusExpiriesMs.some((endMs) => endMs <= nowMs))
      this.#surplusExpiriesMs = this.#surplusExpiriesMs.filter((endMs) => endMs > nowMs);
  }
}
