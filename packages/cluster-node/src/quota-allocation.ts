/**
 * Quota allocation on a core: drives the allocator by the views, states and frames that reach the core.
 * Platform family.
 */
import { create } from '@bufbuild/protobuf';
import {
  newFrame,
  QuotaGrantSchema,
  type Frame,
  type Member,
  type QuotaDraw,
  type QuotaHandover,
  type View,
} from '@rainrun/messages';
import { tenantsOf, type Deployment } from '@rainrun/configuration';
import type { Clock } from '@rainrun/common';
import { QuotaAllocator, shardLimits, type AllocationStats, type QuotaBounds } from '@rainrun/quotas';

/** The part of the process group that determines which core allocates quotas. */
export interface QuotaGroup {
  readonly self: Member;
  /** The newest version that this node knows to be committed. */
  readonly committedVersion: number;
  holdsLease(): boolean;
}

/** The part of the replicated state at one version that quotas depend on. */
export interface QuotaState {
  /** Number of the version. */
  readonly number: number;
  readonly view: View;
  readonly application: Deployment;
}

/** Collaborators and settings that the core supplies. */
export interface QuotaAllocationDependencies {
  readonly deployment: string;
  readonly clock: Clock;
  readonly bounds: QuotaBounds;
  /** Length of the group's leases, in milliseconds. */
  readonly leaseMs: number;
  readonly group: QuotaGroup;
  send(address: string, frame: Frame): void;
}

/** A view that this core installed, and the version that it came with. */
interface InstalledView {
  readonly epoch: number;
  readonly number: number;
  readonly incarnation: string;
  readonly version: number;
}

/**
 * Allocates the quotas that one core is responsible for under the state and the view in force there.
 * @example
 * quotas.onState(state); // for each version that is applied
 * quotas.tick(nowMs);
 * quotas.onFrame(body); // draws from edges, handovers from cores
 */
export class QuotaAllocation {
  #dependencies: QuotaAllocationDependencies;
  #allocator: QuotaAllocator;
  #installedView: InstalledView | undefined;
  #isCommitted = false;
  #document: unknown;

  constructor(dependencies: QuotaAllocationDependencies) {
    this.#dependencies = dependencies;
    const { bounds, leaseMs } = dependencies;
    this.#allocator = new QuotaAllocator({ bounds, leaseMs });
  }

  /**
   * Handles a version applied here. Limits go first, as a view may bring levels for tenants that came with
   * the version.
   */
  onState({ number, view, application }: QuotaState): void {
    const nowMs = this.#dependencies.clock.nowMs();
    if (this.#document !== application.document) {
      this.#document = application.document;
      const { bounds } = this.#dependencies;
      const limits = tenantsOf(application).flatMap((limit) => shardLimits(limit, bounds));
      this.#allocator.updateLimits(limits, nowMs);
    }
    this.#installView(view, number, nowMs);
    this.tick(nowMs);
  }

  /** Notifies the allocator once the installed view is committed. */
  tick(nowMs: number): void {
    if (this.#installedView === undefined || this.#isCommitted) return;
    if (this.#dependencies.group.committedVersion < this.#installedView.version) return;
    this.#isCommitted = true;
    this.#allocator.onViewCommitted(this.#installedView, nowMs);
  }

  /** Answers draws from edges and takes handovers from cores; ignores other frames. */
  onFrame(body: Frame['body']): void {
    if (body.case === 'quotaDraw') this.#answerDraw(body.value);
    else if (body.case === 'quotaHandover') this.#onHandover(body.value);
  }

  /** Statistics of the shards of tenants' quotas that this core currently allocates. */
  stats(): AllocationStats[] {
    return this.#allocator.stats(this.#dependencies.clock.nowMs());
  }

  #installView(view: View, version: number, nowMs: number): void {
    const { epoch, number, members } = view;
    const { incarnation } = this.#dependencies.group.self;
    const known = this.#installedView;
    if (known?.epoch === epoch && known.number === number && known.incarnation === incarnation) return;
    this.#installedView = { epoch, number, incarnation, version };
    this.#isCommitted = false;
    for (const { to, handover } of this.#allocator.onView({ epoch, number, members }, incarnation, nowMs))
      this.#send(to, { case: 'quotaHandover', value: handover });
  }

  #answerDraw({ edge, draw, needs }: QuotaDraw): void {
    if (edge === undefined) return;
    const { clock, group } = this.#dependencies;
    const answers = this.#allocator.answer(needs, group.holdsLease(), clock.nowMs());
    this.#send(edge, { case: 'quotaGrant', value: create(QuotaGrantSchema, { draw, answers }) });
  }

  #onHandover(handover: QuotaHandover): void {
    this.#allocator.onHandover(handover, this.#dependencies.clock.nowMs());
  }

  #send(to: Member, body: Frame['body']): void {
    const { deployment, group, send } = this.#dependencies;
    const route = { deployment, from: group.self.incarnation, to: to.incarnation };
    send(to.address, newFrame(route, body));
  }
}
