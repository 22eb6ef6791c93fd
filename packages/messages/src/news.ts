import { create } from '@bufbuild/protobuf';
import { hashText, type Chance } from '@rainrun/common';
import {
  DigestSchema,
  MendSchema,
  NewsItemSchema,
  NewsSchema,
  type Digest,
  type Frame,
  type Mend,
  type News,
  type NewsItem,
} from './gen/rainrun_pb.js';

/** Ranges into which the keys are cut for digests. */
export const RANGES = 32;

const FANOUT = 3;

function newer(one: NewsItem, other: NewsItem): boolean {
  return one.major !== other.major ? one.major > other.major : one.minor > other.minor;
}

/**
 * News: the newest item for each key, passed on to a few members; gaps are
 * found by digests over ranges of keys and mended from the newer copy.
 * @example
 * const board = new NewsBoard(dice, (item) => learn(item));
 * board.tell('leaving/w1', 3, 1, bytes);
 */
export class NewsBoard {
  #chance: Chance;
  #heard: (item: NewsItem) => void;
  #items = new Map<string, NewsItem>();
  #fresh: NewsItem[] = [];

  constructor(chance: Chance, heard: (item: NewsItem) => void) {
    this.#chance = chance;
    this.#heard = heard;
  }

  get(key: string): NewsItem | undefined {
    return this.#items.get(key);
  }

  tell(key: string, major: number, minor: number, value: Uint8Array): void {
    this.#learn(create(NewsItemSchema, { key, major, minor, value }));
  }

  /** Frames to post this heartbeat: fresh items to a few members, and one digest. */
  tick(members: readonly string[]): { to: string; body: Frame['body'] }[] {
    const posts: { to: string; body: Frame['body'] }[] = [];
    if (members.length === 0) return posts;
    if (this.#fresh.length > 0) {
      const value = create(NewsSchema, { items: this.#fresh });
      for (const to of this.#few(members)) posts.push({ to, body: { case: 'news', value } });
      this.#fresh = [];
    }
    const to = members[Math.floor(this.#chance.next() * members.length)];
    if (to !== undefined) posts.push({ to, body: { case: 'digest', value: this.#digest() } });
    return posts;
  }

  takeNews(news: News): void {
    for (const item of news.items) this.#learn(item);
  }

  takeDigest(digest: Digest): Mend | undefined {
    const mine = this.#digest().ranges;
    const ranges: number[] = [];
    for (let range = 0; range < RANGES; range += 1)
      if (mine[range] !== digest.ranges[range]) ranges.push(range);
    if (ranges.length === 0) return undefined;
    return create(MendSchema, { ranges, items: this.#inRanges(ranges) });
  }

  takeMend(mend: Mend): Mend | undefined {
    const mine = this.#inRanges(mend.ranges);
    const theirs = new Map<string, NewsItem>();
    for (const item of mend.items) {
      theirs.set(item.key, item);
      this.#learn(item);
    }
    if (mend.answered) return undefined;
    const better: NewsItem[] = [];
    for (const item of mine) {
      const other = theirs.get(item.key);
      if (other === undefined || newer(item, other)) better.push(item);
    }
    return better.length === 0
      ? undefined
      : create(MendSchema, { ranges: mend.ranges, items: better, answered: true });
  }

  #few(members: readonly string[]): string[] {
    const pool = [...members];
    const few: string[] = [];
    while (few.length < FANOUT && pool.length > 0) {
      few.push(...pool.splice(Math.floor(this.#chance.next() * pool.length), 1));
    }
    return few;
  }

  #learn(item: NewsItem): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && !newer(item, known)) return;
    this.#items.set(item.key, item);
    this.#fresh.push(item);
    this.#heard(item);
  }

  #digest(): Digest {
    const ranges = new Array<number>(RANGES).fill(0);
    for (const item of this.#items.values()) {
      const hash = hashText(item.key);
      const range = hash % RANGES;
      const sum = (ranges[range] ?? 0) + hashText(`${item.major}.${item.minor}`, hash);
      ranges[range] = sum >>> 0;
    }
    return create(DigestSchema, { ranges });
  }

  #inRanges(ranges: readonly number[]): NewsItem[] {
    const wanted = new Set(ranges);
    return [...this.#items.values()].filter((item) => wanted.has(hashText(item.key) % RANGES));
  }
}
