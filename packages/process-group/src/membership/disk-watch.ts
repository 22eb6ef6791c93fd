/** Whether this node's own disk still syncs what is written to it. */
import type { Acceptor } from '../agreement/acceptor.js';
import type { GroupTimes } from '../times.js';

/**
 * Notices a disk that has synced nothing for too long though writes wait.
 * @example
 * const diskWatch = new DiskWatch(acceptor, times);
 * if (diskWatch.isStalled(nowMs, true)) leaveTheView();
 */
export class DiskWatch {
  #acceptor: Acceptor | undefined;
  #times: GroupTimes;
  /** When the disk last synced something, while writes are waiting. */
  #lastSync: { syncs: number; sinceMs: number } | undefined;

  constructor(acceptor: Acceptor | undefined, times: GroupTimes) {
    this.#acceptor = acceptor;
    this.#times = times;
  }

  /**
   * Whether this node has to be without its disk for now: a member leaves the
   * view then. Outside a view, where others may wait for its candidacy, it is silent
   * sooner.
   */
  isStalled(nowMs: number, inView: boolean): boolean {
    return inView ? this.waitMs(nowMs) > this.#times.maxLagMs : this.isSlow(nowMs);
  }

  /** Whether the disk holds up this node's own promise: then the next voter becomes the candidate. */
  isSlow(nowMs: number): boolean {
    return this.waitMs(nowMs) > this.#times.suspectMs;
  }

  /** For how long a write has waited without a sync; 0 while none waits. */
  waitMs(nowMs: number): number {
    const acceptor = this.#acceptor;
    if (acceptor === undefined || !acceptor.busy) {
      this.#lastSync = undefined;
      return 0;
    }
    if (this.#lastSync?.syncs !== acceptor.syncs) this.#lastSync = { syncs: acceptor.syncs, sinceMs: nowMs };
    return nowMs - this.#lastSync.sinceMs;
  }

  /** This process was suspended: that time does not count against the disk. */
  onSleep(suspendedMs: number): void {
    if (this.#lastSync !== undefined) this.#lastSync.sinceMs += suspendedMs;
  }
}
