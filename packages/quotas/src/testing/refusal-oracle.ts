/** Refusal oracle: counts refusals of requests that one token bucket shared by all edges would admit. */
import type { TenantLimit } from '../permits.js';
import { TokenBucket } from '../token-bucket.js';

/** A request, recorded from the time at which it needs a permit. */
export interface RequestRecord {
  readonly tenant: string;
  readonly edge: string;
  readonly requestedMs: number;
  /** Whether a single token bucket shared by all edges would admit the request. */
  readonly isWithinLimit: boolean;
  answeredMs?: number;
  outcome?: 'sent' | 'refused' | 'given-up';
}

/** A period during which a fault or a limit change was in effect. */
export interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Name of the only edge or tenant affected; empty if all are affected. */
  readonly scope: string;
  /** Whether all cores or all workers were unavailable, which affects more than an allocator move does. */
  readonly isOutage: boolean;
}

/** A change of a tenant's allocator. */
export interface AllocatorMove {
  readonly tenant: string;
  readonly atMs: number;
}

/** Outcomes of the requests within the limit in one phase. */
export interface RefusalCount {
  withinLimit: number;
  refused: number;
  /** Requests that waited longer than `SLOW_MS` for an answer, or got none and were not cancelled. */
  slow: number;
}

/** Counts by phase. */
export interface RefusalCounts {
  /** Periods with no disturbance in effect, and none that ended less than `RECOVERY_MS` ago. */
  readonly steady: RefusalCount;
  /** Periods around a move of the tenant's allocator. */
  readonly moved: RefusalCount;
  /**
   * Other periods: limit changes, edge faults, all cores or workers unavailable, cuts that moved no
   * allocator.
   */
  readonly other: RefusalCount;
}

/** Waiting time above which an answer counts as slow. */
export const SLOW_MS = 500;

/** Time after the end of a disturbance during which its effects are still expected. */
const RECOVERY_MS = 5000;

/**
 * Extent of a move's phase before and after the new view is chosen. Before it, the group waits for the
 * suspicion timeout. After it, the takeover waits, settles without refusals, and then serves the requests
 * that have accumulated.
 */
const BEFORE_MOVE_MS = 1500;
const AFTER_MOVE_MS = 4000;

/**
 * Compares requests with a reference bucket as they arrive, and counts their outcomes by phase afterwards.
 */
export class RefusalOracle {
  readonly records: RequestRecord[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly moves: AllocatorMove[] = [];
  #referenceBuckets = new Map<string, TokenBucket>();

  onLimit(limit: TenantLimit, nowMs: number): void {
    const config = { depth: limit.burst, tokensPerMs: limit.ratePerS / 1000 };
    const known = this.#referenceBuckets.get(limit.name);
    if (known !== undefined) {
      known.reconfigure(config, nowMs);
      return;
    }
    const bucket = new TokenBucket(config, config.depth);
    bucket.startRefill(nowMs);
    this.#referenceBuckets.set(limit.name, bucket);
  }

  /** Records a request that needs a permit now. */
  onRequest(tenant: string, edge: string, nowMs: number): RequestRecord {
    const isWithinLimit = this.#referenceBuckets.get(tenant)?.take(1, nowMs) === 1;
    const record: RequestRecord = { tenant, edge, requestedMs: nowMs, isWithinLimit };
    this.records.push(record);
    return record;
  }

  /** Counts the outcomes of the requests of these tenants. */
  count(tenants: ReadonlySet<string>): RefusalCounts {
    const counts: RefusalCounts = { steady: emptyCount(), moved: emptyCount(), other: emptyCount() };
    for (const record of this.records) {
      if (!record.isWithinLimit || !tenants.has(record.tenant)) continue;
      const count = counts[this.#phaseOf(record)];
      const waitedMs = (record.answeredMs ?? Infinity) - record.requestedMs;
      count.withinLimit += 1;
      if (record.outcome === 'refused') count.refused += 1;
      if (waitedMs > SLOW_MS && record.outcome !== 'given-up') count.slow += 1;
    }
    return counts;
  }

  #phaseOf({ requestedMs, edge, tenant }: RequestRecord): keyof RefusalCounts {
    const nearby = this.disturbances.filter(
      ({ fromMs, scope, untilMs }) =>
        requestedMs >= fromMs - SLOW_MS &&
        requestedMs <= untilMs + RECOVERY_MS &&
        (scope === '' || scope === edge || scope === tenant),
    );
    if (nearby.some(({ isOutage, scope }) => isOutage || scope !== '')) return 'other';
    const isMoved = this.moves.some(
      (move) =>
        move.tenant === tenant &&
        requestedMs >= move.atMs - BEFORE_MOVE_MS &&
        requestedMs <= move.atMs + AFTER_MOVE_MS,
    );
    if (isMoved) return 'moved';
    return nearby.length === 0 ? 'steady' : 'other';
  }
}

function emptyCount(): RefusalCount {
  return { withinLimit: 0, refused: 0, slow: 0 };
}
