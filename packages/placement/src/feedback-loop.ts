/** A proportional-integral controller, used by the placement of both systems. */

/** Settings of one feedback loop. */
export interface LoopSettings {
  /** Proportional gain. */
  readonly gain: number;
  /** Integral gain a second. */
  readonly integralPerS: number;
  /** Bounds of the output. */
  readonly min: number;
  readonly max: number;
  /** The output moves by no more than this factor in a second. */
  readonly stepPerS: number;
  /** Errors smaller than this are ignored. */
  readonly deadBand: number;
}

/**
 * A proportional-integral controller. Its output is bounded and changes in bounded steps, and the integral is
 * held while the output is at a bound, so that it does not wind up.
 * @example
 * const loop = new Loop({ gain: 1, integralPerS: 0.2, min: 0.25, max: 4, stepPerS: 0.5, deadBand: 0.05 });
 * loop.move(1.5, 1); // an output above 1: measured is 1.5 times the set point
 */
export class Loop {
  #settings: LoopSettings;
  #integral = 0;
  #output = 1;

  constructor(settings: LoopSettings) {
    this.#settings = settings;
  }

  get output(): number {
    return this.#output;
  }

  /** Updates the output by the ratio of the measured value to the set point over `elapsedS` seconds. */
  move(ratio: number, elapsedS: number): number {
    const { gain, integralPerS, min, max, stepPerS, deadBand } = this.#settings;
    const raw = Math.log(Math.max(ratio, 0.01));
    const error = Math.abs(raw) < deadBand ? 0 : Math.max(-1, Math.min(1, raw));
    const desired = Math.exp(gain * error + this.#integral);
    const bounded = Math.max(min, Math.min(max, desired));
    const saturated = (desired > max && error > 0) || (desired < min && error < 0);
    if (!saturated) this.#integral += integralPerS * error * elapsedS;
    if (error === 0) this.#integral *= Math.max(0, 1 - 0.05 * elapsedS);
    const step = 1 + stepPerS * elapsedS;
    this.#output = Math.max(this.#output / step, Math.min(this.#output * step, bounded));
    return this.#output;
  }
}
