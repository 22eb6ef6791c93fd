/**
 * Remembers the coordinator of the newest epoch that was heard, this node
 * itself included, and says whether it can be relied on now.
 * @example
 * coordinatorWatch.live()?.incarnation; // where operations are submitted
 */
export class CoordinatorWatch {
    #parts;
    #followed;
    constructor(parts) {
        this.#parts = parts;
    }
    follow(incarnation, epoch, unable) {
        this.#followed = { incarnation, epoch, atMs: this.#parts.local.nowMs(), unable };
    }
    /** Ceases to follow this node itself: it has resigned. */
    unfollowSelf() {
        if (this.#followed?.incarnation === this.#parts.local.incarnation)
            this.#followed = undefined;
    }
    clear() {
        this.#followed = undefined;
    }
    /** The coordinator, if it was heard lately, is live and of the newest epoch known. */
    live() {
        const { coordination, dependencies, liveness, local } = this.#parts;
        const followed = this.#followed;
        if (followed === undefined || followed.unable || followed.epoch < local.epoch)
            return undefined;
        const nowMs = local.nowMs();
        if (nowMs - followed.atMs > dependencies.times.suspectMs)
            return undefined;
        if (followed.incarnation === local.incarnation)
            return coordination.coordinator === undefined ? undefined : followed;
        return liveness.isLive(followed.incarnation, nowMs) ? followed : undefined;
    }
}
//# sourceMappingURL=coordinator-watch.js.map