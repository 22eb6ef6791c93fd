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
  #takeoverWaitMs: number;
  #reserveIntervalMs: number;
  #limits = new Map<string, TenantLimit>();
  #allocations = new Map<string, Allocation>();
  /** When tenants were removed whose allocations are kept for a while, by name. */
  #removedMs = new Map<string, number>();
  #view: QuotaView | undefined;
  #incarnation = '';
  /** Since when the present view is known to be committed. */
  #committedMs: number | undefined;
  /** Handovers that came for the newest view heard of. */
  #handovers: QuotaHandover[] = [];

  constructor(options: QuotaAllocatorOptions) {
    this.#bounds = options.bounds;
    this.#takeoverWaitMs = options.takeoverWaitMs ?? options.leaseMs * (1 + LEASE_MARGIN_PART);
    this.#reserveIntervalMs = reserveIntervalMs(options.bounds, options.leaseMs);
  }

  /** Takes the limits of the configuration in force. Tenants without a limit may be among them or not. */
  updateLimits(limits: Iterable<TenantLimit>, nowMs: number): void {
    const known = this.#limits;
    this.#limits = new Map();
    for (const limit of limits) this.#limits.set(limit.name, limit);
    for (const name of known.keys()) if (!this.#limits.has(name)) this.#remove(name, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, false, nowMs);
    this.#forgetRemoved(nowMs);
  }

  /**
   * A view was installed here; to be called for each, at once. Returns what is to be sent to those that allocate
   * tenants of this core from now on. A view that is known already changes nothing.
   */
  onView(view: QuotaView, selfIncarnation: string, nowMs: number): HandoverOrder[] {
    if (this.#isPresent(view) && selfIncarnation === this.#incarnation) return [];
    const isNext =
      this.#view !== undefined &&
      view.number === this.#view.number + 1 &&
      selfIncarnation === this.#incarnation;
    if (!isNext) this.#allocations.clear();
    const settledForMs = this.#committedMs === undefined ? 0 : nowMs - this.#committedMs;
    const mayUseReserve = isNext && settledForMs >= this.#reserveIntervalMs;
    this.#view = view;
    this.#incarnation = selfIncarnation;
    this.#committedMs = undefined;
    const orders = this.#handOver(view, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, mayUseReserve, nowMs);
    this.#takeHandovers(nowMs);
    this.#forgetRemoved(nowMs);
    return orders;
  }

  /** The view is known to be committed: a majority of its members, and of those of the view before, installed it. */
  onViewCommitted(place: ViewPlace, nowMs: number): void {
    if (this.#committedMs !== undefined || !this.#isPresent(place)) return;
    this.#committedMs = nowMs;
    for (const allocation of this.#allocations.values())
      if (allocation.startMs === undefined) allocation.startAt(nowMs + this.#takeoverWaitMs);
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
      if (allocation?.hasStarted(nowMs) === false) allocation.takeOver(level, nowMs);
    }
    this.#handovers = [];
  }

  /** Begins, changes or ends the allocation of a tenant by its limit. */
  #applyLimit(limit: TenantLimit, mayUseReserve: boolean, nowMs: number): void {
    const { name } = limit;
    this.#removedMs.delete(name);
    if (this.#view === undefined) return;
    if (allocatorOf(name, this.#view.members)?.incarnation !== this.#incarnation) return;
    if (limit.ratePerS === 0) {
      this.#allocations.delete(name);
      return;
    }
    const budget = quotaBudget(limit, this.#bounds);
    const known = this.#allocations.get(name);
    if (known === undefined) this.#begin(name, budget, mayUseReserve ? budget.reserve : 0, nowMs);
    else known.reshape(budget, nowMs);
  }

  /** A tenant that is new here, by a view or by the configuration. */
  #begin(name: string, budget: QuotaBudget, reserve: number, nowMs: number): void {
    const allocation = new Allocation(budget, reserve);
    this.#allocations.set(name, allocation);
    if (this.#committedMs === undefined) return;
    allocation.startAt(Math.max(nowMs, this.#committedMs + this.#takeoverWaitMs));
  }

  /** What a removed tenant was granted is remembered for a while, so that it cannot come back with a full bucket. */
  #remove(name: string, nowMs: number): void {
    this.#removedMs.set(name, nowMs);
    this.#allocations.get(name)?.drain(nowMs);
  }

  #forgetRemoved(nowMs: number): void {
    for (const [name, removedMs] of this.#removedMs) {
      if (nowMs - removedMs < this.#reserveIntervalMs) continue;
      this.#removedMs.delete(name);
      this.#allocations.delete(name);
    }
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
