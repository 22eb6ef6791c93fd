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

/** Ranges into which the keys are cut for digests. */
export const RANGES = 32;

const FANOUT = 3;

function newer(one: GossipItem, other: GossipItem): boolean {
  return one.major !== other.major ? one.major > other.major : one.minor > other.minor;
}

/**
 * News: the newest item for each key, passed on to a few members; gaps are
 * found by digests over ranges of keys and mended from the newer copy.
 * @example
 * const board = new GossipTable(dice, (item) => learn(item));
 * board.tell('leaving/w1', 3, 1, bytes);
 */
export class GossipTable {
  #chance: RandomSource;
  #heard: (item: GossipItem) => void;
  #items = new Map<string, GossipItem>();
  #fresh: GossipItem[] = [];

  constructor(chance: RandomSource, heard: (item: GossipItem) => void) {
    this.#chance = chance;
    this.#heard = heard;
  }

  get(key: string): GossipItem | undefined {
    return this.#items.get(key);
  }

  publish(key: string, major: number, minor: number, value: Uint8Array): void {
    this.#learn(create(GossipItemSchema, { key, major, minor, value }));
  }

  /** Frames to post this heartbeat: fresh items to a few members, and one digest. */
  tick(members: readonly string[]): { to: string; body: Frame['body'] }[] {
    const posts: { to: string; body: Frame['body'] }[] = [];
    if (members.length === 0) return posts;
    if (this.#fresh.length > 0) {
      const value = create(GossipUpdateSchema, { items: this.#fresh });
      for (const to of this.#few(members)) posts.push({ to, body: { case: 'gossipUpdate', value } });
      this.#fresh = [];
    }
    const to = members[Math.floor(this.#chance.next() * members.length)];
    if (to !== undefined) posts.push({ to, body: { case: 'gossipDigest', value: this.#digest() } });
    return posts;
  }

  onUpdate(news: GossipUpdate): void {
    for (const item of news.items) this.#learn(item);
  }

  onDigest(digest: GossipDigest): GossipRepair | undefined {
    const mine = this.#digest().ranges;
    const ranges: number[] = [];
    for (let range = 0; range < RANGES; range += 1)
      if (mine[range] !== digest.ranges[range]) ranges.push(range);
    if (ranges.length === 0) return undefined;
    return create(GossipRepairSchema, { ranges, items: this.#inRanges(ranges) });
  }

  onRepair(mend: GossipRepair): GossipRepair | undefined {
    const mine = this.#inRanges(mend.ranges);
    const theirs = new Map<string, GossipItem>();
    for (const item of mend.items) {
      theirs.set(item.key, item);
      this.#learn(item);
    }
    if (mend.answered) return undefined;
    const better: GossipItem[] = [];
    for (const item of mine) {
      const other = theirs.get(item.key);
      if (other === undefined || newer(item, other)) better.push(item);
    }
    return better.length === 0
      ? undefined
      : create(GossipRepairSchema, { ranges: mend.ranges, items: better, answered: true });
  }

  #few(members: readonly string[]): string[] {
    const pool = [...members];
    const few: string[] = [];
    while (few.length < FANOUT && pool.length > 0) {
      few.push(...pool.splice(Math.floor(this.#chance.next() * pool.length), 1));
    }
    return few;
  }

  #learn(item: GossipItem): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && !newer(item, known)) return;
    this.#items.set(item.key, item);
    this.#fresh.push(item);
    this.#heard(item);
  }

  #digest(): GossipDigest {
    const ranges = new Array<number>(RANGES).fill(0);
    for (const item of this.#items.values()) {
      const hash = hashText(item.key);
      const range = hash % RANGES;
      const sum = (ranges[range] ?? 0) + hashText(`${item.major}.${item.minor}`, hash);
      ranges[range] = sum >>> 0;
    }
    return create(GossipDigestSchema, { ranges });
  }

  #inRanges(ranges: readonly number[]): GossipItem[] {
    const wanted = new Set(ranges);
    return [...this.#items.values()].filter((item) => wanted.has(hashText(item.key) % RANGES));
  }
}
