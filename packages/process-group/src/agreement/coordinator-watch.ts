/** Tracks which node this node follows as coordinator. */
import type { GroupDependencies } from '../group-dependencies.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';

/** The coordinator, as of its last heartbeat. */
export interface FollowedCoordinator {
  readonly incarnation: string;
  readonly epoch: number;
  readonly atMs: number;
  /** Whether it announced that it cannot coordinate now. */
  readonly resigning: boolean;
}

/** What tracking the coordinator needs from the other parts of the group. */
interface CoordinatorWatchCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  /** Whether this node itself coordinates. */
  readonly coordination: { readonly coordinator: object | undefined };
}

/**
 * Remembers the last coordinator that was heard, which may be this node itself, and decides
 * whether it is live.
 * @example
 * coordinatorWatch.live()?.incarnation; // operations are submitted to this member
 */
export class CoordinatorWatch<S> {
  #collaborators: CoordinatorWatchCollaborators<S>;
  #followed: FollowedCoordinator | undefined;

  constructor(collaborators: CoordinatorWatchCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Records the coordinator that was just heard. */
  follow(incarnation: string, epoch: number, resigning: boolean): void {
    this.#followed = { incarnation, epoch, atMs: this.#collaborators.local.nowMs(), resigning: resigning };
  }

  /** Stops following this node itself, after it has resigned. */
  unfollowSelf(): void {
    if (this.#followed?.incarnation === this.#collaborators.local.incarnation) this.#followed = undefined;
  }

  /** Stops following any coordinator. */
  clear(): void {
    this.#followed = undefined;
  }

  /** The coordinator, if it was heard within `suspectMs`, is live, and coordinates the newest known epoch. */
  live(): FollowedCoordinator | undefined {
    const { coordination, dependencies, liveness, local } = this.#collaborators;
    const followed = this.#followed;
    if (followed === undefined || followed.resigning || followed.epoch < local.epoch) return undefined;
    const nowMs = local.nowMs();
    if (nowMs - followed.atMs > dependencies.times.suspectMs) return undefined;
    if (followed.incarnation === local.incarnation)
      return coordination.coordinator === undefined ? undefined : followed;
    return liveness.isLive(followed.incarnation, nowMs) ? followed : undefined;
  }
}
