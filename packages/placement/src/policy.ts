/**
 * All settings of how placement decides, in one place. Mechanisms read them from here and hold none of their own, so
 * that one can be changed or switched off in a line; what each is worth stands in docs/policy.md. Times that depend
 * on a deployment are given in parts of the time of a load, which the configuration says or which is observed.
 */
import type { LoopSettings } from './feedback-loop.js';

/** How many copies of a model its use asks for. */
export interface CopyPolicy {
  /** What runs and waits at once is averaged over this time. */
  readonly smoothingMs: number;
  /** Averages from which the trend is taken, in parts of the time of a load; they go over the least times at least. */
  readonly shortWindowLoads: number;
  readonly longWindowLoads: number;
  readonly minShortWindowMs: number;
  readonly minLongWindowMs: number;
  /** The trend is followed so many loads ahead; 0 switches it off. */
  readonly trendHorizonLoads: number;
  /** No more than this many times what runs and waits lately is expected. */
  readonly maxGrowth: number;
  /** Copies are given up as slowly as this, so that a wave of demand does not move them to and fro. */
  readonly peakDecayMs: number;
  /** Part of a worker's slots that its copies should have in use: the set point of the copies' loop. */
  readonly targetSlotUtilization: number;
  /** The same in requests at once, whatever the slots: reading prompts binds before slots do. */
  readonly targetInFlight: number;
  /** Where the wait for the first word should be, in parts of the target. */
  readonly targetWaitRatio: number;
  /** Rarely asked models say too little to steer by. */
  readonly minControlledPerS: number;
  readonly controller: LoopSettings;
  readonly controlIntervalMs: number;
  /** A further copy is wanted only this much beyond the set point, in copies. */
  readonly deadBand: number;
}

/** Which copy is loaded first, and what it may displace. */
export interface NeedPolicy {
  /** Worth of a first copy; it grows while its model is asked for in vain, until it displaces even what is in use. */
  readonly firstCopyValue: number;
  readonly waitValuePerLoad: number;
  readonly maxWaitValue: number;
  /** Waiting for as long as one load takes counts like so many requests that wait. */
  readonly urgencyPerLoad: number;
  /** What a request counts that comes while its model is loaded and cannot wait for that; 0 switches it off. */
  readonly lostRequestWeight: number;
  readonly furtherCopyValue: number;
  /** Copies that carry so many times their set point are helped before others' idle ones. */
  readonly overloadRatio: number;
  readonly overloadedValue: number;
}

/** What a copy is worth where it stands; it gives way to a need that is worth more. */
export interface EvictionPolicy {
  /** A model that was used so lately is likely to be asked for again at once. */
  readonly recentUseMs: number;
  /** A copy of another model gives way if what its others then carry is this part of what the needy carry. */
  readonly maxVictimLoadRatio: number;
  /** Copies that are left may carry so many times their set point when one makes room for a first copy. */
  readonly maxRemainingLoadRatio: number;
  /** The last use of a model whose requests can wait for a load counts this part of another's; 1 switches it off. */
  readonly delayTolerantRecencyWeight: number;
  /** Requests can wait for a load if their target latency is this many times the load's time. */
  readonly delayTolerantTargetLoads: number;
  /** Demand is watched for so many loads before it is known which copies are too many; 0 switches it off. */
  readonly observationLoads: number;
  readonly value: Readonly<Record<CopyStatus, number>>;
}

/** The state of a copy that might give way, the least worth first. */
export type CopyStatus =
  | 'retired'
  | 'surplus'
  | 'surplusActive'
  | 'idle'
  /** Added to `idle` for a model that was used just now; less the longer that is ago. */
  | 'recentUseBonus'
  | 'lessLoaded'
  | 'unobserved'
  | 'removableForFirstCopy'
  | 'justUsed'
  | 'further'
  | 'furtherForFirstCopy'
  | 'active'
  | 'newlyLoaded';

/** All settings of placement. */
export interface PlacementPolicy {
  readonly copies: CopyPolicy;
  readonly needs: NeedPolicy;
  readonly eviction: EvictionPolicy;
}

/** The policy that is in force. */
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
