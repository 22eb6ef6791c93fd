/** A simulated machine: a monotonic clock that drifts, freezes with a late wake, kills, and a network of such machines. */
import type { Clock, RandomSource } from '@rainrun/common';
import type { EventQueue } from './event-queue.js';

/** Clocks run fast or slow by up to this part. */
const MAX_DRIFT = 0.01;

/** A machine and the process on it. What is done on it goes through `run`, so that it waits while it is frozen. */
export class Machine implements Clock {
  readonly name: string;
  isAlive = true;
  #events: EventQueue;
  #drift: number;
  #offsetMs: number;
  /** Counts processes: callbacks of an earlier one are dropped. */
  #processNumber = 0;
  #isFrozen = false;
  #deferred: (() => void)[] = [];

  constructor(name: string, events: EventQueue, random: RandomSource) {
    this.name = name;
    this.#events = events;
    this.#drift = (random.next() * 2 - 1) * MAX_DRIFT;
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
    if (this.#isFrozen) this.#deferred.push(callback);
    else callback();
  }

  /** Runs a callback after a time of this machine's clock, if its process still lives then. */
  after(delayMs: number, callback: () => void): void {
    const processNumber = this.#processNumber;
    this.#events.after(delayMs / (1 + this.#drift), () => {
      if (processNumber === this.#processNumber) this.run(callback);
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
  resume(): void {
    this.#isFrozen = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const callback of deferred) this.run(callback);
  }

  kill(): void {
    this.isAlive = false;
    this.#isFrozen = false;
    this.#deferred = [];
    this.#processNumber += 1;
  }

  /** A new process on the same machine. */
  restart(): void {
    this.kill();
    this.isAlive = true;
  }

  /** Whether the process is still the one that it was when this number was read. */
  get processNumber(): number {
    return this.#processNumber;
  }
}

/** Usual and rare delays, and losses, on the way between two machines. */
const MIN_DELAY_MS = 0.5;
const DELAY_RANGE_MS = 3;
const SLOW_FRACTION = 0.01;
const SLOW_DELAY_RANGE_MS = 400;
const LOSS_FRACTION = 0.005;

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
    if (!this.carries(from, to) || this.#random.next() < LOSS_FRACTION) return;
    const processNumber = to.processNumber;
    const isSlow = this.#random.next() < SLOW_FRACTION;
    const rangeMs = isSlow ? SLOW_DELAY_RANGE_MS : DELAY_RANGE_MS;
    this.#events.after(MIN_DELAY_MS + this.#random.next() * rangeMs, () => {
      if (to.processNumber === processNumber) to.run(deliver);
    });
  }
}

/** Name of the link from one machine to another. */
export function linkName(from: string, to: string): string {
  return `${from}>${to}`;
}
