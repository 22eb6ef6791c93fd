import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PermitAnswer, PermitSource } from './permits.js';
import { ShardedPermits } from './sharded-permits.js';
import { shardCount, shardLimits, shardName, tenantOfShard } from './shards.js';

const GRANTED: PermitAnswer = { kind: 'granted', permit: { endMs: 9000 } };
const REFUSED: PermitAnswer = { kind: 'over-quota', retryAfterMs: 70 };
const BOUNDS = { windowMs: 5000, overshoot: 0.1, slack: 20 };

/** Sharded permits over a source whose answers the test sends itself. */
class ShardHarness {
  nowMs = 1000;
  readonly asked: string[] = [];
  readonly cancelled: string[] = [];
  readonly answers: PermitAnswer[] = [];
  #open = new Map<string, (answer: PermitAnswer) => void>();
  readonly #source: PermitSource = {
    acquire: (name, done) => {
      this.asked.push(name);
      this.#open.set(name, done);
      return () => void this.cancelled.push(name);
    },
  };
  readonly permits = new ShardedPermits({
    clock: { nowMs: () => this.nowMs },
    chance: { next: () => 0 },
    source: this.#source,
    shardCountOf: () => 3,
  });

  ask(): () => void {
    return this.permits.acquire('t', (answer) => void this.answers.push(answer));
  }

  answer(name: string, answer: PermitAnswer): void {
    const done = this.#open.get(name);
    this.#open.delete(name);
    done?.(answer);
  }

  advance(ms: number): void {
    this.nowMs += ms;
    this.permits.tick(this.nowMs);
  }
}

describe('a request for a permit from a sharded quota', () => {
  it('is granted by the first shard alone if that shard answers', () => {
    const harness = new ShardHarness();
    harness.ask();
    harness.answer('t/0', GRANTED);
    harness.advance(500);
    expect([harness.asked, harness.answers]).toEqual([['t/0'], [GRANTED]]);
  });

  it('tries the next shard after a refusal, and is over the quota once all shards have refused', () => {
    const harness = new ShardHarness();
    harness.ask();
    harness.answer('t/0', REFUSED);
    harness.answer('t/1', REFUSED);
    const before = [...harness.answers];
    harness.answer('t/2', REFUSED);
    expect([harness.asked, before, harness.answers]).toEqual([['t/0', 't/1', 't/2'], [], [REFUSED]]);
  });

  it('does not wait for a shard whose core is unresponsive, and the next request tries that shard last', () => {
    const harness = new ShardHarness();
    harness.ask();
    harness.advance(50);
    harness.answer('t/1', GRANTED);
    harness.ask();
    expect([harness.asked, harness.cancelled, harness.answers]).toEqual([
      ['t/0', 't/1', 't/1'],
      ['t/0'],
      [GRANTED],
    ]);
  });

  it('is not over the quota while a shard has not answered; the shards that refused are tried again', () => {
    const harness = new ShardHarness();
    harness.ask();
    harness.advance(50);
    harness.answer('t/1', REFUSED);
    harness.answer('t/2', REFUSED);
    const before = [...harness.answers];
    harness.advance(80);
    harness.answer('t/1', GRANTED);
    expect([harness.asked, before, harness.answers]).toEqual([
      ['t/0', 't/1', 't/2', 't/1', 't/2'],
      [],
      [GRANTED],
    ]);
  });

  it('tries no further shard once it has been cancelled', () => {
    const harness = new ShardHarness();
    harness.ask()();
    harness.advance(500);
    harness.answer('t/0', GRANTED);
    expect([harness.asked, harness.cancelled, harness.answers]).toEqual([['t/0'], ['t/0'], []]);
  });
});

describe('the shards of a limit', () => {
  it('add up to the limit and its slack', () => {
    for (const burst of [0, 1, 4, 6, 95]) {
      const shards = shardLimits({ name: 'a/b', ratePerS: 30, burst }, BOUNDS);
      function total(of: (shard: (typeof shards)[number]) => number): number {
        return Math.round(shards.reduce((sum, shard) => sum + of(shard), 0) * 1e6) / 1e6;
      }
      expect(shards.length).toEqual(shardCount({ burst }));
      expect([total((shard) => shard.ratePerS), total((shard) => shard.burst)]).toEqual([30, burst]);
      expect(total((shard) => shard.slack ?? NaN)).toEqual(BOUNDS.slack);
    }
  });

  it('contain the name of their tenant, even if it contains slashes', () => {
    for (const tenant of ['a', 'a/0', '/']) expect(tenantOfShard(shardName(tenant, 2))).toEqual(tenant);
  });
});
