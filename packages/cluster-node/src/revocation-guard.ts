/**
 * Decides whether an edge may still serve requests by the API keys that it holds, if revocations are strict.
 * Platform family.
 *
 * An edge that is partitioned from the cores may hold keys that have since been revoked. It knows every
 * change that was acknowledged before it was last confirmed to be current by a core with a lease. A key
 * revoked later cannot have been acknowledged before that moment, so if the edge stops serving `withinMs`
 * after it, no revoked key is served for longer than `withinMs` after the acknowledgement.
 */
import { fault, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

/** How an edge that is partitioned from the cores treats the API keys that it holds. */
export interface RevocationGuardSettings {
  /**
   * Whether the edge stops serving by keys that may have been revoked; if false, it keeps using the keys it
   * holds.
   */
  readonly strict: boolean;
  /** A key may be served for at most this long after its revocation was acknowledged. */
  readonly withinMs: number;
}

const KEYS_NOT_CURRENT = 'the API keys on this edge are not confirmed to be current; ask another node';
const KEYS_NOT_CONFIRMED =
  'no core with a lease has confirmed the API keys on this edge yet; ask another node';

/**
 * Admits or rejects requests that need an API key. Times are of the edge's monotonic clock.
 * @example
 * const guard = new RevocationGuard({ strict: true, withinMs: 2500 });
 * guard.onCurrent(askedMs); // a core with a lease answered a message sent at that time
 * guard.admit(nowMs).isOk;
 */
export class RevocationGuard {
  #settings: RevocationGuardSettings;
  #currentAsOfMs: number | undefined;

  constructor(settings: RevocationGuardSettings) {
    this.#settings = settings;
  }

  /**
   * Records that a core with a lease confirmed that the edge holds all changes acknowledged up to `asOfMs`.
   * That is at the latest the time at which the edge sent the message that the core answers, not the time at
   * which the answer arrived, since the answer may have been in flight for long.
   */
  onCurrent(asOfMs: number): void {
    this.#currentAsOfMs = Math.max(asOfMs, this.#currentAsOfMs ?? -Infinity);
  }

  /**
   * Whether a request that needs an API key may be served now; if not, the fault to reject it with, which
   * tells the client that nothing has run.
   */
  admit(nowMs: number): Result<Unit, Fault> {
    if (!this.#settings.strict) return Result.ok();
    if (this.#currentAsOfMs === undefined) return Result.err(fault('not-admitting', KEYS_NOT_CONFIRMED));
    return nowMs - this.#currentAsOfMs < this.#settings.withinMs
      ? Result.ok()
      : Result.err(fault('not-admitting', KEYS_NOT_CURRENT));
  }
}
