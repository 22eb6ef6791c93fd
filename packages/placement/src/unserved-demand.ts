/** How long models and adapters were requested without being loaded anywhere; used by both systems. */

/** The time span for which an item was requested and not served. */
interface UnservedSpan {
  readonly sinceMs: number;
  lastRequestedMs: number;
}

/** A span ends this long after the last request; the next request starts a new one. */
const UNSERVED_TTL_MS = 30_000;

/**
 * Tracks how long models and adapters have been requested without being loaded anywhere. A span outlives its
 * requests: time for which abandoned requests waited still counts when the next request arrives.
 * @example
 * unserved.recordRequested('assist/model-1', nowMs);
 * unserved.ageMs('assist/model-1', nowMs); // 0, and grows
 */
export class UnservedDemand {
  #spans = new Map<string, UnservedSpan>();

  /** Records that an item is requested and loaded nowhere. */
  recordRequested(key: string, nowMs: number): void {
    const span = this.#spans.get(key);
    if (span === undefined) this.#spans.set(key, { sinceMs: nowMs, lastRequestedMs: nowMs });
    else span.lastRequestedMs = nowMs;
  }

  /** Records that an item is loaded. */
  recordServed(key: string): void {
    this.#spans.delete(key);
  }

  ageMs(key: string, nowMs: number): number {
    const span = this.#spans.get(key);
    return span === undefined ? 0 : nowMs - span.sinceMs;
  }

  /** Drops spans without a recent request. */
  expire(nowMs: number): void {
    for (const [key, { lastRequestedMs }] of this.#spans)
      if (nowMs - lastRequestedMs > UNSERVED_TTL_MS) this.#spans.delete(key);
  }
}
