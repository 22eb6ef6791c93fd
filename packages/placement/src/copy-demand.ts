import type { Demand } from './demand-totals.js';
import type { StockEngine } from './engine.js';
import { Loop, type LoopSettings } from './loop.js';

/** How many copies of a model its use asks for. */
export interface CopyTarget {
  /** Copies that its requests need now; one more is loaded below this. */
  readonly wanted: number;
  /** Copies that it may keep; one is given up beyond this. */
  readonly kept: number;
  /** Requests that ran and waited at once, lately. */
  readonly recent: number;
  /** Requests that one copy should have at once. */
  readonly each: number;
}

/** How much of a model runs and waits at once: lately, and at its height, which is forgotten slowly. */
interface Concurrency {
  recent: number;
  height: number;
  atMs: number;
}

const SMOOTH_MS = 400;
/** Copies are given up as slowly as this, so that a wave of demand does not move them to and fro. */
const HEIGHT_MS = 6000;
/** Part of a worker's slots that its copies should have in use: the set point of the copies' loop. */
const SLOTS_WANTED = 0.2;
/** Whatever the slots: reading prompts binds before slots do. */
const RUNS_WANTED = 7;
/** Where the wait for the first word should be, in parts of the target. */
const PRESSURE_WANTED = 0.2;
/** Rarely asked models say too little to steer by. */
const STEERED_PER_S = 3;
const COPIES_LOOP: LoopSettings = {
  gain: 0.4,
  integralPerS: 0.15,
  least: 0.6,
  most: 2.5,
  stepPerS: 0.8,
  deadBand: 0.25,
};
const LOOP_MS = 200;
/** A further copy is wanted only this much beyond the set point, in copies. */
const DEAD_BAND = 0.15;

/**
 * Follows the use of each model, and says how many copies it needs.
 * @example
 * copies.targetOf(engine, 'model-1', demand, nowMs).wanted;
 */
export class CopyDemand {
  #concurrency = new Map<string, Concurrency>();
  #loops = new Map<string, { readonly loop: Loop; atMs: number }>();

  targetOf(engine: StockEngine, model: string, demand: Demand, nowMs: number): CopyTarget {
    const key = `${engine.service}/${model}`;
    const { recent, height } = this.#smooth(key, demand.inFlight + demand.waiting, nowMs);
    const atSetPoint = Math.max(1, Math.min(RUNS_WANTED, engine.slots * SLOTS_WANTED));
    const each = atSetPoint / this.#steer(key, demand, nowMs);
    return { wanted: Math.ceil(recent / each - DEAD_BAND), kept: Math.ceil(height / each), recent, each };
  }

  /** Requests for a model that ran and waited at once, lately. */
  recent(engine: StockEngine, model: string): number {
    return this.#concurrency.get(`${engine.service}/${model}`)?.recent ?? 0;
  }

  #smooth(key: string, now: number, nowMs: number): Concurrency {
    const known = this.#concurrency.get(key) ?? { recent: now, height: now, atMs: nowMs };
    this.#concurrency.set(key, known);
    const passedMs = nowMs - known.atMs;
    known.recent += (now - known.recent) * (1 - Math.exp(-passedMs / SMOOTH_MS));
    known.height = Math.max(known.recent, known.height * Math.exp(-passedMs / HEIGHT_MS));
    known.atMs = nowMs;
    return known;
  }

  /** How many times its copies a model needs, by how promptly workers take up its requests. */
  #steer(key: string, demand: Demand, nowMs: number): number {
    const known = this.#loops.get(key) ?? { loop: new Loop(COPIES_LOOP), atMs: nowMs };
    this.#loops.set(key, known);
    const passedMs = nowMs - known.atMs;
    if (passedMs >= LOOP_MS) {
      known.atMs = nowMs;
      const pressure = demand.perS < STEERED_PER_S ? 0 : demand.pressed / demand.perS;
      if (pressure > 0) known.loop.move(pressure / PRESSURE_WANTED, Math.min(1, passedMs / 1000));
    }
    return known.loop.output;
  }
}
