/** The core's side of quotas: it allocates the tenants that rendezvous hashing gives it in the present view. */
import { create } from '@bufbuild/protobuf';
import {
  QuotaAnswerSchema,
  QuotaHandoverSchema,
  QuotaLevelSchema,
  type Member,
  type QuotaAnswer,
  type QuotaHandover,
  type QuotaLevel,
  type QuotaNeed,
} from '@rainrun/messages';
import { Allocation, type AllocationState } from './allocation.js';
import { allocatorOf } from './allocator-choice.js';
import type { QuotaBounds, TenantLimit } from './permits.js';
import { quotaBudget, reserveIntervalMs, type QuotaBudget } from './quota-budget.js';

/** The part of a lease by which a takeover waits longer than the lease, for clocks that drift apart. */
const LEASE_MARGIN_PART = 0.1;

/** The longest time after which an edge is told to ask again. */
const RETRY_AFTER_MOST_MS = 60_000;

/** A view as far as quotas need it. */
export interface QuotaView {
  readonly epoch: number;
  readonly number: number;
  /** In rank order; only members with a disk allocate. */
  readonly members: readonly Member[];
}

/** A view by its place in the sequence. */
export type ViewPlace = Pick<QuotaView, 'epoch' | 'number'>;

/** A handover that is to be sent. */
export interface HandoverOrder {
  readonly to: Member;
  readonly handover: QuotaHandover;
}

/** What an allocator is made with. */
export interface QuotaAllocatorOptions {
  readonly bounds: QuotaBounds;
  /** Leases of the process group, in milliseconds. */
  readonly leaseMs: number;
  /** The present moment of the monotonic clock. */
  readonly startedMs: number;
  /**
   * How long a takeover waits once the view is committed.
   * @default leaseMs and a tenth, for clocks that drift
   */
  readonly takeoverWaitMs?: number;
}

/** One tenant that this core allocates, as operators see it. */
export interface AllocationStats {
  readonly tenant: string;
  readonly state: AllocationState;
  /** Permits that could be granted now. */
  readonly level: number;
  readonly depth: number;
  readonly granted: number;
  readonly refused: number;
}

/**
 * Grants permits for the tenants whose allocator this core is. It may grant only while its caller holds the process
 * group's lease; who takes a tenant over waits until the predecessor's lease has ended, or until the predecessor,
 * alive in the new view, has stopped and handed its level over.
 * @example
 * allocator.updateLimits(limits, nowMs);
 * for (const { to, handover } of allocator.onView(view, self.incarnation, nowMs)) send(to, handover);
 * allocator.onViewCommitted(view, nowMs); // once a majority has installed it
 * const answers = allocator.answer(draw.needs, group.holdsLease(), nowMs);
 */
export class QuotaAllocator {
  #bounds: QuotaBounds;
  #startedMs: number;
  #takeoverWaitMs: number;
  #reserveIntervalMs: number;
  #limits = new Map<string, TenantLimit>();
  #allocations = new Map<string, Allocation>();
  /** When tenants were removed whose allocations are kept for a while, by name. */
  #removedMs = new Map<string, number>();
  /** When this process last had a reserve in use, by tenant. Outlives views and incarnations. */
  #reserveUsedMs = new Map<string, number>();
  #view: QuotaView | undefined;
  #incarnation = '';
  /** When predecessors of the present view can no longer grant; undefined until the view is committed. */
  #viewStartMs: number | undefined;
  /** Handovers that came for the newest view heard of. */
  #handovers: QuotaHandover[] = [];
  #coresMost = 0;

  constructor(options: QuotaAllocatorOptions) {
    this.#bounds = options.bounds;
    this.#startedMs = options.startedMs;
    this.#takeoverWaitMs = options.takeoverWaitMs ?? options.leaseMs * (1 + LEASE_MARGIN_PART);
    this.#reserveIntervalMs = reserveIntervalMs(options.bounds);
  }

