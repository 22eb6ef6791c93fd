/** Leases: until when this node may admit work, and until when it may act alone for all. */
import type { HeartbeatAck } from '@rainrun/messages';
import { Grants } from './grants.js';
import type { GroupParts } from './group-parts.js';

/** A duty ends by this fraction of a grant before the grants of the others do. */
const DUTY_MARGIN_FRACTION = 1 / 4;

type LeaseParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'local'>;

/**
 * The leases that a majority of the view grants this node with its
 * acknowledgements: one to admit work by the state held, and one to act as
 * the only coordinator ("duty").
 * @example
 * if (leases.isGranted()) admit(request);
 */
export class Leases<S> {
  #parts: LeaseParts<S>;
  #grants: Grants;
  /** Since when a majority has known this node's epoch for the newest. */
  #dutySinceMs: number | undefined;

  constructor(parts: LeaseParts<S>) {
    this.#parts = parts;
    this.#grants = new Grants(parts.dependencies.times.grantMs);
  }

  /** Notes since when this node has its duty. */
  tick(nowMs: number): void {
    if (this.#hasDuty(nowMs)) this.#dutySinceMs ??= nowMs;
  }

  /** When this node's right to admit ends; compare with the clock just before each act. */
  grantEndMs(): number {
    const { local } = this.#parts;
    if (!local.inView || local.state === undefined || local.leaving) return -Infinity;
    return this.#grants.endMs(local.state.view, local.incarnation, local.state.number, local.nowMs());
  }

  /** The version that a member held when it last gave its word. */
  versionAt(incarnation: string): number | undefined {
    return this.#grants.versionAt(incarnation);
  }

  isGranted(): boolean {
    return this.grantEndMs() > this.#parts.local.nowMs();
  }

  /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
  dutyEpoch(): number | undefined {
    const { coordination, dependencies, local } = this.#parts;
    const nowMs = local.nowMs();
    if (this.#dutySinceMs === undefined || nowMs < this.#dutySinceMs + dependencies.times.grantMs)
      return undefined;
    return this.#hasDuty(nowMs) ? coordination.coordinator?.epoch : undefined;
  }

  /** Takes the grants in a member's acknowledgement of the heartbeat sent at `sentMs`. */
  onAck(from: string, sentMs: number, ack: HeartbeatAck): void {
    this.#grants.given(from, sentMs, ack.number);
    if (ack.noNewerCoordinator) this.#grants.givenDuty(from, sentMs);
  }

  /** This node coordinates a new epoch: grants for an earlier duty do not count. */
  startDuty(): void {
    this.#dutySinceMs = undefined;
    this.#grants.clearDuties();
  }

  clear(): void {
    this.#grants.clear();
  }

  #hasDuty(nowMs: number): boolean {
    const { coordination, dependencies, local } = this.#parts;
    if (coordination.coordinator?.ready !== true || !local.inView || local.state === undefined) return false;
    if (local.leaving) return false;
    const marginMs = dependencies.times.grantMs * DUTY_MARGIN_FRACTION;
    return this.#grants.dutyEndMs(local.state.view, local.incarnation, nowMs) - marginMs > nowMs;
  }
}
