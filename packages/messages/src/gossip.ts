/** Gossip: versioned items spread by random forwarding, with anti-entropy repair. */
import { create } from '@bufbuild/protobuf';
import { hashText, type RandomSource } from '@rainrun/common';
import {
  GossipDigestSchema,
  GossipRepairSchema,
  GossipItemSchema,
  GossipUpdateSchema,
  type GossipDigest,
  type Frame,
  type GossipRepair,
  type GossipUpdate,
  type GossipItem,
} from './gen/rainrun_pb.js';

/** Number of ranges into which the keys are partitioned by hash for digests. */
export const KEY_RANGES = 32;

const FANOUT = 3;

function isNewer(one: GossipItem, other: GossipItem): boolean {
  return one.major !== other.major ? one.major > other.major : one.minor > other.minor;
}

/**
 * Replicated table of the newest item for each key. Updates are forwarded to a few random peers
 * at each heartbeat; differences are found by digests over ranges of keys and repaired from the
 * newer replica (anti-entropy).
 * @example
 * const table = new GossipTable(random, (item) => learn(item));
 * table.publish('worker/w1', 3, 1, bytes);
 */
export class GossipTable {
  #random: RandomSource;
  #onItem: (item: GossipItem) => void;
  #items = new Map<string, GossipItem>();
  #unsent: GossipItem[] = [];

  constructor(random: RandomSource, onItem: (item: GossipItem) => void) {
    this.#random = random;
    this.#onItem = onItem;
  }

  get(key: string): GossipItem | undefined {
    return this.#items.get(key);
  }

  publish(key: string, major: number, minor: number, value: Uint8Array): void {
    this.#store(create(GossipItemSchema, { key, major, minor, value }));
  }

  /** Returns the frames to send at this heartbeat: new items to a few members, and a digest to one. */
  tick(members: readonly string[]): { to: string; body: Frame['body'] }[] {
    const frames: { to: string; body: Frame['body'] }[] = [];
    if (members.length === 0) return frames;
    if (this.#unsent.length > 0) {
      const value = create(GossipUpdateSchema, { items: this.#unsent });
      for (const to of this.#randomPeers(members)) frames.push({ to, body: { case: 'gossipUpdate', value } });
      this.#unsent = [];
    }
    const to = members[Math.floor(this.#random.next() * members.length)];
    if (to !== undefined) frames.push({ to, body: { case: 'gossipDigest', value: this.#digest() } });
    return frames;
  }

  onUpdate(update: GossipUpdate): void {
    for (const item of update.items) this.#store(item);
  }

  /** Compares a peer's digest with this table; returns the items of the ranges that differ, if any. */
  onDigest(digest: GossipDigest): GossipRepair | undefined {
    const localRanges = this.#digest().ranges;
    const ranges: number[] = [];
    for (let range = 0; range < KEY_RANGES; range += 1)
      if (localRanges[range] !== digest.ranges[range]) ranges.push(range);
    if (ranges.length === 0) return undefined;
    return create(GossipRepairSchema, { ranges, items: this.#inRanges(ranges) });
  }

  /** Stores a peer's items and, unless they are an answer, returns those for which this table is newer. */
  onRepair(repair: GossipRepair): GossipRepair | undefined {
    const localItems = this.#inRanges(repair.ranges);
    const remoteItems = new Map<string, GossipItem>();
    for (const item of repair.items) {
      remoteItems.set(item.key, item);
      this.#store(item);
    }
    if (repair.answered) return undefined;
    const newerItems: GossipItem[] = [];
    for (const item of localItems) {
      const remote = remoteItems.get(item.key);
      if (remote === undefined || isNewer(item, remote)) newerItems.push(item);
    }
    return newerItems.length === 0
      ? undefined
      : create(GossipRepairSchema, { ranges: repair.ranges, items: newerItems, answered: true });
  }

  #randomPeers(members: readonly string[]): string[] {
    const pool = [...members];
    const peers: string[] = [];
    while (peers.length < FANOUT && pool.length > 0) {
      peers.push(...pool.splice(Math.floor(this.#random.next() * pool.length), 1));
    }
    return peers;
  }

  #store(item: GossipItem): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && !isNewer(item, known)) return;
    this.#items.set(item.key, item);
    this.#unsent.push(item);
    this.#onItem(item);
  }

  #digest(): GossipDigest {
    const ranges = new Array<number>(KEY_RANGES).fill(0);
    for (const item of this.#items.values()) {
      const hash = hashText(item.key);
      const range = hash % KEY_RANGES;
      const sum = (ranges[range] ?? 0) + hashText(`${item.major}.${item.minor}`, hash);
      ranges[range] = sum >>> 0;
    }
    return create(GossipDigestSchema, { ranges });
  }

  #inRanges(ranges: readonly number[]): GossipItem[] {
    const wanted = new Set(ranges);
    return [...this.#items.values()].filter((item) => wanted.has(hashText(item.key) % KEY_RANGES));
  }
}
