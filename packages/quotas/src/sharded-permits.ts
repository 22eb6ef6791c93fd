/** Permits of tenants whose quotas are divided into shards: one shard is asked, then the others. */
import type { Clock, RandomSource } from '@rainrun/common';
import type { PermitAnswer, PermitSource } from './permits.js';
import { shardName } from './shards.js';

/** A shard that has not answered for so long is not waited for alone: the next one is asked too. */
const HEDGE_AFTER_MS = 40;

/** A shard that did not answer in time is asked last for so long. */
const SILENT_MS = 300;

/** What sharded permits are made with. */
export interface ShardedPermitsOptions {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** Grants permits of one shard, under its name. */
  readonly source: PermitSource;
  /** Into how many shards the quota of a tenant is divided. */
  shardCountOf(tenant: string): number;
}

/**
 * Asks the shards of a tenant's quota for one permit: a random one first, the next where that refuses or does not
 * answer. A request is over the quota only once every shard has refused it; while one does not answer, those that
 * refused are asked again.
 * @example
 * const permits = new ShardedPermits({ clock, chance, source: client, shardCountOf });
 * const cancel = permits.acquire('tenant-1', (answer) => proceed(answer));
 * permits.tick(clock.nowMs()); // every 50 ms or more often
 */
export class ShardedPermits implements PermitSource {
  #options: ShardedPermitsOptions;
  #waiting = new Set<ShardedRequest>();
  /** Until when shards that did not answer are asked last, by name. */
  #silentUntilMs = new Map<string, number>();

  constructor(options: ShardedPermitsOptions) {
    this.#options = options;
  }

  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void {
    const { source, clock } = this.#options;
    const names = this.#order(tenant);
    const request = new ShardedRequest({
      names,
      source,
      nowMs: () => clock.nowMs(),
      onSilent: (name) => void this.#silentUntilMs.set(name, clock.nowMs() + SILENT_MS),
      done: (answer) => {
        this.#waiting.delete(request);
        done(answer);
      },
    });
    this.#waiting.add(request);
    request.start();
    return () => {
      this.#waiting.delete(request);
      request.cancel();
    };
  }

  /** Asks further shards where the first ones do not answer. */
  tick(nowMs: number): void {
    for (const request of this.#waiting) request.tick(nowMs);
    for (const [name, untilMs] of this.#silentUntilMs) if (untilMs <= nowMs) this.#silentUntilMs.delete(name);
  }

  /** The shards in the order in which a request asks them: from a random one on, silent ones last. */
  #order(tenant: string): string[] {
    const count = this.#options.shardCountOf(tenant);
    if (count === 1) return [shardName(tenant, 0)];
    const first = Math.floor(this.#options.chance.next() * count);
    const names = Array.from({ length: count }, (_, place) => shardName(tenant, (first + place) % count));
    if (this.#silentUntilMs.size === 0) return names;
    const isSilent = (name: string): boolean => this.#silentUntilMs.has(name);
    return [...names.filter((name) => !isSilent(name)), ...names.filter(isSilent)];
  }
}

/** What one request is made of. */
interface ShardedRequestInit {
  readonly names: readonly string[];
  readonly source: PermitSource;
  nowMs(): number;
  onSilent(name: string): void;
  done(answer: PermitAnswer): void;
}

/** One shard as one request asks it. */
interface AskedShard {
  readonly name: string;
  readonly askedMs: number;
  /** Withdraws the question; undefined once it was answered. */
  cancel: (() => void) | undefined;
  /** Not asked again before this, where it refused. */
  askAgainMs: number;
}

/** One request for a permit at the shards of its tenant. */
class ShardedRequest {
  #init: ShardedRequestInit;
  #asked: AskedShard[] = [];
  #isSettled = false;

  constructor(init: ShardedRequestInit) {
    this.#init = init;
  }

  start(): void {
    this.#askNext();
  }

  cancel(): void {
    this.#isSettled = true;
    for (const shard of this.#asked) shard.cancel?.();
  }

  tick(nowMs: number): void {
    if (this.#isSettled) return;
    const last = this.#asked.at(-1);
    if (last?.cancel !== undefined && nowMs - last.askedMs >= HEDGE_AFTER_MS) {
      this.#init.onSilent(last.name);
      this.#askNext();
    }
    for (const shard of this.#asked.filter(
      ({ cancel, askAgainMs }) => cancel === undefined && nowMs >= askAgainMs,
    ))
      this.#askAgain(shard);
  }

  /** An earlier one of the questions may have been answered with a permit meanwhile. */
  #askAgain(shard: AskedShard): void {
    if (!this.#isSettled) this.#ask(shard);
  }

  #askNext(): void {
    const name = this.#init.names[this.#asked.length];
    if (name === undefined) return;
    const shard: AskedShard = {
      name,
      askedMs: this.#init.nowMs(),
      cancel: undefined,
      askAgainMs: Infinity,
    };
    this.#asked.push(shard);
    this.#ask(shard);
  }

  /** The answer may come before the question returns. */
  #ask(shard: AskedShard): void {
    const question = { isOpen: true };
    const cancel = this.#init.source.acquire(shard.name, (answer) => {
      question.isOpen = false;
      shard.cancel = undefined;
      this.#onAnswer(shard, answer);
    });
    if (question.isOpen) shard.cancel = cancel;
  }

  #onAnswer(shard: AskedShard, answer: PermitAnswer): void {
    if (this.#isSettled) return;
    if (answer.kind === 'granted') return this.#settle(answer);
    shard.askAgainMs = this.#init.nowMs() + answer.retryAfterMs;
    if (this.#asked.length < this.#init.names.length) return this.#askNext();
    if (this.#asked.some(({ cancel }) => cancel !== undefined)) return;
    const soonestMs = Math.min(...this.#asked.map(({ askAgainMs }) => askAgainMs));
    this.#settle({ kind: 'over-quota', retryAfterMs: Math.max(1, soonestMs - this.#init.nowMs()) });
  }

  #settle(answer: PermitAnswer): void {
    this.cancel();
    this.#init.done(answer);
  }
}
