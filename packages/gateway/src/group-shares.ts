/** Weighted sharing of the edge's part of the workers' slots between the groups. */
import type { NameIndex } from '@rainrun/common';
import type { Backlog } from './backlog.js';
import type { GatewayDependencies } from './dependencies.js';

const MIN_BACKLOG = 8;
const BACKLOG_PER_SLOT = 4;
/** A group counts as active for this time after its latest request. */
const ACTIVE_MS = 10_000;

/**
 * The groups' shares of this edge's slots, by weight among the active groups. Groups are given by their index
 * in the `NameIndex`.
 * @example
 * if (shares.isThrottled(group)) continue; // it has used its share, and other groups wait
 */
export class GroupShares {
  #dependencies: GatewayDependencies;
  #groups: NameIndex;
  #backlog: Backlog;
  #inFlight: number[] = [];
  #lastRequestMs: number[] = [];

  constructor(dependencies: GatewayDependencies, groups: NameIndex, backlog: Backlog) {
    this.#dependencies = dependencies;
    this.#groups = groups;
    this.#backlog = backlog;
  }

  inFlight(group: number): number {
    return this.#inFlight[group] ?? 0;
  }

  recordRequest(group: number, nowMs: number): void {
    this.#lastRequestMs[group] = nowMs;
  }

  sendStarted(group: number): void {
    this.#inFlight[group] = this.inFlight(group) + 1;
  }

  sendEnded(group: number): void {
    this.#inFlight[group] = Math.max(0, this.inFlight(group) - 1);
  }

  /** How many requests of a group may wait at this edge. */
  maxWaiting(group: number): number {
    return Math.max(MIN_BACKLOG, Math.floor(this.#edgeSlots() * BACKLOG_PER_SLOT * this.shareOf(group)));
  }

  /** A group's fraction of the total weight of the active groups. */
  shareOf(group: number): number {
    const nowMs = this.#dependencies.clock.nowMs();
    let sum = 0;
    for (let other = 0; other < this.#groups.size; other += 1) {
      const active = other === group || nowMs - (this.#lastRequestMs[other] ?? -Infinity) < ACTIVE_MS;
      if (active) sum += this.#dependencies.weight(this.#groups.name(other));
    }
    return sum === 0 ? 1 : this.#dependencies.weight(this.#groups.name(group)) / sum;
  }

  /** Whether a group's requests in flight fill its share of the slots. */
  hasReachedShare(group: number): boolean {
    return this.inFlight(group) >= Math.max(1, Math.ceil(this.#edgeSlots() * this.shareOf(group)));
  }

  /** Whether a group must not send now: it has reached its share, and requests of other groups wait. */
  isThrottled(group: number): boolean {
    const others = this.#backlog.count - this.#backlog.countOf(group);
    return others > 0 && this.hasReachedShare(group);
  }

  /** This edge's part of the slots of all usable workers, divided evenly between the edges. */
  #edgeSlots(): number {
    const slots = this.#dependencies
      .workers()
      .reduce((sum, worker) => sum + (worker.draining || worker.evacuated ? 0 : worker.slots), 0);
    return Math.max(1, slots / Math.max(1, this.#dependencies.edges().length));
  }
}
