/** Timings of a group. */

/** Timings of the group, in milliseconds. */
export interface GroupTimes {
  /** Between two heartbeats to a member. */
  readonly heartbeatMs: number;
  /** Between two greetings of the known addresses. */
  readonly helloMs: number;
  /** A member or coordinator not heard of for so long is suspected; a candidacy that takes longer is given up. */
  readonly suspectMs: number;
  /** A tick that comes so late means that this process was suspended. */
  readonly pauseMs: number;
  /** How long a lease lasts, from the moment the acknowledged heartbeat was sent. */
  readonly leaseMs: number;
  /** How long a view change is wanted before it starts, so that several changes go together. */
  readonly graceMs: number;
  /** How long members may take to flush; who takes longer is left out of the next view. */
  readonly flushMs: number;
  /** Between two sends of a request that is not answered. */
  readonly resendMs: number;
  /** A voter that cannot be reached for so long is replaced. */
  readonly voterReplacementMs: number;
  /** A coordinator without a lease for so long resigns. */
  readonly resignMs: number;
  /** How long an ordered message may wait for its acknowledgement, or a member's disk for a sync. */
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

/** The timings of cores on a platform, where a lost core is to be replaced within seconds. */
export const PLATFORM_TIMES: GroupTimes = {
  ...GROUP_TIMES,
  voterReplacementMs: 1500,
  suspectMs: 900,
  leaseMs: 600,
  helloMs: 100,
  graceMs: 100,
};
