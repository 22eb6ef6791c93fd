/** When models and adapters of the platform system were last used. */

interface UsageRecord {
  /** When the item was last in use; -Infinity if it never was. */
  usedMs: number;
  /** Mean target latency of the model's requests; 0 if unknown. */
  meanTargetMs: number;
}

/**
 * When models and adapters were last in use, by `service/model` and `service/model/adapter`, and the mean
 * target latency of the requests for each model. It outlives the demand, and starts empty on each new
 * coordinator.
 * @example
 * usage.recordUse('assist/model-1', nowMs);
 * usage.idleMs('assist/model-1', nowMs); // 0
 */
export class Usage {
  #records = new Map<string, UsageRecord>();

  recordUse(key: string, nowMs: number): void {
    this.#record(key).usedMs = nowMs;
  }

  /** Records the mean target latency of the requests for a model, if it is known. */
  recordTarget(key: string, meanTargetMs: number): void {
    if (meanTargetMs > 0) this.#record(key).meanTargetMs = meanTargetMs;
  }

  /** Time since the last use; infinite if there was none. */
  idleMs(key: string, nowMs: number): number {
    return nowMs - (this.#records.get(key)?.usedMs ?? -Infinity);
  }

  /** Mean target latency of the requests for a model, in milliseconds; 0 if unknown. */
  meanTargetMs(key: string): number {
    return this.#records.get(key)?.meanTargetMs ?? 0;
  }

  #record(key: string): UsageRecord {
    const record = this.#records.get(key) ?? { usedMs: -Infinity, meanTargetMs: 0 };
    this.#records.set(key, record);
    return record;
  }
}
