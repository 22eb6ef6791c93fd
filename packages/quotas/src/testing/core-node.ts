/** A simulated core: a member of the modelled process group, with its lease and the allocator under test. */
import { create } from '@bufbuild/protobuf';
import { randomId, type RandomSource } from '@rainrun/common';
import {
  MemberSchema,
  QuotaGrantSchema,
  type Member,
  type QuotaDraw,
  type QuotaGrant,
} from '@rainrun/messages';
import { QuotaAllocator, type OutgoingHandover, type QuotaView } from '../allocator.js';
import type { QuotaBounds, TenantLimit } from '../permits.js';
import { shardLimits } from '../shards.js';
import { TokenBucket } from '../token-bucket.js';
import type { Machine, Network } from './machine.js';
import { isSharded, type Mutant } from './mutants.js';

/** Timings of the process group as on a real platform. */
export const LEASE_MS = 600;
const HEARTBEAT_MS = 200;

/** How long the `no-stop` mutant keeps granting permits of a tenant after its handover. */
const NO_STOP_DURATION_MS = 4000;

/** Options of a `CoreNode`. */
export interface CoreNodeOptions {
  readonly machine: Machine;
  readonly network: Network;
  readonly random: RandomSource;
  readonly bounds: QuotaBounds;
  readonly mutant: Mutant | undefined;
  /** Returns the core whose current process has the given incarnation, if there is one. */
  readonly coreOf: (incarnation: string) => CoreNode | undefined;
  readonly limits: () => readonly TenantLimit[];
}

interface Acknowledgement {
  readonly sentMs: number;
  readonly number: number;
}

/** Bucket of a tenant for which the `no-stop` mutant keeps granting permits. */
interface UnstoppedBucket {
  readonly bucket: TokenBucket;
  readonly untilMs: number;
}

/** A core as a group member: it flushes, installs views, acknowledges heartbeats and holds a lease. */
export class CoreNode {
  readonly machine: Machine;
  member!: Member;
  view: QuotaView | undefined;
  /**
   * Members that stay in the view change for which this core has flushed; heartbeats of others get no
   * acknowledgement.
   */
  flushedFor: ReadonlySet<string> | undefined;
  #options: CoreNodeOptions;
  #allocator!: QuotaAllocator;
  #acknowledgements = new Map<string, Acknowledgement>();
  #unstoppedBuckets = new Map<string, UnstoppedBucket>();

  constructor(options: CoreNodeOptions) {
    this.#options = options;
    this.machine = options.machine;
    this.start();
  }

