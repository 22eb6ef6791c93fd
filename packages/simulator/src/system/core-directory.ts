/** The operators' list of cores, which lags behind the actual cores. */
import type { SeededRandom } from '@rainrun/common';
import type { VirtualTime } from '../world.js';
import type { Machine } from './machine.js';
import { BOUNDS } from './size.js';

const SAMPLE_MS = 250;

/**
 * Samples the cores at intervals and returns a list that is up to `seedLagMs` old.
 * @example
 * directory.list(); // cores as they were up to 2 s ago
 */
export class CoreDirectory {
  #time: VirtualTime;
  #random: SeededRandom;
  #cores: () => readonly Machine[];
  #samples: { readonly atMs: number; readonly cores: readonly Machine[] }[] = [];

  constructor(time: VirtualTime, random: SeededRandom, cores: () => readonly Machine[]) {
    this.#time = time;
    this.#random = random;
    this.#cores = cores;
  }

  /** Starts to sample the cores, until the end of the simulation. */
  startSampling(): void {
    const atMs = this.#time.nowMs();
    this.#samples.push({ atMs, cores: this.#cores().filter((core) => !core.removed) });
    if (this.#samples.length > 2 + BOUNDS.seedLagMs / SAMPLE_MS) this.#samples.shift();
    this.#time.after(SAMPLE_MS, () => this.startSampling());
  }

  list(): readonly Machine[] {
    const wantedMs = this.#time.nowMs() - this.#random.next() * BOUNDS.seedLagMs;
    const sample = this.#samples.findLast((known) => known.atMs <= wantedMs) ?? this.#samples[0];
    return sample?.cores ?? this.#cores();
  }
}
