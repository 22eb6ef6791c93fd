/**
 * Whether an edge may still serve by the keys of tenants that it holds, where revocations are strict. Platform family.
 *
 * An edge that is cut off from the cores holds keys which may have been taken away since. It heard of everything that
 * was acknowledged before the last moment at which a core with a lease answered it: a key taken away after that is
 * served no longer than `withinMs` if the edge stops so long after that moment, since the change cannot have been
 * acknowledged before it.
 */
import { fault, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

/** How strictly revocations bind an edge that is cut off. */
export interface RevocationGuardSettings {
  /** False: it goes on with the keys that it holds. */
  readonly strict: boolean;
  /** So long after a change was acknowledged no key that it took away may be served. */
  readonly withinMs: number;
}

const KEYS_NOT_CURRENT = 'the keys of tenants are not known to be current here; ask another node';
const KEYS_NOT_CONFIRMED = 'no core that knows the keys of tenants has answered yet; ask another node';

/**
 * Guards requests that need a key. Times are of the edge's monotonic clock.
 * @example
 * const guard = new RevocationGuard({ strict: true, withinMs: 2500 });
 * guard.onCurrent(askedMs); // a core with a lease answered what was asked then
 * guard.admit(nowMs).isOk;
 */
export class RevocationGuard {
  #settings: RevocationGuardSettings;
  #currentAsOfMs: number | undefined;

  constructor(settings: RevocationGuardSettings) {
    this.#settings = settings;
  }

  /**
   * A core with a lease confirmed that the edge holds all that was acknowledged up to `asOfMs`: at the latest when
   * the edge sent the question that the core answers, not when the answer came, for it may have been on its way.
   */
  onCurrent(asOfMs: number): void {
    this.#currentAsOfMs = Math.max(asOfMs, this.#currentAsOfMs ?? -Infinity);
  }

  /** Whether a request that needs a key may be served now, or the fault to refuse it with: none of it has run. */
  admit(nowMs: number): Result<Unit, Fault> {
    if (!this.#settings.strict) return Result.ok();
    if (this.#currentAsOfMs === undefined) return Result.err(fault('not-admitting', KEYS_NOT_CONFIRMED));
    return nowMs - this.#currentAsOfMs < this.#settings.withinMs
      ? Result.ok()
      : Result.err(fault('not-admitting', KEYS_NOT_CURRENT));
  }
}