  /** Takes the limits of the configuration in force. Tenants without a limit may be among them or not. */
  updateLimits(limits: Iterable<TenantLimit>, nowMs: number): void {
    const known = this.#limits;
    this.#limits = new Map();
    for (const limit of limits) this.#limits.set(limit.name, limit);
    for (const name of known.keys()) if (!this.#limits.has(name)) this.#removedMs.set(name, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, nowMs);
    this.#forgetRemoved(nowMs);
  }

  /**
   * A view was installed here; to be called for each, at once. Returns what is to be sent to those that allocate
   * tenants of this core from now on.
   */
  onView(view: QuotaView, selfIncarnation: string, nowMs: number): HandoverOrder[] {
    const isNext =
      this.#view !== undefined &&
      view.number === this.#view.number + 1 &&
      selfIncarnation === this.#incarnation;
    if (!isNext) this.#allocations.clear();
    this.#view = view;
    this.#incarnation = selfIncarnation;
    this.#viewStartMs = undefined;
    this.#coresMost = Math.max(this.#coresMost, view.members.filter(({ disk }) => disk !== '').length);
    const orders = this.#handOver(view, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, nowMs);
    this.#takeHandovers(nowMs);
    this.#forgetRemoved(nowMs);
    return orders;
  }

  /** The view is known to be committed: a majority of its members, and of those of the view before, installed it. */
  onViewCommitted(place: ViewPlace, nowMs: number): void {
    if (this.#viewStartMs !== undefined || !this.#isPresent(place)) return;
    this.#viewStartMs = nowMs + this.#takeoverWaitMs;
    for (const [name, allocation] of this.#allocations)
      if (allocation.startMs === undefined) this.#startAt(name, allocation, this.#viewStartMs);
  }

  /** A predecessor has stopped and left these levels. May come before the view that it belongs to. */
  onHandover(handover: QuotaHandover, nowMs: number): void {
    const [kept] = this.#handovers;
    if (kept !== undefined && !isSameView(kept, handover)) {
      if (isOlderView(handover, kept)) return;
      this.#handovers = [];
    }
    this.#handovers.push(handover);
    this.#takeHandovers(nowMs);
  }

  /** Answers needs for permits. `holdsLease` is read from the process group at this moment. */
  answer(needs: readonly QuotaNeed[], holdsLease: boolean, nowMs: number): QuotaAnswer[] {
    return needs.map((need) => this.#answerNeed(need, holdsLease, nowMs));
  }

  /** The tenants that this core allocates. */
  stats(nowMs: number): AllocationStats[] {
    return [...this.#allocations].map(([tenant, allocation]) => ({
      tenant,
      state: allocation.state(nowMs),
      level: allocation.level(nowMs),
      depth: allocation.depth,
      granted: allocation.granted,
      refused: allocation.refused,
    }));
  }

  #answerNeed({ tenant, permits }: QuotaNeed, holdsLease: boolean, nowMs: number): QuotaAnswer {
    const limit = this.#limits.get(tenant);
    if (limit?.ratePerS === 0) return create(QuotaAnswerSchema, { tenant, granted: permits });
    const allocation = this.#allocations.get(tenant);
    if (limit === undefined || allocation === undefined || !holdsLease)
      return create(QuotaAnswerSchema, { tenant, unavailable: true });
    const { granted, retryAfterMs } = allocation.answer(permits, nowMs);
    if (granted > 0 && !allocation.hasStarted(nowMs)) this.#noteReserveUse(tenant, nowMs);
    if (granted === permits) return create(QuotaAnswerSchema, { tenant, granted });
    if (retryAfterMs === undefined) return create(QuotaAnswerSchema, { tenant, granted, unavailable: true });
    const wholeMs = Math.max(1, Math.ceil(Math.min(retryAfterMs, RETRY_AFTER_MOST_MS)));
    return create(QuotaAnswerSchema, { tenant, granted, retryAfterMs: wholeMs });
  }

  /** Gives up the tenants that others allocate in a view. */
  #handOver(view: QuotaView, nowMs: number): HandoverOrder[] {
    const levels = new Map<Member, QuotaLevel[]>();
    for (const [tenant, allocation] of this.#allocations) {
      const allocator = allocatorOf(tenant, view.members);
      if (allocator?.incarnation === this.#incarnation) continue;
      this.#allocations.delete(tenant);
      if (allocator === undefined || !allocation.hasStarted(nowMs)) continue;
      const level = create(QuotaLevelSchema, { tenant, level: allocation.level(nowMs) });
      levels.set(allocator, [...(levels.get(allocator) ?? []), level]);
    }
    return [...levels].map(([to, left]) => ({
      to,
      handover: create(QuotaHandoverSchema, {
        viewEpoch: view.epoch,
        viewNumber: view.number,
        levels: left,
      }),
    }));
  }

  #takeHandovers(nowMs: number): void {
    const [first] = this.#handovers;
    if (first === undefined || !this.#isPresent({ epoch: first.viewEpoch, number: first.viewNumber })) return;
    for (const { tenant, level } of this.#handovers.flatMap(({ levels }) => levels)) {
      const allocation = this.#allocations.get(tenant);
      if (allocation === undefined || allocation.hasStarted(nowMs)) continue;
      allocation.takeOver(level, nowMs);
      this.#noteReserveUse(tenant, nowMs);
    }
    this.#handovers = [];
  }

  /** Begins, changes or ends the allocation of a tenant by its limit. */
  #applyLimit(limit: TenantLimit, nowMs: number): void {
    const { name } = limit;
    this.#removedMs.delete(name);
    if (this.#view === undefined) return;
    if (allocatorOf(name, this.#view.members)?.incarnation !== this.#incarnation) return;
    if (limit.ratePerS === 0) {
      this.#allocations.delete(name);
      return;
    }
    const budget = quotaBudget(limit, this.#bounds, this.#coresMost);
    const known = this.#allocations.get(name);
    if (known === undefined) this.#begin(name, budget, nowMs);
    else known.reshape(budget, nowMs);
  }

  #begin(name: string, budget: QuotaBudget, nowMs: number): void {
    const allocation = new Allocation(budget, this.#takeReserve(name, budget, nowMs));
    this.#allocations.set(name, allocation);
    if (this.#viewStartMs !== undefined) this.#startAt(name, allocation, Math.max(nowMs, this.#viewStartMs));
  }

  #startAt(name: string, allocation: Allocation, startMs: number): void {
    allocation.startAt(startMs);
    this.#noteReserveUse(name, startMs);
  }

  /** The reserve for a takeover, at most once in an interval and not in a process that may have forgotten a use. */
  #takeReserve(name: string, budget: QuotaBudget, nowMs: number): number {
    const usedMs = Math.max(this.#startedMs, this.#reserveUsedMs.get(name) ?? -Infinity);
    if (nowMs - usedMs < this.#reserveIntervalMs) return 0;
    this.#noteReserveUse(name, nowMs);
    return budget.reserve;
  }

  #noteReserveUse(name: string, nowMs: number): void {
    this.#reserveUsedMs.set(name, Math.max(nowMs, this.#reserveUsedMs.get(name) ?? -Infinity));
  }

  #forgetRemoved(nowMs: number): void {
    for (const [name, removedMs] of this.#removedMs) {
      if (nowMs - removedMs < this.#reserveIntervalMs) continue;
      this.#removedMs.delete(name);
      this.#allocations.delete(name);
    }
    for (const [name, usedMs] of this.#reserveUsedMs)
      if (nowMs - usedMs >= this.#reserveIntervalMs) this.#reserveUsedMs.delete(name);
  }

  #isPresent(place: ViewPlace): boolean {
    return this.#view?.epoch === place.epoch && this.#view.number === place.number;
  }
}

function isSameView(one: QuotaHandover, other: QuotaHandover): boolean {
  return one.viewEpoch === other.viewEpoch && one.viewNumber === other.viewNumber;
}

function isOlderView(one: QuotaHandover, other: QuotaHandover): boolean {
  if (one.viewNumber !== other.viewNumber) return one.viewNumber < other.viewNumber;
  return one.viewEpoch < other.viewEpoch;
}
