/** The timings of a group, and their default values. */

/** Timings of the group, in milliseconds. */
export interface GroupTimes {
  /** Interval between heartbeats to a member. */
  readonly heartbeatMs: number;
  /** Interval between greetings to the known addresses. */
  readonly helloMs: number;
  /** Silence after which a member or coordinator is suspected; a candidacy that takes longer is given up. */
  readonly suspectMs: number;
  /** A longer gap between two ticks means that this process was suspended. */
  readonly pauseMs: number;
  /** Duration of a lease, counted from the sending of the acknowledged heartbeat. */
  readonly leaseMs: number;
  /** Delay before a pending view change starts, so that several changes are made together. */
  readonly graceMs: number;
  /** Time that members have to flush; a member that takes longer is left out of the next view. */
  readonly flushMs: number;
  /** Interval at which an unanswered request is sent again. */
  readonly resendMs: number;
  /** Time after which an unreachable voter is replaced. */
  readonly voterReplacementMs: number;
  /** Time without a lease after which a coordinator resigns. */
  readonly resignMs: number;
  /** Time that an ordered message may wait for its acknowledgement, or a member's disk for a sync. */
  readonly maxLagMs: number;
}

/** The default timings. */
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

/** The timings of cores on a platform, where a lost core has to be replaced within seconds. */
export const PLATFORM_TIMES: GroupTimes = {
  ...GROUP_TIMES,
  voterReplacementMs: 1500,
  suspectMs: 900,
  leaseMs: 600,
  helloMs: 100,
  graceMs: 100,
};
