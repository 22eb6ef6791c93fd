/** What the hollow edges of a run noted, and the notes of several processes taken together. */
import { noTraffic, type Held, type Traffic } from './hollow.js';

/** How many followers hold each of several things. */
export type HeldByKey<K> = (Held & { readonly key: K })[];

/** What the hollow edges noted since the last mark. */
export interface HollowNotes {
  readonly leader: Traffic;
  readonly other: Traffic;
  readonly revisions: HeldByKey<number>;
  readonly tables: HeldByKey<string>;
  readonly leaders: HeldByKey<string>;
  readonly edges: HeldByKey<number>;
  readonly gone: HeldByKey<number>;
  readonly joinsMs: number[];
  readonly placedMs: number[];
  readonly followers: number;
  readonly ready: number;
  readonly informed: number;
  readonly least: number;
  readonly newestRow: number;
  readonly oldestRow: number;
  readonly tablesHeld: string[];
  readonly asking: number;
}

/**
 * The notes of two processes as if one had made them.
 * @example
 * all.reduce(mergeNotes).followers; // of all processes
 */
export function mergeNotes(one: HollowNotes, other: HollowNotes): HollowNotes {
  return {
    leader: addTraffic(one.leader, other.leader),
    other: addTraffic(one.other, other.other),
    revisions: mergeHeld(one.revisions, other.revisions),
    tables: mergeHeld(one.tables, other.tables),
    leaders: mergeHeld(one.leaders, other.leaders),
    edges: mergeHeld(one.edges, other.edges),
    gone: mergeHeld(one.gone, other.gone),
    joinsMs: [...one.joinsMs, ...other.joinsMs],
    placedMs: [...one.placedMs, ...other.placedMs],
    followers: one.followers + other.followers,
    ready: one.ready + other.ready,
    informed: one.informed + other.informed,
    least: Math.min(one.least, other.least),
    newestRow: Math.max(one.newestRow, other.newestRow),
    oldestRow: Math.min(one.oldestRow, other.oldestRow),
    tablesHeld: [...new Set([...one.tablesHeld, ...other.tablesHeld])],
    asking: one.asking + other.asking,
  };
}

function addTraffic(one: Traffic, other: Traffic): Traffic {
  const sum = noTraffic();
  for (const key of Object.keys(sum) as (keyof Traffic)[]) sum[key] = one[key] + other[key];
  return sum;
}

function mergeHeld<K>(one: HeldByKey<K>, other: HeldByKey<K>): HeldByKey<K> {
  const held = new Map(one.map((entry) => [entry.key, entry]));
  for (const entry of other) {
    const known = held.get(entry.key);
    if (known === undefined) held.set(entry.key, entry);
    else
      held.set(entry.key, {
        key: entry.key,
        count: known.count + entry.count,
        firstMs: Math.min(known.firstMs, entry.firstMs),
        lastMs: Math.max(known.lastMs, entry.lastMs),
      });
  }
  return [...held.values()];
}