  /** Starts a new process, without any state of the previous one. */
  start(): void {
    const { bounds, machine, mutant } = this.#options;
    this.renewIncarnation();
    this.#unstoppedBuckets.clear();
    const waitMs = mutant === 'no-wait' ? { takeoverWaitMs: 0 } : {};
    this.#allocator = new QuotaAllocator({ bounds, leaseMs: LEASE_MS, ...waitMs });
    this.reloadLimits();
    machine.every(HEARTBEAT_MS, () => this.#sendHeartbeats());
  }

  /** Leaves the view and gets a new incarnation, under which it can join again. */
  renewIncarnation(): void {
    const { machine, random } = this.#options;
    const { name } = machine;
    this.member = create(MemberSchema, { name, incarnation: randomId(random), disk: `disk-${name}` });
    this.view = undefined;
    this.flushedFor = undefined;
    this.#acknowledgements.clear();
  }

  reloadLimits(): void {
    this.#allocator.updateLimits(this.#shardLimits(), this.machine.nowMs());
  }

  install(view: QuotaView): void {
    if (this.view !== undefined && view.number <= this.view.number) return;
    const nowMs = this.machine.nowMs();
    this.view = view;
    this.flushedFor = undefined;
    const orders = this.#allocator.onView(view, this.member.incarnation, nowMs);
    if (this.#options.mutant === 'no-stop') this.#keepGranting(orders, nowMs);
    for (const order of orders) this.#sendHandover(order);
    if (this.#options.mutant === 'wait-from-install') this.#allocator.onViewCommitted(view, nowMs);
  }

  onCommitted(number: number): void {
    if (this.view !== undefined && number >= this.view.number)
      this.#allocator.onViewCommitted(this.view, this.machine.nowMs());
  }

  holdsLease(): boolean {
    return this.#leaseEndMs() > this.machine.nowMs();
  }

  answer({ draw, needs }: QuotaDraw): QuotaGrant {
    const holdsLease = this.#options.mutant === 'no-lease' ? this.view !== undefined : this.holdsLease();
    const nowMs = this.machine.nowMs();
    const answers = this.#allocator.answer(needs, holdsLease, nowMs);
    for (const [index, answer] of answers.entries()) {
      const unstopped = this.#unstoppedBuckets.get(answer.tenant);
      if (!answer.unavailable || !holdsLease || unstopped === undefined || unstopped.untilMs < nowMs)
        continue;
      answer.granted += unstopped.bucket.take((needs[index]?.permits ?? 0) - answer.granted, nowMs);
    }
    return create(QuotaGrantSchema, { draw, answers });
  }

  #shardLimits(): TenantLimit[] {
    const { bounds, limits, mutant } = this.#options;
    return limits().flatMap((limit) => (isSharded(mutant) ? shardLimits(limit, bounds) : [limit]));
  }

  #keepGranting(orders: readonly OutgoingHandover[], nowMs: number): void {
    for (const { tenant, level } of orders.flatMap(({ handover }) => handover.levels)) {
      const limit = this.#shardLimits().find(({ name }) => name === tenant);
      const shape = { depth: level + (limit?.burst ?? 0), tokensPerMs: (limit?.ratePerS ?? 0) / 1000 };
      const bucket = new TokenBucket(shape, level);
      bucket.startRefill(nowMs);
      this.#unstoppedBuckets.set(tenant, { bucket, untilMs: nowMs + NO_STOP_DURATION_MS });
    }
  }

  #sendHandover({ handover, to }: OutgoingHandover): void {
    const target = this.#options.coreOf(to.incarnation);
    if (target === undefined) return;
    this.#options.network.send(this.machine, target.machine, () => {
      target.#allocator.onHandover(handover, target.machine.nowMs());
    });
  }

  #sendHeartbeats(): void {
    const { coreOf, network } = this.#options;
    const { incarnation } = this.member;
    const sentMs = this.machine.nowMs();
    for (const member of this.view?.members ?? []) {
      const other = coreOf(member.incarnation);
      if (other === undefined || other === this) continue;
      network.send(this.machine, other.machine, () => {
        if (other.member.incarnation === member.incarnation) other.#acknowledge(this, incarnation, sentMs);
      });
    }
  }

  #acknowledge(sender: CoreNode, incarnation: string, sentMs: number): void {
    const { view } = this;
    if (view === undefined || !view.members.some((member) => member.incarnation === incarnation)) return;
    if (this.flushedFor?.has(incarnation) === false) return;
    const from = this.member.incarnation;
    this.#options.network.send(this.machine, sender.machine, () => {
      if (sender.member.incarnation !== incarnation) return;
      const known = sender.#acknowledgements.get(from);
      if (known === undefined || sentMs >= known.sentMs)
        sender.#acknowledgements.set(from, { sentMs, number: view.number });
    });
  }

  /** Lease end as the group computes it: acknowledgements from members with a newer view do not count. */
  #leaseEndMs(): number {
    const { view } = this;
    if (view === undefined) return -Infinity;
    const sent = view.members.map(({ incarnation }) => {
      if (incarnation === this.member.incarnation) return this.machine.nowMs();
      const acknowledgement = this.#acknowledgements.get(incarnation);
      return acknowledgement === undefined || acknowledgement.number > view.number
        ? -Infinity
        : acknowledgement.sentMs;
    });
    sent.sort((one, other) => other - one);
    return (sent[Math.floor(sent.length / 2)] ?? -Infinity) + LEASE_MS;
  }
}
