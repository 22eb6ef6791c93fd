/**
 * Notices a disk that has synced nothing for too long though writes wait.
 * @example
 * const diskWatch = new DiskWatch(acceptor, times);
 * if (diskWatch.isStalled(nowMs, true)) leaveTheView();
 */
export class DiskWatch {
    #acceptor;
    #times;
    /** When the disk last synced something, while writes are waiting. */
    #lastSync;
    constructor(acceptor, times) {
        this.#acceptor = acceptor;
        this.#times = times;
    }
    /**
     * Whether this node has to be without its disk for now: a member leaves the
     * view then. Outside a view, where others may wait for its claim, it is silent
     * sooner.
     */
    isStalled(nowMs, inView) {
        return this.#waitMs(nowMs) > (inView ? this.#times.lagMs : this.#times.suspectMs);
    }
    /** Whether the disk holds up this node's own promise: then the next voter claims. */
    isSlow(nowMs) {
        return this.#waitMs(nowMs) > this.#times.suspectMs;
    }
    #waitMs(nowMs) {
        const acceptor = this.#acceptor;
        if (acceptor === undefined || !acceptor.busy) {
            this.#lastSync = undefined;
            return 0;
        }
        if (this.#lastSync?.syncs !== acceptor.syncs)
            this.#lastSync = { syncs: acceptor.syncs, sinceMs: nowMs };
        return nowMs - this.#lastSync.sinceMs;
    }
    /** This process was away: the disk is not to blame for that time. */
    slept(awayMs) {
        if (this.#lastSync !== undefined)
            this.#lastSync.sinceMs += awayMs;
    }
}
//# sourceMappingURL=disk-watch.js.map