/** Whether this node's own disk still syncs what is written to it. */
import type { Acceptor } from '../agreement/acceptor.js';
import type { GroupTimes } from '../times.js';

/**
 * Detects a disk that has not synced for too long while writes are pending.
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
   * Whether this node must go on without its disk for now. A member leaves the view then, and a node outside
   * a view sends no hellos and takes no part in elections. The limit is shorter outside a view, where other
   * nodes may be waiting for this node's candidacy.
   */
  isStalled(nowMs: number, inView: boolean): boolean {
    return inView ? this.waitMs(nowMs) > this.#times.maxLagMs : this.isSlow(nowMs);
  }

  /** Whether the disk delays this node's own promise; the next voter becomes the candidate then. */
  isSlow(nowMs: number): boolean {
    return this.waitMs(nowMs) > this.#times.suspectMs;
  }

  /** How long writes have been pending without a sync; 0 while none are pending. */
  waitMs(nowMs: number): number {
    const acceptor = this.#acceptor;
    if (acceptor === undefined || !acceptor.busy) {
      this.#lastSync = undefined;
      return 0;
    }
    if (this.#lastSync?.syncs !== acceptor.syncs) this.#lastSync = { syncs: acceptor.syncs, sinceMs: nowMs };
    return nowMs - this.#lastSync.sinceMs;
  }

  /** Excludes the time for which this process was suspended from the disk's wait. */
  onSleep(suspendedMs: number): void {
    if (this.#lastSync !== undefined) this.#lastSync.sinceMs += suspendedMs;
  }
}
