/** A simulated edge: its requests acquire permits, wait, are cancelled, and are sent to a worker. */
import { create } from '@bufbuild/protobuf';
import { randomId, type RandomSource } from '@rainrun/common';
import { MemberSchema, type Member, type QuotaDraw } from '@rainrun/messages';
import type { QuotaView } from '../allocator.js';
import { QuotaClient } from '../client.js';
import type { Permit, PermitAnswer, QuotaBounds, TenantLimit } from '../permits.js';
import { ShardedPermits } from '../sharded-permits.js';
import { shardCount } from '../shards.js';
import type { CoreNode } from './core-node.js';
import type { Machine, Network } from './machine.js';
import { isSharded, type Mutant } from './mutants.js';
import type { RequestRecord } from './refusal-oracle.js';

const TICK_MS = 25;
/**
 * Views are polled at an interval that differs between edges, so that some learn of a view earlier than
 * others.
 */
const MIN_VIEW_POLL_MS = 100;
const VIEW_POLL_RANGE_MS = 1200;

/** Longest time that a client waits. */
const CLIENT_TIMEOUT_MS = 5000;

/** Fraction of the requests that are sent with a delay after they got their permit, and the longest delay. */
const DELAYED_SEND_FRACTION = 0.05;
const MAX_SEND_DELAY_MS = 300;

/** Fraction of the clients that cancel early. */
const EARLY_CANCEL_FRACTION = 0.03;

/** Lifetime of permits in the `no-permit-end` mutant. */
const NO_PERMIT_END_LIFETIME_MS = 60_000;

/** Options of an `EdgeNode`. */
export interface EdgeNodeOptions {
  readonly machine: Machine;
  readonly network: Network;
  readonly random: RandomSource;
  readonly bounds: QuotaBounds;
  readonly mutant: Mutant | undefined;
  readonly cores: readonly CoreNode[];
  readonly coreOf: (incarnation: string) => CoreNode | undefined;
  /** Simulated time without clock drift, for request records. */
  readonly nowMs: () => number;
  /** Returns how long no worker will accept requests. */
  readonly stalledForMs: () => number;
  readonly onSent: (tenant: string) => void;
  /** Returns the limit of a tenant as edges know it. */
  readonly limitOf: (tenant: string) => Pick<TenantLimit, 'burst'>;
}

/** A simulated edge with its quota client. */
export class EdgeNode {
  readonly machine: Machine;
  #options: EdgeNodeOptions;
  #member!: Member;
  #client!: QuotaClient;
  #permits!: ShardedPermits;

  constructor(options: EdgeNodeOptions) {
    this.#options = options;
    this.machine = options.machine;
    this.start();
  }

  /** Starts a new process, which has no view and no permits. */
  start(): void {
    const { bounds, machine, mutant, random } = this.#options;
    this.#member = create(MemberSchema, { name: machine.name, incarnation: randomId(random) });
    const lifetimeOverride =
      mutant === 'no-permit-end' ? { permitLifetimeMs: NO_PERMIT_END_LIFETIME_MS } : {};
    this.#client = new QuotaClient({
      clock: machine,
      chance: random,
      bounds,
      self: () => this.#member,
      send: (to, draw) => this.#sendDraw(to, draw),
      ...lifetimeOverride,
    });
    this.#permits = new ShardedPermits({
      clock: machine,
      chance: random,
      source: this.#client,
      shardCountOf: (tenant) => shardCount(this.#options.limitOf(tenant)),
    });
    machine.every(TICK_MS, () => {
      this.#client.tick(machine.nowMs());
      this.#permits.tick(machine.nowMs());
    });
    machine.every(MIN_VIEW_POLL_MS + random.next() ** 2 * VIEW_POLL_RANGE_MS, () => this.#pollView());
  }

  /** Acquires a permit for a request, and sends the request with it. */
  request(record: RequestRecord): void {
    const { machine, random } = this.#options;
    let cancel = this.#acquire(record, () => (cancel = this.#acquire(record)));
    const timeoutMs = random.next() < EARLY_CANCEL_FRACTION ? random.next() * 300 : CLIENT_TIMEOUT_MS;
    machine.after(timeoutMs, () => {
      cancel();
      record.outcome ??= 'given-up';
    });
  }

  #acquire(record: RequestRecord, again?: () => void): () => void {
    const retry = again ?? (() => this.#acquire(record));
    const permits = isSharded(this.#options.mutant) ? this.#permits : this.#client;
    return permits.acquire(record.tenant, (answer) => this.#onAnswer(record, answer, retry));
  }

  #onAnswer(record: RequestRecord, answer: PermitAnswer, retry: () => void): void {
    const { machine, nowMs, random, stalledForMs } = this.#options;
    record.answeredMs ??= nowMs();
    if (answer.kind === 'over-quota') {
      record.outcome ??= 'refused';
      return;
    }
    const sendDelayMs = random.next() < DELAYED_SEND_FRACTION ? random.next() * MAX_SEND_DELAY_MS : 0;
    const delayMs = Math.max(sendDelayMs, stalledForMs());
    if (delayMs === 0) this.#send(record, answer.permit, retry);
    else machine.after(delayMs, () => this.#send(record, answer.permit, retry));
  }

  /** Sends the request if its permit has not expired; otherwise acquires another permit. */
  #send(record: RequestRecord, permit: Permit, retry: () => void): void {
    if (record.outcome !== undefined) return;
    if (permit.endMs <= this.machine.nowMs()) {
      retry();
      return;
    }
    record.outcome = 'sent';
    this.#options.onSent(record.tenant);
  }

  #sendDraw(to: Member, draw: QuotaDraw): void {
    const { coreOf, machine, network } = this.#options;
    const core = coreOf(to.incarnation);
    if (core === undefined) return;
    const edge = this.#member;
    network.send(machine, core.machine, () => {
      if (core.member.incarnation !== to.incarnation) return;
      const grant = core.answer(draw);
      network.send(core.machine, machine, () => {
        if (this.#member === edge) this.#client.receive(grant, machine.nowMs());
      });
    });
  }

  /** Requests the current view of a random core. */
  #pollView(): void {
    const { cores, machine, network, random } = this.#options;
    const core = cores[Math.floor(random.next() * cores.length)];
    if (core === undefined) return;
    network.send(machine, core.machine, () => {
      const { view } = core;
      if (view !== undefined) network.send(core.machine, machine, () => this.#learnView(view));
    });
  }

  #learnView(view: QuotaView): void {
    this.#client.learnView(view);
  }
}
