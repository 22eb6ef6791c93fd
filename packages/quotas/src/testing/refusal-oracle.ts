/** Oracle B: what a token bucket over all edges would let pass is not refused. */
import type { TenantLimit } from '../permits.js';
import { TokenBucket } from '../token-bucket.js';

/** One request, from the moment at which it needs a permit. */
export interface RequestRecord {
  readonly tenant: string;
  readonly edge: string;
  readonly requestedMs: number;
  /** Whether a single token bucket at all edges' place would let it pass. */
  readonly isWithinLimit: boolean;
  answeredMs?: number;
  outcome?: 'sent' | 'refused' | 'given-up';
}

/** A time in which something was not as usual. */
export interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Name of the edge or tenant that alone is concerned; empty: all are. */
  readonly scope: string;
  /** More is at stake than a move: all cores or all workers were away. */
  readonly isOutage: boolean;
}

/** A tenant got another allocator. */
export interface AllocatorMove {
  readonly tenant: string;
  readonly atMs: number;
}

/** What became of the requests below the limit in one phase. */
export interface RefusalCount {
  withinLimit: number;
  refused: number;
  /** Asked for a permit longer than `SLOW_MS`, or never got one. */
  slow: number;
}

/** Counts by phase. */
export interface RefusalCounts {
  /** Nothing has been the matter for some seconds. */
  readonly steady: RefusalCount;
  /** Around a move of the tenant's allocator. */
  readonly moved: RefusalCount;
  /** The rest: changed limits, edges with faults, all cores or workers away, cuts that moved nothing. */
  readonly other: RefusalCount;
}

/** A permit that took longer counts as slow. */
export const SLOW_MS = 500;

/** A disturbance is over after so long. */
const RECOVERY_MS = 5000;

/**
 * Before a move its cause was waited for; after it the takeover waits, calls nothing over the quota for a while, and
 * then has to do with what piled up.
 */
const BEFORE_MOVE_MS = 1500;
const AFTER_MOVE_MS = 4000;

/** Judges requests against a reference bucket, and counts them by phase afterwards. */
export class RefusalOracle {
  readonly records: RequestRecord[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly moves: AllocatorMove[] = [];
  #references = new Map<string, TokenBucket>();

  onLimit(limit: TenantLimit, nowMs: number): void {
    const config = { depth: limit.burst, tokensPerMs: limit.ratePerS / 1000 };
    const known = this.#references.get(limit.name);
    if (known !== undefined) {
      known.reconfigure(config, nowMs);
      return;
    }
    const bucket = new TokenBucket(config, config.depth);
    bucket.startRefill(nowMs);
    this.#references.set(limit.name, bucket);
  }

  /** A request needs a permit now. */
  onRequest(tenant: string, edge: string, nowMs: number): RequestRecord {
    const isWithinLimit = this.#references.get(tenant)?.take(1, nowMs) === 1;
    const record: RequestRecord = { tenant, edge, requestedMs: nowMs, isWithinLimit };
    this.records.push(record);
    return record;
  }

  /** Counts the requests of these tenants. */
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
