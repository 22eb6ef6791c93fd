/** A simulated machine: a monotonic clock that drifts, freezes with a late wake, kills, and a network of such machines. */
import type { Clock, RandomSource } from '@rainrun/common';
import type { EventQueue } from './event-queue.js';

/** Clocks run fast or slow by up to this part. */
const DRIFT_MOST = 0.01;

/** A machine and the process on it. What is done on it goes through `run`, so that it waits while it is frozen. */
export class Machine implements Clock {
  readonly name: string;
  isAlive = true;
  #events: EventQueue;
  #drift: number;
  #offsetMs: number;
  /** Counts processes: callbacks of an earlier one are dropped. */
  #process = 0;
  #isFrozen = false;
  #held: (() => void)[] = [];

  constructor(name: string, events: EventQueue, random: RandomSource) {
    this.name = name;
    this.#events = events;
    this.#drift = (random.next() * 2 - 1) * DRIFT_MOST;
    this.#offsetMs = random.next() * 1e6;
  }

  get isRunning(): boolean {
    return this.isAlive && !this.#isFrozen;
  }

  nowMs(): number {
    return this.#offsetMs + this.#events.nowMs * (1 + this.#drift);
  }

  /** Runs a callback on the process as it is now: later if it is frozen, not at all if it is dead. */
  run(callback: () => void): void {
    if (!this.isAlive) return;
    if (this.#isFrozen) this.#held.push(callback);
    else callback();
  }

  /** Runs a callback after a time of this machine's clock, if its process still lives then. */
  after(delayMs: number, callback: () => void): void {
    const process = this.#process;
    this.#events.after(delayMs / (1 + this.#drift), () => {
      if (process === this.#process) this.run(callback);
    });
  }

  /** Runs a callback again and again while the process lives. */
  every(intervalMs: number, callback: () => void): void {
    this.after(intervalMs, () => {
      callback();
      this.every(intervalMs, callback);
    });
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** The process goes on with what came meanwhile. */
  wake(): void {
    this.#isFrozen = false;
    const held = this.#held;
    this.#held = [];
    for (const callback of held) this.run(callback);
  }

  kill(): void {
    this.isAlive = false;
    this.#isFrozen = false;
    this.#held = [];
    this.#process += 1;
  }

  /** A new process on the same machine. */
  restart(): void {
    this.kill();
    this.isAlive = true;
  }

  /** Whether the process is still the one that it was when this number was read. */
  get process(): number {
    return this.#process;
  }
}

/** Usual and rare delays, and losses, on the way between two machines. */
const DELAY_LEAST_MS = 0.5;
const DELAY_SPREAD_MS = 3;
const SLOW_PART = 0.01;
const SLOW_MOST_MS = 400;
const LOSS_PART = 0.005;

/** Carries messages between machines, with delays and losses; links can be cut in each direction. */
export class Network {
  readonly cutLinks = new Set<string>();
  #events: EventQueue;
  #random: RandomSource;

  constructor(events: EventQueue, random: RandomSource) {
    this.#events = events;
    this.#random = random;
  }

  /** Whether a message from one machine to another gets through. */
  carries(from: Machine, to: Machine): boolean {
    return !this.cutLinks.has(linkName(from.name, to.name));
  }

  /** Delivers a message, if it is not lost and the process that it is for still lives. */
  send(from: Machine, to: Machine, deliver: () => void): void {
    if (!this.carries(from, to) || this.#random.next() < LOSS_PART) return;
    const process = to.process;
    const isSlow = this.#random.next() < SLOW_PART;
    const spreadMs = isSlow ? SLOW_MOST_MS : DELAY_SPREAD_MS;
    this.#events.after(DELAY_LEAST_MS + this.#random.next() * spreadMs, () => {
      if (to.process === process) to.run(deliver);
    });
  }
}

/** Name of the link from one machine to another. */
export function linkName(from: string, to: string): string {
  return `${from}>${to}`;
}
