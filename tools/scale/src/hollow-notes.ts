/** Statistics of the simulated edges, merged over the processes that run them. */
import { noTraffic, type Propagation, type Traffic } from './hollow.js';

/** Propagation of several items, each with its key. */
export type PropagationByKey<K> = (Propagation & { readonly key: K })[];

/** Statistics of the simulated edges since the last reset. */
export interface EdgeStatsReport {
  readonly leader: Traffic;
  readonly other: Traffic;
  readonly revisions: PropagationByKey<number>;
  readonly tables: PropagationByKey<string>;
  readonly leaders: PropagationByKey<string>;
  readonly edgeCounts: PropagationByKey<number>;
  readonly removedRows: PropagationByKey<number>;
  readonly joinTimesMs: number[];
  readonly placementTimesMs: number[];
  readonly followers: number;
  readonly ready: number;
  readonly informed: number;
  readonly minRevision: number;
  readonly newestRow: number;
  readonly oldestRow: number;
  readonly tableIds: string[];
  readonly pendingDemands: number;
}

/**
 * Merges the statistics of two processes into one report.
 * @example
 * all.reduce(mergeStats).followers; // sum over all processes
 */
export function mergeStats(one: EdgeStatsReport, other: EdgeStatsReport): EdgeStatsReport {
  return {
    leader: addTraffic(one.leader, other.leader),
    other: addTraffic(one.other, other.other),
    revisions: mergePropagation(one.revisions, other.revisions),
    tables: mergePropagation(one.tables, other.tables),
    leaders: mergePropagation(one.leaders, other.leaders),
    edgeCounts: mergePropagation(one.edgeCounts, other.edgeCounts),
    removedRows: mergePropagation(one.removedRows, other.removedRows),
    joinTimesMs: [...one.joinTimesMs, ...other.joinTimesMs],
    placementTimesMs: [...one.placementTimesMs, ...other.placementTimesMs],
    followers: one.followers + other.followers,
    ready: one.ready + other.ready,
    informed: one.informed + other.informed,
    minRevision: Math.min(one.minRevision, other.minRevision),
    newestRow: Math.max(one.newestRow, other.newestRow),
    oldestRow: Math.min(one.oldestRow, other.oldestRow),
    tableIds: [...new Set([...one.tableIds, ...other.tableIds])],
    pendingDemands: one.pendingDemands + other.pendingDemands,
  };
}

function addTraffic(one: Traffic, other: Traffic): Traffic {
  const sum = noTraffic();
  for (const key of Object.keys(sum) as (keyof Traffic)[]) sum[key] = one[key] + other[key];
  return sum;
}

function mergePropagation<K>(one: PropagationByKey<K>, other: PropagationByKey<K>): PropagationByKey<K> {
  const merged = new Map(one.map((entry) => [entry.key, entry]));
  for (const entry of other) {
    const known = merged.get(entry.key);
    if (known === undefined) merged.set(entry.key, entry);
    else
      merged.set(entry.key, {
        key: entry.key,
        count: known.count + entry.count,
        firstMs: Math.min(known.firstMs, entry.firstMs),
        lastMs: Math.max(known.lastMs, entry.lastMs),
      });
  }
  return [...merged.values()];
}
