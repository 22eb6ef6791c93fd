/**
 * All tunable parameters of placement on the platform system. The mechanisms read them from here and define
 * none of their own, so that each can be changed or switched off in one line; docs/policy.md states the
 * effect of each. Times that depend on the deployment are multiples of the load time of a model, which is
 * configured or observed.
 */
import type { LoopSettings } from './feedback-loop.js';

/** Determines how many copies a model needs for its load. */
export interface CopyPolicy {
  /** Time constant of the moving average of the running and waiting requests of a model. */
  readonly smoothingMs: number;
  /**
   * Windows of the two averages that give the trend, in multiples of the load time, with lower bounds below.
   */
  readonly shortWindowLoads: number;
  readonly longWindowLoads: number;
  readonly minShortWindowMs: number;
  readonly minLongWindowMs: number;
  /** The trend is extrapolated this many load times ahead; 0 switches it off. */
  readonly trendHorizonLoads: number;
  /** Upper bound of the forecast, as a multiple of the recent average. */
  readonly maxGrowth: number;
  /**
   * Decay time of the peak that copies are retained for, so that oscillating demand does not move copies
   * around.
   */
  readonly peakDecayMs: number;
  /** Fraction of a worker's slots that one copy should use: the set point of the number of copies. */
  readonly targetSlotUtilization: number;
  /**
   * Upper bound of that set point in concurrent requests: prompt processing saturates before the slots do.
   */
  readonly targetInFlight: number;
  /** Set point of the wait for the head of a response, as a ratio of the target latency. */
  readonly targetWaitRatio: number;
  /** Models with fewer arrivals a second give too few samples for the controller, which then stays idle. */
  readonly minControlledPerS: number;
  readonly controller: LoopSettings;
  readonly controlIntervalMs: number;
  /** A further copy is needed only if the forecast exceeds the set point by this much, in copies. */
  readonly deadBand: number;
}

/** Determines which copy is loaded first, and the value up to which it may evict other copies. */
export interface NeedPolicy {
  /**
   * Value of a first copy. It grows while requests go unserved, until it exceeds the value of copies in use.
   */
  readonly firstCopyValue: number;
  readonly waitValuePerLoad: number;
  readonly maxWaitValue: number;
  /** A model that was unserved for one load time counts like this many waiting requests. */
  readonly urgencyPerLoad: number;
  /** Weight of a request that arrives during the load and cannot wait for its end; 0 switches it off. */
  readonly lostRequestWeight: number;
  readonly furtherCopyValue: number;
  /**
   * Copies that carry this multiple of their set point are overloaded: their need outranks other models' idle
   * copies.
   */
  readonly overloadRatio: number;
  readonly overloadedValue: number;
}

/** Determines the value of a loaded copy; a need of a higher value evicts it. */
export interface EvictionPolicy {
  /** A model that was used within this time is likely to be requested again at once. */
  readonly recentUseMs: number;
  /**
   * A copy may be evicted for another model's need if its other copies then carry at most this ratio of the
   * need's load.
   */
  readonly maxVictimLoadRatio: number;
  /** The remaining copies may carry this multiple of their set point when one is evicted for a first copy. */
  readonly maxRemainingLoadRatio: number;
  /** Weight of the recency of use of a model whose requests can wait for a load; 1 switches it off. */
  readonly delayTolerantRecencyWeight: number;
  /** Requests can wait for a load if their target latency is at least this multiple of the load time. */
  readonly delayTolerantTargetLoads: number;
  /** Demand is observed for this many load times before copies count as surplus; 0 switches it off. */
  readonly observationLoads: number;
  readonly value: Readonly<Record<CopyStatus, number>>;
}

/** The status of a copy that may be evicted, the lowest value first. */
export type CopyStatus =
  | 'retired'
  | 'surplus'
  | 'surplusActive'
  | 'idle'
  /** Added to `idle`, decreasing with the time since the last use of the model. */
  | 'recentUseBonus'
  | 'lessLoaded'
  | 'unobserved'
  | 'removableForFirstCopy'
  | 'justUsed'
  | 'further'
  | 'furtherForFirstCopy'
  | 'active'
  | 'newlyLoaded';

/** All parameters of placement. */
export interface PlacementPolicy {
  readonly copies: CopyPolicy;
  readonly needs: NeedPolicy;
  readonly eviction: EvictionPolicy;
}

/** The policy in force. */
export const PLACEMENT_POLICY: PlacementPolicy = {
  copies: {
    smoothingMs: 400,
    shortWindowLoads: 0.25,
    longWindowLoads: 1,
    minShortWindowMs: 400,
    minLongWindowMs: 1600,
    trendHorizonLoads: 1,
    maxGrowth: 2,
    peakDecayMs: 6000,
    targetSlotUtilization: 0.2,
    targetInFlight: 7,
    targetWaitRatio: 0.2,
    minControlledPerS: 3,
    controller: { gain: 0.4, integralPerS: 0.15, min: 0.6, max: 2.5, stepPerS: 0.8, deadBand: 0.25 },
    controlIntervalMs: 200,
    deadBand: 0.15,
  },
  needs: {
    firstCopyValue: 8,
    waitValuePerLoad: 1.5,
    maxWaitValue: 6,
    urgencyPerLoad: 3,
    lostRequestWeight: 1,
    furtherCopyValue: 4,
    overloadRatio: 1.6,
    overloadedValue: 7.6,
  },
  eviction: {
    recentUseMs: 400,
    maxVictimLoadRatio: 0.7,
    maxRemainingLoadRatio: 1.6,
    delayTolerantRecencyWeight: 0.1,
    delayTolerantTargetLoads: 1.2,
    observationLoads: 2,
    value: {
      retired: 0.5,
      surplus: 1,
      surplusActive: 1.5,
      idle: 2,
      recentUseBonus: 2,
      lessLoaded: 3.5,
      unobserved: 5,
      removableForFirstCopy: 6,
      justUsed: 7.5,
      further: 9,
      furtherForFirstCopy: 9.5,
      active: 12,
      newlyLoaded: 15,
    },
  },
};
