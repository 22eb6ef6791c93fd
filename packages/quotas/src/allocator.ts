/**
 * The core's side of quotas: allocates those tenants that rendezvous hashing assigns to this core in the
 * current view.
 */
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

/** Fraction of a lease that a takeover waits beyond the lease, to allow for clock drift. */
const LEASE_MARGIN_FRACTION = 0.1;

/** Longest retry interval that an answer gives to an edge. */
const MAX_RETRY_AFTER_MS = 60_000;

/** The parts of a view that quotas need. */
export interface QuotaView {
  readonly epoch: number;
  readonly number: number;
  /** In rank order; only members with a disk allocate. */
  readonly members: readonly Member[];
}

/** Identifies a view by its position in the sequence of views. */
export type ViewId = Pick<QuotaView, 'epoch' | 'number'>;

/** A handover to be sent to the core that takes tenants over. */
export interface OutgoingHandover {
  readonly to: Member;
  readonly handover: QuotaHandover;
}

/** Options of a `QuotaAllocator`. */
export interface QuotaAllocatorOptions {
  readonly bounds: QuotaBounds;
  /** Duration of the process group's leases, in milliseconds. */
  readonly leaseMs: number;
  /**
   * How long a takeover waits after the view is committed.
   * @default leaseMs plus a tenth, to allow for clock drift
   */
  readonly takeoverWaitMs?: number;
}

/** Statistics, for operators, of one tenant that this core allocates. */
export interface AllocationStats {
  readonly tenant: string;
  readonly state: AllocationState;
  /** Number of permits that could be granted now. */
  readonly level: number;
  readonly depth: number;
  readonly granted: number;
  readonly refused: number;
}

/**
 * Grants permits for the tenants that this core allocates. Permits may be granted only while this core holds
 * the process group's lease. A core that takes a tenant over waits until the predecessor's lease has ended,
 * or until a predecessor that is a member of the new view has stopped granting and handed over its level.
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
  /** Removal times, by tenant name, of tenants whose allocations are kept for `#reserveIntervalMs`. */
  #removedAtMs = new Map<string, number>();
  #view: QuotaView | undefined;
  #incarnation = '';
  /** Time at which the current view became known to be committed; undefined before that. */
  #committedAtMs: number | undefined;
  /** Handovers received for the newest view for which any has arrived. */
  #handovers: QuotaHandover[] = [];

  constructor(options: QuotaAllocatorOptions) {
    this.#bounds = options.bounds;
    this.#takeoverWaitMs = options.takeoverWaitMs ?? options.leaseMs * (1 + LEASE_MARGIN_FRACTION);
    this.#reserveIntervalMs = reserveIntervalMs(options.bounds, options.leaseMs);
  }

  /** Applies the limits of the configuration in force. Tenants without a limit may be included or omitted. */
  updateLimits(limits: Iterable<TenantLimit>, nowMs: number): void {
    const previousLimits = this.#limits;
    this.#limits = new Map();
    for (const limit of limits) this.#limits.set(limit.name, limit);
    for (const name of previousLimits.keys()) if (!this.#limits.has(name)) this.#markRemoved(name, nowMs);
    for (const limit of this.#limits.values()) this.#applyLimit(limit, false, nowMs);
    this.#expireRemoved(nowMs);
  }

  /**
   * Applies a view that was installed on this core; must be called for each view as soon as it is installed.
   * Returns the handovers to send to the cores that take over tenants of this core. A view that is already
   * known has no effect.
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

  /**
   * Notes that a view is committed: majorities of its members and of the previous view's members have
   * installed it.
   */
  onViewCommitted(id: ViewId, nowMs: number): void {
    if (this.#committedAtMs !== undefined || !this.#isCurrentView(id)) return;
    this.#committedAtMs = nowMs;
    for (const allocation of this.#allocations.values())
      if (allocation.startMs === undefined) allocation.startAt(nowMs + this.#takeoverWaitMs);
  }

  /**
   * Applies the levels left by a predecessor that has stopped granting. May be called before `onView` for
   * their view.
   */
  onHandover(handover: QuotaHandover, nowMs: number): void {
    const [pending] = this.#handovers;
    if (pending !== undefined && !isSameView(pending, handover)) {
      if (isFromOlderView(handover, pending)) return;
      this.#handovers = [];
    }
    this.#handovers.push(handover);
    this.#applyHandovers(nowMs);
  }

  /**
   * Answers requests for permits. `holdsLease` must be the process group's current value, not a cached one.
   */
  answer(needs: readonly QuotaNeed[], holdsLease: boolean, nowMs: number): QuotaAnswer[] {
    return needs.map((need) => this.#answerNeed(need, holdsLease, nowMs));
  }

  /** Statistics of the tenants that this core allocates. */
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

  /**
   * Stops allocating the tenants that other cores allocate in `view`, and builds the handovers for those
   * cores.
   */
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

  /** Starts, changes or ends the allocation of a tenant according to its limit. */
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

  /** Starts allocating a tenant that a view or a configuration change has assigned to this core. */
  #startAllocation(name: string, budget: QuotaBudget, reserve: number, nowMs: number): void {
    const allocation = new Allocation(budget, reserve);
    this.#allocations.set(name, allocation);
    if (this.#committedAtMs === undefined) return;
    allocation.startAt(Math.max(nowMs, this.#committedAtMs + this.#takeoverWaitMs));
  }

  /**
   * Keeps the drained allocation of a removed tenant, so that removing and adding it again does not refill
   * its bucket.
   */
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

function isFromOlderView(one: QuotaHandover, other: QuotaHandover): boolean {
  if (one.viewNumber !== other.viewNumber) return one.viewNumber < other.viewNumber;
  return one.viewEpoch < other.viewEpoch;
}
