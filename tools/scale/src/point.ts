import type { Size } from './site.js';

/** What one process of a role used over a phase. */
export interface RoleUse {
  /** Processor time per second, in milliseconds. */
  readonly cpuMsPerS: number;
  readonly rssMb: number;
}

/** How long things took, in milliseconds. */
export interface Times {
  readonly count: number;
  readonly middle: number;
  readonly most: number;
}

/** Frames and bytes a second of one follower, by the kind of core it speaks with. */
export interface FollowerTraffic {
  readonly framesOut: number;
  readonly framesIn: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
}

/** One phase as every one is measured. */
export interface Phase {
  readonly windowMs: number;
  readonly coordinator: RoleUse;
  readonly otherCore: RoleUse;
  readonly edge: RoleUse;
  /** All hollow followers, each. */
  readonly hollow: RoleUse;
  readonly withCoordinator: FollowerTraffic;
  readonly withOthers: FollowerTraffic;
  /** Processors in use by all processes of the run together. */
  readonly processors: number;
}

/** What was measured at one size. */
export interface Point {
  readonly size: Size;
  readonly stateBytes: number;
  readonly listBytes: number;
  readonly diskBytes: number;
  /** Processor time of one choice of a worker at an edge, in microseconds. */
  readonly chooseUs: number;
  readonly join: {
    readonly settled: boolean;
    readonly times: Times;
    readonly tableBytes: number;
    readonly coordinatorCpuMs: number;
    readonly phase: Phase;
  };
  readonly quiet: Phase & { readonly groupFramesInPerS: number | undefined };
  readonly loads: Phase & {
    readonly askedPerS: number;
    readonly orders: number;
    readonly reports: number;
    readonly placed: Times;
    readonly tellsWithRows: number;
    readonly tellBytes: number;
    readonly rows: number;
  };
  readonly changes: Phase & {
    readonly factor: number;
    readonly made: number;
    readonly agreed: Times;
    readonly held: Times;
    readonly heldByAll: boolean;
    readonly stateTells: number;
    readonly stateBytes: number;
  };
  readonly restarts: Phase & {
    readonly factor: number;
    readonly made: number;
    readonly join: Times;
    readonly wholes: number;
    /** Tables that followers came to hold anew: one for each restart, and one each where another core came to coordinate. */ readonly taken: number;
  };
  readonly zone: {
    readonly settled: boolean;
    readonly rows: number;
    readonly heldMs: number;
    readonly bytes: number;
  };
  readonly parted: {
    readonly followers: number;
    readonly uninformedMs: number;
    readonly currentMs: number;
    readonly settled: boolean;
  };
  readonly killedEdge: { readonly settled: boolean; readonly knownMs: number };
  readonly killedCoordinator: {
    readonly settled: boolean;
    readonly leadsMs: number;
    readonly knownMs: number;
    readonly tableMs: number;
    readonly tables: number;
    readonly wholes: number;
    readonly wholeBytes: number;
  };
  readonly mostRssMb: number;
}

/** A size at which not every follower came to hold what the cores hold, within a minute after the last one started. */
export type Unsettled = Pick<Point, 'size' | 'join' | 'mostRssMb'>;

/**
 * Middle and largest of some times.
 * @example
 * timesOf([1, 2, 9]).most; // 9
 */
export function timesOf(values: readonly number[]): Times {
  const sorted = [...values].sort((one, other) => one - other);
  return {
    count: sorted.length,
    middle: sorted[Math.floor(sorted.length / 2)] ?? 0,
    most: sorted.at(-1) ?? 0,
  };
}

/** The letter's size. */
export const REFERENCE = {
  nodes: 870,
  rows: 7300,
  models: 400,
  adapters: 4500,
  loadsPerH: 12_000,
  changesPerDay: 10_000,
  restartsPerDay: 845,
  budget: { cpuMsPerS: 10, rssMb: 32, bytesPerS: 6000, changeMs: 7000 },
} as const;
