/** Sizes of simulated systems and the bounds that the rules set. */

/** The bounds that the rules set. */
export const BOUNDS = {
  /** A machine is in touch once it has been connected for so long. */
  contactMs: 3000,
  /** A configuration is in force on machines in touch so long after its acknowledgement. */
  applyMs: 2000,
  /** A valid order is acknowledged within this time while the core is settled. */
  ackMs: 4000,
  /** No request goes to a draining worker so long after the list has shown it. */
  drainMs: 3000,
  /** A core that is back counts as lost for so long. */
  catchUpMs: 4000,
  /** The operators' list of cores lags by no more. */
  seedLagMs: 2000,
} as const;

/** Size of a simulated system. */
export interface SystemSize {
  readonly cores: number;
  readonly lossesBorne: number;
  readonly edges: number;
  readonly workers: number;
  readonly models: number;
  readonly zones: readonly string[];
  /** How often processes heartbeat; as the programs do without it. */
  readonly heartbeatMs?: number;
}

/** A small system: three cores that bear the loss of one. */
export const SMALL_SYSTEM: SystemSize = {
  cores: 3,
  lossesBorne: 1,
  edges: 3,
  workers: 5,
  models: 12,
  zones: ['north', 'east', 'west'],
};
