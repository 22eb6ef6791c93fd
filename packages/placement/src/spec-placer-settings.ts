/** Set points and bounds of the placement of the research groups' deployment. */

/** Set points and bounds of placement. */
export interface SpecPlacerSettings {
  /** Demand that one copy of a model should carry, in arrivals a second for each slot. */
  readonly perSlotPerS: number;
  /** A copy is added only above this multiple of the set point. */
  readonly addCopyAbove: number;
  /** A copy is removed only below this multiple of the set point. */
  readonly removeCopyBelow: number;
  /** Maximum number of evictions in one step. */
  readonly steps: number;
  /** Maximum number of placements into free memory in one step. */
  readonly fillBudget: number;
  /** Minimum time before a copy is moved again, in milliseconds. */
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
