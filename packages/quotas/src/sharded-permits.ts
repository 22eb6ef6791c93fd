/** Permits of tenants whose quotas are divided into shards: one shard is asked, then the others. */
import type { Clock, RandomSource } from '@rainrun/common';
import type { PermitAnswer, PermitSource } from './permits.js';
import { shardName } from './shards.js';

/** A shard that has not answered for so long is not waited for alone: the next one is asked too. */
const HEDGE_DELAY_MS = 40;

/** A shard that did not answer in time is asked last for so long. */
const UNRESPONSIVE_MS = 300;

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
  #pending = new Set<ShardedRequest>();
  /** Until when shards that did not answer are asked last, by name. */
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

  /** Asks further shards where the first ones do not answer. */
  tick(nowMs: number): void {
    for (const request of this.#pending) request.tick(nowMs);
    for (const [name, untilMs] of this.#unresponsiveUntilMs)
      if (untilMs <= nowMs) this.#unresponsiveUntilMs.delete(name);
  }

  /** The shards in the order in which a request asks them: from a random one on, silent ones last. */
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

/** What one request is made of. */
interface ShardedRequestOptions {
  readonly names: readonly string[];
  readonly source: PermitSource;
  nowMs(): number;
  onUnresponsive(name: string): void;
  done(answer: PermitAnswer): void;
}

/** One shard as one request asks it. */
interface ShardAttempt {
  readonly name: string;
  readonly sentMs: number;
  /** Withdraws the question; undefined once it was answered. */
  cancel: (() => void) | undefined;
  /** Not asked again before this, where it refused. */
  retryAtMs: number;
}

/** One request for a permit at the shards of its tenant. */
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

  /** An earlier one of the questions may have been answered with a permit meanwhile. */
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

  /** The answer may come before the question returns. */
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
