import type { Demand } from './demand-totals.js';
import type { Engine } from './engine.js';
import { Loop } from './loop.js';
import { PLACEMENT_POLICY } from './policy.js';

const POLICY = PLACEMENT_POLICY.copies;

/** How many copies of a model its use asks for. */
export interface CopyTarget {
  /** Copies that its requests need now; one more is loaded below this. */
  readonly wanted: number;
  /** Copies that it may keep; one is given up beyond this. */
  readonly kept: number;
  /** Requests that ran and waited at once, lately. */
  readonly recent: number;
  /** The same by the time at which a load that begins now will be done, if the trend of its use goes on. */
  readonly expected: number;
  /** Requests that one copy should have at once. */
  readonly each: number;
}

/** How much of a model runs and waits at once. */
interface Concurrency {
  /** Lately. */
  recent: number;
  /** Over about a quarter of the time of a load, and over all of it: their difference is the trend. */
  short: number;
  long: number;
  /** At its height, which is forgotten slowly. */
  height: number;
  atMs: number;
}

/**
 * Follows the use of each model, and says how many copies it needs.
 * @example
 * copies.targetOf(engine, 'model-1', demand, nowMs).wanted;
 */
export class CopyDemand {
  #concurrency = new Map<string, Concurrency>();
  #loops = new Map<string, { readonly loop: Loop; atMs: number }>();

  targetOf(engine: Engine, model: string, demand: Demand, nowMs: number): CopyTarget {
    const key = `${engine.service}/${model}`;
    const loadMs = engine.models.get(model)?.loadMs ?? 0;
    const concurrency = this.#smooth(key, demand.inFlight + demand.waiting, loadMs, nowMs);
    const { recent } = concurrency;
    const expected = expectedIn(loadMs, concurrency);
    concurrency.height = Math.max(concurrency.height, expected);
    const atSetPoint = Math.max(1, Math.min(POLICY.runsWanted, engine.slots * POLICY.slotsWanted));
    const each = atSetPoint / this.#steer(key, demand, nowMs);
    return {
      wanted: Math.ceil(expected / each - POLICY.deadBand),
      kept: Math.ceil(concurrency.height / each),
      recent,
      expected,
      each,
    };
  }

  /** Requests for a model that ran and waited at once, lately. */
  recent(engine: Engine, model: string): number {
    return this.#concurrency.get(`${engine.service}/${model}`)?.recent ?? 0;
  }

  #smooth(key: string, now: number, loadMs: number, nowMs: number): Concurrency {
    const known = this.#concurrency.get(key) ?? {
      recent: now,
      short: now,
      long: now,
      height: now,
      atMs: nowMs,
    };
    this.#concurrency.set(key, known);
    const passedMs = nowMs - known.atMs;
    const { shortMs, longMs } = averagedOver(loadMs);
    known.recent += (now - known.recent) * (1 - Math.exp(-passedMs / POLICY.smoothMs));
    known.short += (now - known.short) * (1 - Math.exp(-passedMs / shortMs));
    known.long += (now - known.long) * (1 - Math.exp(-passedMs / longMs));
    known.height = Math.max(known.recent, known.height * Math.exp(-passedMs / POLICY.heightMs));
    known.atMs = nowMs;
    return known;
  }

  /** How many times its copies a model needs, by how promptly workers take up its requests. */
  #steer(key: string, demand: Demand, nowMs: number): number {
    const known = this.#loops.get(key) ?? { loop: new Loop(POLICY.loop), atMs: nowMs };
    this.#loops.set(key, known);
    const passedMs = nowMs - known.atMs;
    if (passedMs >= POLICY.loopMs) {
      known.atMs = nowMs;
      const pressure = demand.perS < POLICY.steeredPerS ? 0 : demand.pressed / demand.perS;
      if (pressure > 0) known.loop.move(pressure / POLICY.pressureWanted, Math.min(1, passedMs / 1000));
    }
    return known.loop.output;
  }
}

function averagedOver(loadMs: number): { shortMs: number; longMs: number } {
  return {
    shortMs: Math.max(POLICY.leastShortMs, loadMs * POLICY.shortPart),
    longMs: Math.max(POLICY.leastLongMs, loadMs * POLICY.longPart),
  };
}

/** What will run and wait when a load that begins now is done. A fall is not expected: it is waited for. */
function expectedIn(loadMs: number, { recent, short, long }: Concurrency): number {
  const { shortMs, longMs } = averagedOver(loadMs);
  const risePerMs = Math.max(0, (short - long) / (longMs - shortMs));
  return Math.max(
    recent,
    Math.min(POLICY.expectedMost * recent, short + risePerMs * loadMs * POLICY.trendLoads),
  );
}
