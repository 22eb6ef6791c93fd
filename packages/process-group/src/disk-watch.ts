/** Whether this node's own disk still syncs what is written to it. */
import type { Acceptor } from './acceptor.js';

/**
 * Notices a disk that has synced nothing for too long though writes wait.
 * @example
 * const diskWatch = new DiskWatch(acceptor, 4000);
 * if (diskWatch.isStalled(nowMs)) leaveTheView();
 */
export class DiskWatch {
  #acceptor: Acceptor | undefined;
  #mostMs: number;
  /** When the disk last synced something, while writes are waiting. */
  #lastSync: { syncs: number; sinceMs: number } | undefined;

  constructor(acceptor: Acceptor | undefined, mostMs: number) {
    this.#acceptor = acceptor;
    this.#mostMs = mostMs;
  }

  isStalled(nowMs: number): boolean {
    const acceptor = this.#acceptor;
    if (acceptor === undefined || !acceptor.busy) {
      this.#lastSync = undefined;
      return false;
    }
    if (this.#lastSync?.syncs !== acceptor.syncs) this.#lastSync = { syncs: acceptor.syncs, sinceMs: nowMs };
    return nowMs - this.#lastSync.sinceMs > this.#mostMs;
  }

  /** This process was away: the disk is not to blame for that time. */
  slept(awayMs: number): void {
    if (this.#lastSync !== undefined) this.#lastSync.sinceMs += awayMs;
  }
}
