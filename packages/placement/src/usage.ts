/**
 * When models and adapters were last in use, by `service/model` and `service/model/adapter`.
 * @example
 * usage.used('assist/model-1', nowMs);
 * usage.idleMs('assist/model-1', nowMs); // 0
 */
export class Usage {
  #usedMs = new Map<string, number>();

  used(key: string, nowMs: number): void {
    this.#usedMs.set(key, nowMs);
  }

  /** How long it has not been used; endless if it never was. */
  idleMs(key: string, nowMs: number): number {
    return nowMs - (this.#usedMs.get(key) ?? -Infinity);
  }
}
