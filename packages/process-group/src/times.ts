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
export const GROUP_TIMES: GroupTimes = {
  heartbeatMs: 200,
  helloMs: 250,
  suspectMs: 1500,
  pauseMs: 400,
  grantMs: 1000,
  graceMs: 250,
  flushMs: 1500,
  resendMs: 250,
  replaceMs: 4000,
  resignMs: 3000,
  lagMs: 4000,
};

/** The times of cores on a platform: a lost core is replaced before it counts as lost no more. */
export const PLATFORM_TIMES: GroupTimes = {
  ...GROUP_TIMES,
  replaceMs: 1500,
  suspectMs: 900,
  grantMs: 600,
  helloMs: 100,
  graceMs: 100,
};
