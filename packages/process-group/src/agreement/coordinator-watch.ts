/** Whom this node takes for the coordinator. */
import type { GroupParts } from '../group-parts.js';

/** The coordinator as its last heartbeat showed it. */
export interface FollowedCoordinator {
  readonly incarnation: string;
  readonly epoch: number;
  readonly atMs: number;
  /** It says itself that it cannot coordinate now. */
  readonly resigning: boolean;
}

type CoordinatorWatchParts<S> = Pick<GroupParts<S>, 'coordination' | 'dependencies' | 'liveness' | 'local'>;

/**
 * Remembers the coordinator of the newest epoch that was heard, this node
 * itself included, and says whether it can be relied on now.
 * @example
 * coordinatorWatch.live()?.incarnation; // where operations are submitted
 */
export class CoordinatorWatch<S> {
  #parts: CoordinatorWatchParts<S>;
  #followed: FollowedCoordinator | undefined;

  constructor(parts: CoordinatorWatchParts<S>) {
    this.#parts = parts;
  }

  follow(incarnation: string, epoch: number, resigning: boolean): void {
    this.#followed = { incarnation, epoch, atMs: this.#parts.local.nowMs(), resigning: resigning };
  }

  /** Ceases to follow this node itself: it has resigned. */
  unfollowSelf(): void {
    if (this.#followed?.incarnation === this.#parts.local.incarnation) this.#followed = undefined;
  }

  clear(): void {
    this.#followed = undefined;
  }

  /** The coordinator, if it was heard lately, is live and of the newest epoch known. */
  live(): FollowedCoordinator | undefined {
    const { coordination, dependencies, liveness, local } = this.#parts;
    const followed = this.#followed;
    if (followed === undefined || followed.resigning || followed.epoch < local.epoch) return undefined;
    const nowMs = local.nowMs();
    if (nowMs - followed.atMs > dependencies.times.suspectMs) return undefined;
    if (followed.incarnation === local.incarnation)
      return coordination.coordinator === undefined ? undefined : followed;
    return liveness.isLive(followed.incarnation, nowMs) ? followed : undefined;
  }
}
