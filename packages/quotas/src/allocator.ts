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
const LEASE_MARGIN_FRACTION = 0.1;

/** The longest time after which an edge is told to ask again. */
const MAX_RETRY_AFTER_MS = 60_000;

/** A view as far as quotas need it. */
export interface QuotaView {
  readonly epoch: number;
  readonly number: number;
  /** In rank order; only members with a disk allocate. */
  readonly members: readonly Member[];
}

/** A view by its place in the sequence. */
export type ViewId = Pick<QuotaView, 'epoch' | 'number'>;

/** A handover that is to be sent. */
export interface OutgoingHandover {
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
  #removedAtMs = new Map<string, number>();
  #view: QuotaView | undefined;
  #incarnation = '';
  /** Since when the present view is known to be committed. */
  #committedAtMs: number | undefined;
  /** Handovers that came for the newest view heard of. */
  #handovers: QuotaHandover[] = [];

  constructor(options: QuotaAllocatorOptions) {
    this.#bounds = options.bounds;
    this.#takeoverWaitMs = options.takeoverWaitMs ?? options.leaseMs * (1 + LEASE_MARGIN_FRACTION);
    this.#reserveIntervalMs = reserveIntervalMs(options.bounds, options.leaseMs);
  }

  /** Takes the limits of the configuration in force. Tenants without a limit may be among them or not. */
  updateLimits(limits: Iterable<TenantLimit>, nowMs: number): void {
    const previousLimits = this.#limits;
    this.#limits = new Map();
    for (const limit of limits) this.#limits.set(limit.name, limit);
    for (const name of previousLimits.keys()) if (!this.#limits.has(name)) this.#markRemoved(name, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, false, nowMs);
    this.#expireRemoved(nowMs);
  }

  /**
   * A view was installed here; to be called for each, at once. Returns what is to be sent to those that allocate
   * tenants of this core from now on. A view that is known already changes nothing.
   */
  onView(view: QuotaView, selfIncarnation: string, nowMs: number): OutgoingHandover[] {
    if (this.#isCurrentView(view) && selfIncarnation === this.#incarnation) return [];
    const isNextView =
      this.#view !== undefined &&
      view.number === this.#view.number + 1 &&
      selfIncarnation === this.#incarnation;
    if (!isNextView) this.#allocations.clear();
    const committedForMs = this.#committedAtMs === undefined ? 0 : nowMs - this.#committedAtMs;
    const mayUseReserve = isNextView && committedForMs >= this.#reserveIntervalMs;
    this.#view = view;
    this.#incarnation = selfIncarnation;
    this.#committedAtMs = undefined;
    const handovers = this.#handOver(view, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, mayUseReserve, nowMs);
    this.#applyHandovers(nowMs);
    this.#expireRemoved(nowMs);
    return handovers;
  }

  /** The view is known to be committed: a majority of its members, and of those of the view before, installed it. */
  onViewCommitted(id: ViewId, nowMs: number): void {
    if (this.#committedAtMs !== undefined || !this.#isCurrentView(id)) return;
    this.#committedAtMs = nowMs;
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
    this.#applyHandovers(nowMs);
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
    const wholeMs = Math.max(1, Math.ceil(Math.min(retryAfterMs, MAX_RETRY_AFTER_MS)));
    return create(QuotaAnswerSchema, { tenant, granted, retryAfterMs: wholeMs });
  }

  /** Gives up the tenants that others allocate in a view. */
  #handOver(view: QuotaView, nowMs: number): OutgoingHandover[] {
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

  #applyHandovers(nowMs: number): void {
    const [first] = this.#handovers;
    if (first === undefined || !this.#isCurrentView({ epoch: first.viewEpoch, number: first.viewNumber }))
      return;
    for (const { tenant, level } of this.#handovers.flatMap(({ levels }) => levels)) {
      const allocation = this.#allocations.get(tenant);
      if (allocation?.hasStarted(nowMs) === false) allocation.takeOver(level, nowMs);
    }
    this.#handovers = [];
  }

  /** Begins, changes or ends the allocation of a tenant by its limit. */
  #applyLimit(limit: TenantLimit, mayUseReserve: boolean, nowMs: number): void {
    const { name } = limit;
    this.#removedAtMs.delete(name);
    if (this.#view === undefined) return;
    if (allocatorOf(name, this.#view.members)?.incarnation !== this.#incarnation) return;
    if (limit.ratePerS === 0) {
      this.#allocations.delete(name);
      return;
    }
    const budget = quotaBudget(limit, this.#bounds);
    const existing = this.#allocations.get(name);
    if (existing === undefined)
      this.#startAllocation(name, budget, mayUseReserve ? budget.reserve : 0, nowMs);
    else existing.reconfigure(budget, nowMs);
  }

  /** A tenant that is new here, by a view or by the configuration. */
  #startAllocation(name: string, budget: QuotaBudget, reserve: number, nowMs: number): void {
    const allocation = new Allocation(budget, reserve);
    this.#allocations.set(name, allocation);
    if (this.#committedAtMs === undefined) return;
    allocation.startAt(Math.max(nowMs, this.#committedAtMs + this.#takeoverWaitMs));
  }

  /** What a removed tenant was granted is remembered for a while, so that it cannot come back with a full bucket. */
  #markRemoved(name: string, nowMs: number): void {
    this.#removedAtMs.set(name, nowMs);
    this.#allocations.get(name)?.drain(nowMs);
  }

  #expireRemoved(nowMs: number): void {
    for (const [name, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs < this.#reserveIntervalMs) continue;
      this.#removedAtMs.delete(name);
      this.#allocations.delete(name);
    }
  }

  #isCurrentView(id: ViewId): boolean {
    return this.#view?.epoch === id.epoch && this.#view.number === id.number;
  }
}

function isSameView(one: QuotaHandover, other: QuotaHandover): boolean {
  return one.viewEpoch === other.viewEpoch && one.viewNumber === other.viewNumber;
}

function isOlderView(one: QuotaHandover, other: QuotaHandover): boolean {
  if (one.viewNumber !== other.viewNumber) return one.viewNumber < other.viewNumber;
  return one.viewEpoch < other.viewEpoch;
}
