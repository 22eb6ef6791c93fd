/** The requests of one tenant at an edge that wait for permits, and the permits that wait for requests. */
import type { PermitAnswer } from './permits.js';

/** Surplus permits of a tenant kept at most; more are let go. */
const MAX_SURPLUS_PERMITS = 256;

/** A request that waits for a permit. */
interface Waiter {
  readonly done: (answer: PermitAnswer) => void;
}

/**
 * Waiting requests in the order of their arrival, surplus permits until their end, and the last refusal.
 * @example
 * const requests = new TenantRequests('tenant-1');
 * const cancel = requests.wait(done);
 * requests.grant(1, endMs); // calls done
 */
export class TenantRequests {
  readonly tenant: string;
  /** The core asks to be asked again, not before this moment. */
  retryAtMs = -Infinity;
  #waiters = new Set<Waiter>();
  /** Ends of surplus permits. */
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

  /** For how long requests are refused without asking; 0 or less: they are not. */
  refusedForMs(nowMs: number): number {
    return this.#refusedUntilMs - nowMs;
  }

  /** Whether nothing here need be remembered. */
  isIdle(nowMs: number): boolean {
    this.#dropExpired(nowMs);
    return this.#waiters.size === 0 && this.#surplusExpiriesMs.length === 0 && this.refusedForMs(nowMs) <= 0;
  }

  /** The end of a surplus permit, which is then used up; undefined where none is left. */
  takeSurplusPermit(nowMs: number): number | undefined {
    this.#dropExpired(nowMs);
    return this.#surplusExpiriesMs.shift();
  }

  /** Lets a request wait; the returned function withdraws it. */
  wait(done: (answer: PermitAnswer) => void): () => void {
    const waiter: Waiter = { done };
    this.#waiters.add(waiter);
    return () => void this.#waiters.delete(waiter);
  }

  /** Gives permits to the oldest requests and keeps the rest until their end. */
  grant(permits: number, endMs: number): void {
    for (let left = permits; left > 0; left -= 1) {
      const waiter = this.#shiftWaiter();
      if (waiter !== undefined) waiter.done({ kind: 'granted', permit: { endMs } });
      else if (this.#surplusExpiriesMs.length < MAX_SURPLUS_PERMITS) this.#surplusExpiriesMs.push(endMs);
    }
  }

  /** Refuses the oldest requests, and for a while those that come. */
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
