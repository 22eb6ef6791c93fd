/** Whom this node takes for the coordinator. */
import type { GroupDependencies } from '../group-dependencies.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';

/** The coordinator as its last heartbeat showed it. */
export interface FollowedCoordinator {
  readonly incarnation: string;
  readonly epoch: number;
  readonly atMs: number;
  /** It says itself that it cannot coordinate now. */
  readonly resigning: boolean;
}

/** What the watch of the coordinator needs. */
interface CoordinatorWatchCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  /** Whether this node itself coordinates. */
  readonly coordination: { readonly coordinator: object | undefined };
}

/**
 * Remembers the coordinator of the newest epoch that was heard, this node
 * itself included, and says whether it can be relied on now.
 * @example
 * coordinatorWatch.live()?.incarnation; // where operations are submitted
 */
export class CoordinatorWatch<S> {
  #collaborators: CoordinatorWatchCollaborators<S>;
  #followed: FollowedCoordinator | undefined;

  constructor(collaborators: CoordinatorWatchCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Notes the coordinator that was heard now. */
  follow(incarnation: string, epoch: number, resigning: boolean): void {
    this.#followed = { incarnation, epoch, atMs: this.#collaborators.local.nowMs(), resigning: resigning };
  }

  /** Ceases to follow this node itself: it has resigned. */
  unfollowSelf(): void {
    if (this.#followed?.incarnation === this.#collaborators.local.incarnation) this.#followed = undefined;
  }

  clear(): void {
    this.#followed = undefined;
  }

  /** The coordinator, if it was heard lately, is live and of the newest epoch known. */
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
