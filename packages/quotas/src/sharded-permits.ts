/** Acquires permits from quotas that are divided into shards: tries one shard first, then the others. */
import type { Clock, RandomSource } from '@rainrun/common';
import type { PermitAnswer, PermitSource } from './permits.js';
import { shardName } from './shards.js';

/** Time without an answer after which a request is hedged by trying the next shard too. */
const HEDGE_DELAY_MS = 40;

/** How long a shard that did not answer in time is tried after all other shards. */
const UNRESPONSIVE_MS = 300;

/** Options of `ShardedPermits`. */
export interface ShardedPermitsOptions {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** Grants permits of a single shard, identified by the shard's name. */
  readonly source: PermitSource;
  /** Returns the number of shards into which the quota of a tenant is divided. */
  shardCountOf(tenant: string): number;
}

/**
 * Requests a permit from the shards of a tenant's quota: from a random shard first, and from the next one if
 * a shard refuses or does not answer. A request is over the quota only when every shard has refused it; while
 * a shard has not answered, the shards that refused are tried again.
 * @example
 * const permits = new ShardedPermits({ clock, chance, source: client, shardCountOf });
 * const cancel = permits.acquire('tenant-1', (answer) => proceed(answer));
 * permits.tick(clock.nowMs()); // every 50 ms or more often
 */
export class ShardedPermits implements PermitSource {
  #options: ShardedPermitsOptions;
  #pending = new Set<ShardedRequest>();
  /** Time until which a shard that did not answer is tried last, by shard name. */
  #unresponsiveUntilMs = new Map<string, number>();

  constructor(options: ShardedPermitsOptions) {
    this.#options = options;
  }

  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void {
    const { source, clock } = this.#options;
    const names = this.#shardOrder(tenant);
    const request = new ShardedRequest({
      names,
      source,
      nowMs: () => clock.nowMs(),
      onUnresponsive: (name) => void this.#unresponsiveUntilMs.set(name, clock.nowMs() + UNRESPONSIVE_MS),
      done: (answer) => {
        this.#pending.delete(request);
        done(answer);
      },
    });
    this.#pending.add(request);
    request.start();
    return () => {
      this.#pending.delete(request);
      request.cancel();
    };
  }

  /**
   * Tries further shards for requests whose last attempt has not been answered, and retries shards that
   * refused.
   */
  tick(nowMs: number): void {
    for (const request of this.#pending) request.tick(nowMs);
    for (const [name, untilMs] of this.#unresponsiveUntilMs)
      if (untilMs <= nowMs) this.#unresponsiveUntilMs.delete(name);
  }

  /**
   * Returns the shards in the order in which a request tries them: from a random one on, unresponsive ones
   * last.
   */
  #shardOrder(tenant: string): string[] {
    const count = this.#options.shardCountOf(tenant);
    if (count === 1) return [shardName(tenant, 0)];
    const firstIndex = Math.floor(this.#options.chance.next() * count);
    const names = Array.from({ length: count }, (_, offset) =>
      shardName(tenant, (firstIndex + offset) % count),
    );
    if (this.#unresponsiveUntilMs.size === 0) return names;
    const isUnresponsive = (name: string): boolean => this.#unresponsiveUntilMs.has(name);
    return [...names.filter((name) => !isUnresponsive(name)), ...names.filter(isUnresponsive)];
  }
}

/** Options of a `ShardedRequest`. */
interface ShardedRequestOptions {
  readonly names: readonly string[];
  readonly source: PermitSource;
  nowMs(): number;
  onUnresponsive(name: string): void;
  done(answer: PermitAnswer): void;
}

/** The attempt of one request to get a permit from one shard. */
interface ShardAttempt {
  readonly name: string;
  readonly sentMs: number;
  /** Cancels the attempt; undefined once it has been answered. */
  cancel: (() => void) | undefined;
  /** Earliest time of a retry; infinite unless the shard has refused. */
  retryAtMs: number;
}

/** One request for a permit, with its attempts at the shards of the tenant. */
class ShardedRequest {
  #options: ShardedRequestOptions;
  #attempts: ShardAttempt[] = [];
  #isSettled = false;

  constructor(options: ShardedRequestOptions) {
    this.#options = options;
  }

  start(): void {
    this.#tryNextShard();
  }

  cancel(): void {
    this.#isSettled = true;
    for (const attempt of this.#attempts) attempt.cancel?.();
  }

  tick(nowMs: number): void {
    if (this.#isSettled) return;
    const last = this.#attempts.at(-1);
    if (last?.cancel !== undefined && nowMs - last.sentMs >= HEDGE_DELAY_MS) {
      this.#options.onUnresponsive(last.name);
      this.#tryNextShard();
    }
    for (const attempt of this.#attempts.filter(
      ({ cancel, retryAtMs }) => cancel === undefined && nowMs >= retryAtMs,
    ))
      this.#retry(attempt);
  }

  /** Retries a shard, unless a retry earlier in the same tick has already settled the request. */
  #retry(attempt: ShardAttempt): void {
    if (!this.#isSettled) this.#send(attempt);
  }

  #tryNextShard(): void {
    const name = this.#options.names[this.#attempts.length];
    if (name === undefined) return;
    const attempt: ShardAttempt = {
      name,
      sentMs: this.#options.nowMs(),
      cancel: undefined,
      retryAtMs: Infinity,
    };
    this.#attempts.push(attempt);
    this.#send(attempt);
  }

  /** Sends an attempt to its shard. The answer may arrive before `acquire` returns. */
  #send(attempt: ShardAttempt): void {
    const state = { isOpen: true };
    const cancel = this.#options.source.acquire(attempt.name, (answer) => {
      state.isOpen = false;
      attempt.cancel = undefined;
      this.#onAnswer(attempt, answer);
    });
    if (state.isOpen) attempt.cancel = cancel;
  }

  #onAnswer(attempt: ShardAttempt, answer: PermitAnswer): void {
    if (this.#isSettled) return;
    if (answer.kind === 'granted') return this.#settle(answer);
    attempt.retryAtMs = this.#options.nowMs() + answer.retryAfterMs;
    if (this.#attempts.length < this.#options.names.length) return this.#tryNextShard();
    if (this.#attempts.some(({ cancel }) => cancel !== undefined)) return;
    const earliestRetryMs = Math.min(...this.#attempts.map(({ retryAtMs }) => retryAtMs));
    this.#settle({ kind: 'over-quota', retryAfterMs: Math.max(1, earliestRetryMs - this.#options.nowMs()) });
  }

  #settle(answer: PermitAnswer): void {
    this.cancel();
    this.#options.done(answer);
  }
}
