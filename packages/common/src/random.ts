/** Random sources, passed in as dependencies so that a run can be repeated from its seed. */

/** A source of numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/**
 * A seeded pseudo-random generator: the same seed gives the same sequence.
 * @example
 * new SeededRandom(7).next() === new SeededRandom(7).next(); // true
 */
export class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
}

/**
 * A random id of 12 hexadecimal digits, used for incarnations, disk ids and operation ids.
 * @example
 * randomId(new SeededRandom(1)).length; // 12
 */
export function randomId(random: RandomSource): string {
  let text = '';
  for (let digit = 0; digit < 12; digit += 1) text += Math.floor(random.next() * 16).toString(16);
  return text;
}

/**
 * Random bytes; they are only as unpredictable as the given source.
 * @example
 * randomBytes(new SeededRandom(1), 32).length; // 32
 */
export function randomBytes(random: RandomSource, count: number): Uint8Array {
  return Uint8Array.from({ length: count }, () => Math.floor(random.next() * 256));
}
