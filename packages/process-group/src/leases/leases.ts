/** Leases: until when this node may admit work, and until when it may act alone for all. */
import type { HeartbeatAck } from '@rainrun/messages';
import { LeaseAcknowledgements } from './lease-acknowledgements.js';
import type { GroupParts } from '../group-parts.js';

/** The singleton lease ends by this fraction of a lease before the leases of the others do. */
const SINGLETON_MARGIN_FRACTION = 1 / 4;

type LeaseParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'local'>;

/**
 * The leases that a majority of the view renews with its acknowledgements: one
 * to admit work by the state in force, and one to act as the only coordinator
 * (the singleton lease).
 * @example
 * if (leases.isHeld()) admit(request);
 */
export class Leases<S> {
  #parts: LeaseParts<S>;
  #acknowledgements: LeaseAcknowledgements;
  /** Since when a majority has known this node's epoch for the newest. */
  #singletonSinceMs: number | undefined;

  constructor(parts: LeaseParts<S>) {
    this.#parts = parts;
    this.#acknowledgements = new LeaseAcknowledgements(parts.dependencies.times.leaseMs);
  }

  /** Notes since when this node holds the singleton lease. */
  tick(nowMs: number): void {
    if (this.#holdsSingleton(nowMs)) this.#singletonSinceMs ??= nowMs;
  }

  /** When this node's lease to admit ends; compare with the clock just before each act. */
  leaseEndMs(): number {
    const { local } = this.#parts;
    if (!local.inView || local.state === undefined || local.leaving) return -Infinity;
    return this.#acknowledgements.leaseEndMs(
      local.state.view,
      local.incarnation,
      local.state.number,
      local.nowMs(),
    );
  }

  /** The version that a member had applied when it last acknowledged a heartbeat. */
  versionAt(incarnation: string): number | undefined {
    return this.#acknowledgements.versionAt(incarnation);
  }

  isHeld(): boolean {
    return this.leaseEndMs() > this.#parts.local.nowMs();
  }

  /** The epoch in which this node may act alone for all, or undefined. Ends before the lease does. */
  singletonEpoch(): number | undefined {
    const { coordination, dependencies, local } = this.#parts;
    const nowMs = local.nowMs();
    if (this.#singletonSinceMs === undefined || nowMs < this.#singletonSinceMs + dependencies.times.leaseMs)
      return undefined;
    return this.#holdsSingleton(nowMs) ? coordination.coordinator?.epoch : undefined;
  }

  /** Takes a member's acknowledgement of the heartbeat sent at `sentMs`. */
  onAck(from: string, sentMs: number, ack: HeartbeatAck): void {
    this.#acknowledgements.acknowledge(from, sentMs, ack.number);
    if (ack.noNewerCoordinator) this.#acknowledgements.acknowledgeSingleton(from, sentMs);
  }

  /** This node coordinates a new epoch: acknowledgements for an earlier one do not count. */
  restartSingleton(): void {
    this.#singletonSinceMs = undefined;
    this.#acknowledgements.clearSingleton();
  }

  clear(): void {
    this.#acknowledgements.clear();
  }

  #holdsSingleton(nowMs: number): boolean {
    const { coordination, dependencies, local } = this.#parts;
    if (coordination.coordinator?.ready !== true || !local.inView || local.state === undefined) return false;
    if (local.leaving) return false;
    const marginMs = dependencies.times.leaseMs * SINGLETON_MARGIN_FRACTION;
    return (
      this.#acknowledgements.singletonLeaseEndMs(local.state.view, local.incarnation, nowMs) - marginMs >
      nowMs
    );
  }
}
