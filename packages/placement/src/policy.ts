/**
 * All settings of how placement decides, in one place. Mechanisms read them from here and hold none of their own, so
 * that one can be changed or switched off in a line; what each is worth stands in docs/policy.md. Times that depend
 * on a deployment are given in parts of the time of a load, which the configuration says or which is observed.
 */
import type { LoopSettings } from './loop.js';

/** How many copies of a model its use asks for. */
export interface CopyPolicy {
  /** What runs and waits at once is averaged over this time. */
  readonly smoothMs: number;
  /** Averages from which the trend is taken, in parts of the time of a load; they go over the least times at least. */
  readonly shortPart: number;
  readonly longPart: number;
  readonly leastShortMs: number;
  readonly leastLongMs: number;
  /** The trend is followed so many loads ahead; 0 switches it off. */
  readonly trendLoads: number;
  /** No more than this many times what runs and waits lately is expected. */
  readonly expectedMost: number;
  /** Copies are given up as slowly as this, so that a wave of demand does not move them to and fro. */
  readonly heightMs: number;
  /** Part of a worker's slots that its copies should have in use: the set point of the copies' loop. */
  readonly slotsWanted: number;
  /** The same in requests at once, whatever the slots: reading prompts binds before slots do. */
  readonly runsWanted: number;
  /** Where the wait for the first word should be, in parts of the target. */
  readonly pressureWanted: number;
  /** Rarely asked models say too little to steer by. */
  readonly steeredPerS: number;
  readonly loop: LoopSettings;
  readonly loopMs: number;
  /** A further copy is wanted only this much beyond the set point, in copies. */
  readonly deadBand: number;
}

/** Which copy is loaded first, and what it may displace. */
export interface NeedPolicy {
  /** Worth of a first copy; it grows while its model is asked for in vain, until it displaces even what is in use. */
  readonly firstWorth: number;
  readonly impatientPerLoad: number;
  readonly impatientMost: number;
  /** Waiting for as long as one load takes counts like so many requests that wait. */
  readonly urgencyPerLoad: number;
  /** What a request counts that comes while its model is loaded and cannot wait for that; 0 switches it off. */
  readonly lostCounts: number;
  readonly furtherWorth: number;
  /** Copies that carry so many times their set point are helped before others' idle ones. */
  readonly heavy: number;
  readonly heavyWorth: number;
}

/** What a copy is worth where it stands; it gives way to a need that is worth more. */
export interface KeepingPolicy {
  /** A model that was used so lately is likely to be asked for again at once. */
  readonly restMs: number;
  /** A copy of another model gives way if what its others then carry is this part of what the needy carry. */
  readonly givesWay: number;
  /** Copies that are left may carry so many times their set point when one makes room for a first copy. */
  readonly borne: number;
  /** The last use of a model whose requests can wait for a load counts this part of another's; 1 switches it off. */
  readonly patientPart: number;
  /** Requests can wait for a load if their target latency is this many times the load's time. */
  readonly patientLoads: number;
  /** Demand is watched for so many loads before it is known which copies are too many; 0 switches it off. */
  readonly watchedLoads: number;
  readonly value: Readonly<Record<KeptCopy, number>>;
}

/** The state of a copy that might give way, the least worth first. */
export type KeptCopy =
  | 'retired'
  | 'surplus'
  | 'surplusActive'
  | 'idle'
  /** Added to `idle` for a model that was used just now; less the longer that is ago. */
  | 'idleLately'
  | 'burdened'
  | 'unwatched'
  | 'spareForFirst'
  | 'rested'
  | 'further'
  | 'furtherForFirst'
  | 'active'
  | 'fresh';

/** All settings of placement. */
export interface PlacementPolicy {
  readonly copies: CopyPolicy;
  readonly needs: NeedPolicy;
  readonly keeping: KeepingPolicy;
}

/** The policy that is in force. */
export const PLACEMENT_POLICY: PlacementPolicy = {
  copies: {
    smoothMs: 400,
    shortPart: 0.25,
    longPart: 1,
    leastShortMs: 400,
    leastLongMs: 1600,
    trendLoads: 1,
    expectedMost: 2,
    heightMs: 6000,
    slotsWanted: 0.2,
    runsWanted: 7,
    pressureWanted: 0.2,
    steeredPerS: 3,
    loop: { gain: 0.4, integralPerS: 0.15, least: 0.6, most: 2.5, stepPerS: 0.8, deadBand: 0.25 },
    loopMs: 200,
    deadBand: 0.15,
  },
  needs: {
    firstWorth: 8,
    impatientPerLoad: 1.5,
    impatientMost: 6,
    urgencyPerLoad: 3,
    lostCounts: 1,
    furtherWorth: 4,
    heavy: 1.6,
    heavyWorth: 7.6,
  },
  keeping: {
    restMs: 400,
    givesWay: 0.7,
    borne: 1.6,
    patientPart: 0.1,
    patientLoads: 1.2,
    watchedLoads: 2,
    value: {
      retired: 0.5,
      surplus: 1,
      surplusActive: 1.5,
      idle: 2,
      idleLately: 2,
      burdened: 3.5,
      unwatched: 5,
      spareForFirst: 6,
      rested: 7.5,
      further: 9,
      furtherForFirst: 9.5,
      active: 12,
      fresh: 15,
    },
  },
};
