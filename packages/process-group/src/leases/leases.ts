/** Leases: until when this node may admit work, and until when it may act as the only coordinator. */
import type { HeartbeatAck } from '@rainrun/messages';
import { LeaseAcknowledgements } from './lease-acknowledgements.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { LocalMember } from '../membership/local-member.js';

/** The singleton lease ends earlier than the leases of the other members by this fraction of a lease. */
const SINGLETON_MARGIN_FRACTION = 1 / 4;

/** What the leases need. */
interface LeaseCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly local: LocalMember<S>;
  /** This node's term as coordinator, which the singleton lease belongs to. */
  readonly coordination: {
    readonly coordinator: { readonly epoch: number; readonly ready: boolean } | undefined;
  };
}

/**
 * The leases that a majority of the view renews with its acknowledgements: one
 * to admit work by the state in force, and one to act as the only coordinator
 * (the singleton lease).
 * @example
 * if (leases.isHeld()) admit(request);
 */
export class Leases<S> {
  #collaborators: LeaseCollaborators<S>;
  #acknowledgements: LeaseAcknowledgements;
  /** Time since which a majority has acknowledged this node's epoch as the newest. */
  #singletonSinceMs: number | undefined;

  constructor(collaborators: LeaseCollaborators<S>) {
    this.#collaborators = collaborators;
    this.#acknowledgements = new LeaseAcknowledgements(collaborators.dependencies.times.leaseMs);
  }

  /** Records since when this node holds the singleton lease. */
  tick(nowMs: number): void {
    if (this.#holdsSingleton(nowMs)) this.#singletonSinceMs ??= nowMs;
  }

  /** When this node's lease to admit work ends; callers compare it with the clock just before each action. */
  leaseEndMs(): number {
    const { local } = this.#collaborators;
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

  /** Whether this node may admit work now. */
  isHeld(): boolean {
    return this.leaseEndMs() > this.#collaborators.local.nowMs();
  }

  /** The epoch in which this node may act as the only coordinator, if any. Ends before the lease does. */
  singletonEpoch(): number | undefined {
    const { coordination, dependencies, local } = this.#collaborators;
    const nowMs = local.nowMs();
    if (this.#singletonSinceMs === undefined || nowMs < this.#singletonSinceMs + dependencies.times.leaseMs)
      return undefined;
    return this.#holdsSingleton(nowMs) ? coordination.coordinator?.epoch : undefined;
  }

  /** Handles a member's acknowledgement of the heartbeat sent at `sentMs`. */
  onAck(from: string, sentMs: number, ack: HeartbeatAck): void {
    this.#acknowledgements.acknowledge(from, sentMs, ack.number);
    if (ack.noNewerCoordinator) this.#acknowledgements.acknowledgeSingleton(from, sentMs);
  }

  /** Starts over for a new epoch of this coordinator: acknowledgements for an earlier epoch do not count. */
  restartSingleton(): void {
    this.#singletonSinceMs = undefined;
    this.#acknowledgements.clearSingleton();
  }

  /** Drops all acknowledgements, since this node goes on under a new incarnation. */
  clear(): void {
    this.#acknowledgements.clear();
  }

  #holdsSingleton(nowMs: number): boolean {
    const { coordination, dependencies, local } = this.#collaborators;
    if (coordination.coordinator?.ready !== true || !local.inView || local.state === undefined) return false;
    if (local.leaving) return false;
    const marginMs = dependencies.times.leaseMs * SINGLETON_MARGIN_FRACTION;
    return (
      this.#acknowledgements.singletonLeaseEndMs(local.state.view, local.incarnation, nowMs) - marginMs >
      nowMs
    );
  }
}
