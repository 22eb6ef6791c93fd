/** Timings of the group, in milliseconds. */
export interface GroupTimes {
  readonly heartbeatMs: number;
  readonly helloMs: number;
  readonly suspectMs: number;
  readonly pauseMs: number;
  readonly leaseMs: number;
  readonly graceMs: number;
  readonly flushMs: number;
  readonly resendMs: number;
  readonly voterReplacementMs: number;
  readonly resignMs: number;
  readonly maxLagMs: number;
}

/** The defaults; the bounds of the brief are met with these. */
export const GROUP_TIMES: GroupTimes = {
  heartbeatMs: 200,
  helloMs: 250,
  suspectMs: 1500,
  pauseMs: 400,
  leaseMs: 1000,
  graceMs: 250,
  flushMs: 1500,
  resendMs: 250,
  voterReplacementMs: 4000,
  resignMs: 3000,
  maxLagMs: 4000,
};

/** The times of cores on a platform: a lost core is replaced before it counts as lost no more. */
export const PLATFORM_TIMES: GroupTimes = {
  ...GROUP_TIMES,
  voterReplacementMs: 1500,
  suspectMs: 900,
  leaseMs: 600,
  helloMs: 100,
  graceMs: 100,
};
