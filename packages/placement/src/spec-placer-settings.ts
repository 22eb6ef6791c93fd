/** Set points of the placement of the research groups' deployment. */

/** Set points of placement. */
export interface SpecPlacerSettings {
  /** Demand that one copy of a model should carry, in arrivals a second and slot. */
  readonly perSlotPerS: number;
  /** A copy more only above this multiple of the set point. */
  readonly above: number;
  /** A copy less only below this multiple. */
  readonly below: number;
  /** Changes decided in one step that take something away from a worker. */
  readonly steps: number;
  /** Changes decided in one step that only fill free room. */
  readonly fills: number;
  /** No copy is moved again before this, in milliseconds. */
  readonly restMs: number;
}

/** The default set points and bounds. */
export const SPEC_PLACER_SETTINGS: SpecPlacerSettings = {
  perSlotPerS: 0.5,
  above: 1.2,
  below: 0.4,
  steps: 2,
  fills: 24,
  restMs: 5000,
};
