/** How long models and adapters were requested without being loaded anywhere; used by both systems. */

/** Since when something was asked for and not served. */
interface UnservedSpan {
  readonly sinceMs: number;
  lastRequestedMs: number;
}

/** Nobody has asked for it for so long: the next request begins anew. */
const UNSERVED_TTL_MS = 30_000;

/**
 * Remembers since when models and adapters were asked for and could be had
 * nowhere. It outlives the requests that waited: one that was given up still
 * counts when the next one comes.
 * @example
 * unserved.recordRequested('assist/model-1', nowMs);
 * unserved.ageMs('assist/model-1', nowMs); // 0, and grows
 */
export class UnservedDemand {
  #spans = new Map<string, UnservedSpan>();

  /** It is asked for, and can be had nowhere. */
  recordRequested(key: string, nowMs: number): void {
    const span = this.#spans.get(key);
    if (span === undefined) this.#spans.set(key, { sinceMs: nowMs, lastRequestedMs: nowMs });
    else span.lastRequestedMs = nowMs;
  }

  /** It can be had. */
  recordServed(key: string): void {
    this.#spans.delete(key);
  }

  ageMs(key: string, nowMs: number): number {
    const span = this.#spans.get(key);
    return span === undefined ? 0 : nowMs - span.sinceMs;
  }

  /** Forgets what nobody has asked for lately. */
  expire(nowMs: number): void {
    for (const [key, { lastRequestedMs }] of this.#spans)
      if (nowMs - lastRequestedMs > UNSERVED_TTL_MS) this.#spans.delete(key);
  }
}
