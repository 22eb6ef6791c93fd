import type { Size } from './site.js';

/** Resources that one process of a role used during a phase. */
export interface RoleUse {
  /** Processor time per second, in milliseconds. */
  readonly cpuMsPerS: number;
  readonly rssMb: number;
}

/** Summary of durations, in milliseconds. */
export interface Times {
  readonly count: number;
  readonly middle: number;
  readonly most: number;
}

/** Frames and bytes per second that one follower exchanges with one kind of core. */
export interface FollowerTraffic {
  readonly framesOut: number;
  readonly framesIn: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
}

/** Measurements common to all phases. */
export interface Phase {
  readonly windowMs: number;
  readonly coordinator: RoleUse;
  readonly otherCore: RoleUse;
  readonly edge: RoleUse;
  /** Average of one simulated follower. */
  readonly hollow: RoleUse;
  readonly withCoordinator: FollowerTraffic;
  readonly withOthers: FollowerTraffic;
  /** Number of processors in use, summed over all processes of the run. */
  readonly processors: number;
}

/** Measurements at one fleet size. */
export interface Point {
  readonly size: Size;
  readonly stateBytes: number;
  readonly listBytes: number;
  readonly diskBytes: number;
  /** Processor time of one worker selection at an edge, in microseconds. */
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
    /** New tables at followers: one per restart, and one per follower when the coordinator changes. */ readonly taken: number;
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

/** A size at which some follower was not up to date with the cores a minute after the last one started. */
export type Unsettled = Pick<Point, 'size' | 'join' | 'mostRssMb'>;

/**
 * Median and maximum of some durations.
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

/** Size, load and budgets of the reference fleet that the requirements specify. */
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
