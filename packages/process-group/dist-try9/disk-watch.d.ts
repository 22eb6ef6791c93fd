/** Whether this node's own disk still syncs what is written to it. */
import type { Acceptor } from './acceptor.js';
import type { GroupTimes } from './times.js';
/**
 * Notices a disk that has synced nothing for too long though writes wait.
 * @example
 * const diskWatch = new DiskWatch(acceptor, times);
 * if (diskWatch.isStalled(nowMs, true)) leaveTheView();
 */
export declare class DiskWatch {
    #private;
    constructor(acceptor: Acceptor | undefined, times: GroupTimes);
    /**
     * Whether this node has to be without its disk for now: a member leaves the
     * view then. Outside a view, where others may wait for its claim, it is silent
     * sooner.
     */
    isStalled(nowMs: number, inView: boolean): boolean;
    /** Whether the disk holds up this node's own promise: then the next voter claims. */
    isSlow(nowMs: number): boolean;
    /** This process was away: the disk is not to blame for that time. */
    slept(awayMs: number): void;
}
