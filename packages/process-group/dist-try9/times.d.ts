/** Timings of the group, in milliseconds. */
export interface GroupTimes {
    readonly heartbeatMs: number;
    readonly helloMs: number;
    readonly suspectMs: number;
    readonly pauseMs: number;
    readonly grantMs: number;
    readonly graceMs: number;
    readonly flushMs: number;
    readonly resendMs: number;
    readonly replaceMs: number;
    readonly resignMs: number;
    readonly lagMs: number;
}
/** The defaults; the bounds of the brief are met with these. */
export declare const GROUP_TIMES: GroupTimes;
