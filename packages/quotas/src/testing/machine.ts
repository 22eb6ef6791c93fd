/**
 * Simulated machines, with clocks that drift and processes that can be frozen or killed, and the network
 * between them.
 */
import type { Clock, RandomSource } from '@rainrun/common';
import type { EventQueue } from './event-queue.js';

/** Maximum drift rate of a clock, fast or slow. */
const MAX_DRIFT = 0.01;

/** A machine and its process. All work goes through `run`, which defers it while the machine is frozen. */
export class Machine implements Clock {
  readonly name: string;
  isAlive = true;
  #events: EventQueue;
  #drift: number;
  #offsetMs: number;
  /** Number of the current process; callbacks of earlier processes are dropped. */
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

  /**
   * Runs a callback on the current process: after `resume` if it is frozen, not at all if it has been killed.
   */
  run(callback: () => void): void {
    if (!this.isAlive) return;
    if (this.#isFrozen) this.#deferred.push(callback);
    else callback();
  }

  /** Runs a callback after a delay by this machine's clock, if the current process still exists then. */
  after(delayMs: number, callback: () => void): void {
    const processNumber = this.#processNumber;
    this.#events.after(delayMs / (1 + this.#drift), () => {
      if (processNumber === this.#processNumber) this.run(callback);
    });
  }

  /** Runs a callback periodically while the process exists. */
  every(intervalMs: number, callback: () => void): void {
    this.after(intervalMs, () => {
      callback();
      this.every(intervalMs, callback);
    });
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** Ends a freeze and runs the callbacks that were deferred by it. */
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

  /** Starts a new process on the same machine. */
  restart(): void {
    this.kill();
    this.isAlive = true;
  }

  /** Number of the current process, which changes when the process is killed. */
  get processNumber(): number {
    return this.#processNumber;
  }
}

/** Usual delays, rare long delays and losses of messages between two machines. */
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

  /** Whether the link from one machine to another is not cut. */
  canDeliver(from: Machine, to: Machine): boolean {
    return !this.cutLinks.has(linkName(from.name, to.name));
  }

  /** Delivers a message unless it is lost or the receiving process no longer exists. */
  send(from: Machine, to: Machine, deliver: () => void): void {
    if (!this.canDeliver(from, to) || this.#random.next() < LOSS_FRACTION) return;
    const processNumber = to.processNumber;
    const isSlow = this.#random.next() < SLOW_FRACTION;
    const rangeMs = isSlow ? SLOW_DELAY_RANGE_MS : DELAY_RANGE_MS;
    this.#events.after(MIN_DELAY_MS + this.#random.next() * rangeMs, () => {
      if (to.processNumber === processNumber) to.run(deliver);
    });
  }
}

/** Returns the name of the link from one machine to another. */
export function linkName(from: string, to: string): string {
  return `${from}>${to}`;
}
