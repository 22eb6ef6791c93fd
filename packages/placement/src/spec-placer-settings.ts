/** Set points of the placement of the research groups' deployment. */

/** Set points of placement. */
export interface SpecPlacerSettings {
  /** Demand that one copy of a model should carry, in arrivals a second and slot. */
  readonly perSlotPerS: number;
  /** A copy more only above this multiple of the set point. */
  readonly addCopyAbove: number;
  /** A copy less only below this multiple. */
  readonly removeCopyBelow: number;
  /** Changes decided in one step that take something away from a worker. */
  readonly steps: number;
  /** Changes decided in one step that only fill free room. */
  readonly fillBudget: number;
  /** No copy is moved again before this, in milliseconds. */
  readonly dwellMs: number;
}

/** The default set points and bounds. */
export const SPEC_PLACER_SETTINGS: SpecPlacerSettings = {
  perSlotPerS: 0.5,
  addCopyAbove: 1.2,
  removeCopyBelow: 0.4,
  steps: 2,
  fillBudget: 24,
  dwellMs: 5000,
};
