/** Since when something was asked for and not served. */
interface Spell {
  readonly sinceMs: number;
  askedMs: number;
}

/** Nobody has asked for it for so long: the next request begins anew. */
const FORGET_MS = 30_000;

/**
 * Remembers since when models and adapters were asked for and could be had
 * nowhere. It outlives the requests that waited: one that was given up still
 * counts when the next one comes.
 * @example
 * unserved.asked('assist/model-1', nowMs);
 * unserved.ageMs('assist/model-1', nowMs); // 0, and grows
 */
export class Unserved {
  #spells = new Map<string, Spell>();

  /** It is asked for, and can be had nowhere. */
  asked(key: string, nowMs: number): void {
    const spell = this.#spells.get(key);
    if (spell === undefined) this.#spells.set(key, { sinceMs: nowMs, askedMs: nowMs });
    else spell.askedMs = nowMs;
  }

  /** It can be had. */
  served(key: string): void {
    this.#spells.delete(key);
  }

  ageMs(key: string, nowMs: number): number {
    const spell = this.#spells.get(key);
    return spell === undefined ? 0 : nowMs - spell.sinceMs;
  }

  /** Forgets what nobody has asked for lately. */
  expire(nowMs: number): void {
    for (const [key, { askedMs }] of this.#spells) if (nowMs - askedMs > FORGET_MS) this.#spells.delete(key);
  }
}
