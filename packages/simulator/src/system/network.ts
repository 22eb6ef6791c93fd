/** The simulated network between machines; each direction keeps the order of its frames, as TCP does. */
import { encodeFrame, decodeFrame, type Frame } from '@rainrun/messages';
import type { SeededRandom } from '@rainrun/common';
import type { IsBlocked, VirtualTime } from '../world.js';
import type { Machine } from './machine.js';

const MIN_LATENCY_MS = 0.5;
const JITTER_MS = 2;
const SLOW_FRAME_RATIO = 0.01;
const SLOW_FRAME_DELAY_MS = 60;
/** Frames that arrive while more calls than this are queued for a frozen process are dropped. */
const MAX_QUEUED_CALLS = 5000;

/**
 * Delivers frames between machines with latency and loss; cuts block one direction or both.
 * @example
 * network.post(machine, 'core-0:1', frame);
 */
export class Network {
  /** Share of frames that are lost. */
  lossRatio = 0.002;
  #time: VirtualTime;
  #random: SeededRandom;
  #machines: () => readonly Machine[];
  #cuts = new Set<IsBlocked>();
  #arrivals = new Map<string, number>();

  constructor(time: VirtualTime, random: SeededRandom, machines: () => readonly Machine[]) {
    this.#time = time;
    this.#random = random;
    this.#machines = machines;
  }

  addCut(cut: IsBlocked): void {
    this.#cuts.add(cut);
  }

  /** Removes a cut; false if it was already removed. */
  removeCut(cut: IsBlocked): boolean {
    return this.#cuts.delete(cut);
  }

  /** Whether a cut blocks frames from one name or address to another. */
  isCut(from: string, to: string): boolean {
    for (const cut of this.#cuts) if (cut(from, to)) return true;
    return false;
  }

  /** Whether a cut blocks either direction between two machines. */
  isCutEitherWay(one: string, other: string): boolean {
    return this.isCut(one, other) || this.isCut(other, one);
  }

  send(sender: Machine, address: string, frame: Frame): void {
    const target = this.#machines().find((known) => known.address === address);
    if (sender.running === undefined || target === undefined) return;
    const bytes = encodeFrame(frame);
    if (this.#random.next() < this.lossRatio) return;
    const nowMs = this.#time.nowMs();
    const direction = `${sender.name} ${address}`;
    const slowMs = this.#random.next() < SLOW_FRAME_RATIO ? SLOW_FRAME_DELAY_MS : 0;
    const latencyMs = MIN_LATENCY_MS + this.#random.next() * JITTER_MS + slowMs;
    const atMs = Math.max(this.#arrivals.get(direction) ?? 0, nowMs + latencyMs);
    this.#arrivals.set(direction, atMs);
    this.#time.after(atMs - nowMs, () => this.#deliver(sender, target, bytes));
  }

  #deliver(sender: Machine, target: Machine, bytes: Uint8Array): void {
    const { running } = target;
    if (running === undefined || this.isCut(sender.name, target.name)) return;
    const frame = decodeFrame(bytes, 'system');
    if (frame.isErr || running.queuedCalls.length > MAX_QUEUED_CALLS) return;
    target.runInProcess(running, () => (running.replica ?? running.follower)?.receive(frame.value));
  }
}
