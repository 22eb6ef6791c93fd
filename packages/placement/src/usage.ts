/** When models and adapters of the platform system were last used. */

interface UsageRecord {
  /** When it was last in use; endless ago if it was only asked for. */
  usedMs: number;
  /** How long its requests can wait without loss; 0 if unknown. */
  meanTargetMs: number;
}

/**
 * When models and adapters were last in use, by `service/model` and `service/model/adapter`, and how patient the
 * requests for a model are. It outlives the demand, and begins anew with each coordinator.
 * @example
 * usage.used('assist/model-1', nowMs);
 * usage.idleMs('assist/model-1', nowMs); // 0
 */
export class Usage {
  #records = new Map<string, UsageRecord>();

  recordUse(key: string, nowMs: number): void {
    this.#record(key).usedMs = nowMs;
  }

  /** Takes the mean patience of the requests for a model, where it is known. */
  recordTarget(key: string, meanTargetMs: number): void {
    if (meanTargetMs > 0) this.#record(key).meanTargetMs = meanTargetMs;
  }

  /** How long it has not been used; endless if it never was. */
  idleMs(key: string, nowMs: number): number {
    return nowMs - (this.#records.get(key)?.usedMs ?? -Infinity);
  }

  /** How long the requests for a model can wait without loss; 0 if none was seen. */
  meanTargetMs(key: string): number {
    return this.#records.get(key)?.meanTargetMs ?? 0;
  }

  #record(key: string): UsageRecord {
    const record = this.#records.get(key) ?? { usedMs: -Infinity, meanTargetMs: 0 };
    this.#records.set(key, record);
    return record;
  }
}
