/** Sizes of simulated systems, and the time bounds that the invariants check. */

/** Time bounds that the invariants check. */
export const BOUNDS = {
  /** A machine counts as in contact after it has been connected and undisturbed for this long. */
  contactMs: 3000,
  /** A configuration is in force on machines in contact this long after its acknowledgement. */
  applyMs: 2000,
  /** A valid order is acknowledged within this time while the cores are settled. */
  ackMs: 4000,
  /** No request goes to a draining worker this long after the list has shown it as draining. */
  drainMs: 3000,
  /** A core still counts as lost this long after its return. */
  catchUpMs: 4000,
  /** Maximum lag of the operators' list of cores. */
  seedLagMs: 2000,
} as const;

/** Size of a simulated system. */
export interface SystemSize {
  readonly cores: number;
  /** Number of cores that may be lost at once. */
  readonly lossesBorne: number;
  readonly edges: number;
  readonly workers: number;
  readonly models: number;
  readonly zones: readonly string[];
  /** Tick interval of the processes; without it, each kind of process uses its default interval. */
  readonly heartbeatMs?: number;
}

/** A small system: three cores that tolerate the loss of one. */
export const SMALL_SYSTEM: SystemSize = {
  cores: 3,
  lossesBorne: 1,
  edges: 3,
  workers: 5,
  models: 12,
  zones: ['north', 'east', 'west'],
};
