import { encodeFrame, decodeFrame, type Frame } from '@rainrun/messages';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { fault, type RandomSource, type Fault } from '@rainrun/common';
import { Result, type Unit } from 'true-myth';

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/**
 * Virtual clock and event queue: callbacks run in the order of their due times, ties in the order of
 * scheduling.
 * @example
 * const time = new VirtualTime();
 * time.after(10, () => note('ten'));
 * time.runUntil(20);
 */
export class VirtualTime {
  #nowMs = 0;
  #orders = 0;
  #heap: Timer[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  after(waitMs: number, act: () => void): void {
    this.#orders += 1;
    const due: Timer = { atMs: this.#nowMs + waitMs, order: this.#orders, callback: act };
    const heap = this.#heap;
    let place = heap.push(due) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !before(due, above)) break;
      heap[place] = above;
      place = parent;
    }
    heap[place] = due;
  }

  runUntil(endMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.atMs > endMs) break;
      this.#pop();
      this.#nowMs = next.atMs;
      next.callback();
    }
    this.#nowMs = endMs;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let place = 0;
    for (;;) {
      let child = place * 2 + 1;
      const right = heap[child + 1];
      const left = heap[child];
      if (left === undefined) break;
      if (right !== undefined && before(right, left)) child += 1;
      const least = heap[child];
      if (least === undefined || !before(least, last)) break;
      heap[place] = least;
      place = child;
    }
    heap[place] = last;
  }
}

function before(one: Timer, other: Timer): boolean {
  return one.atMs !== other.atMs ? one.atMs < other.atMs : one.order < other.order;
}

/** Returns true if frames from one node name to another are blocked. */
export type IsBlocked = (from: string, to: string) => boolean;

/**
 * Simulated network between addresses that delays, drops, duplicates and blocks frames.
 * @example
 * const net = new SimNetwork(time, random, 0.01);
 */
export class SimNetwork {
  #time: VirtualTime;
  #chance: RandomSource;
  #lossRatio: number;
  #endpoints = new Map<string, { name: string; take: (frame: Frame) => void }>();
  #cuts = new Set<IsBlocked>();
  /** Called with every frame that is sent and the name of its sender. */
  tap: ((from: string, frame: Frame) => void) | undefined;
  frames = 0;
  bytes = 0;

  constructor(time: VirtualTime, chance: RandomSource, lossRatio: number) {
    this.#time = time;
    this.#chance = chance;
    this.#lossRatio = lossRatio;
  }

  open(address: string, name: string, take: (frame: Frame) => void): void {
    this.#endpoints.set(address, { name, take });
  }

  close(address: string): void {
    this.#endpoints.delete(address);
  }

  cut(cut: IsBlocked): void {
    this.#cuts.add(cut);
  }

  heal(cut: IsBlocked): void {
    this.#cuts.delete(cut);
  }

  /** Whether traffic from one name to another is currently blocked. */
  isCut(from: string, to: string): boolean {
    for (const cut of this.#cuts) if (cut(from, to)) return true;
    return false;
  }

  send(from: string, address: string, frame: Frame): void {
    const bytes = encodeFrame(frame);
    this.frames += 1;
    this.tap?.(from, frame);
    this.bytes += bytes.length;
    const copies = this.#chance.next() < this.#lossRatio ? 0 : this.#chance.next() < this.#lossRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const slow = this.#chance.next() < 0.01 ? 60 : 0;
      this.#time.after(0.2 + this.#chance.next() * 3 + slow, () =>
        this.#arrive(from, address, bytes, frame.deployment),
      );
    }
  }

  #arrive(from: string, address: string, bytes: Uint8Array, deployment: string): void {
    const port = this.#endpoints.get(address);
    if (port === undefined) return;
    if (this.isCut(from, port.name)) return;
    const frame = decodeFrame(bytes, deployment);
    if (frame.isOk) port.take(frame.value);
  }
}

/** The steps of one write: temporary file written and synced, file renamed, directory synced. */
export type DiskStep = 'written' | 'renamed' | 'synced';

/**
 * Simulated disk that outlives its process. Writes take time, may stall, and are lost in a power loss before
 * the sync. A renamed file whose directory is not yet synced may or may not survive a power loss.
 * @example
 * const disk = new SimDisk(time, random);
 * disk.store('promise', bytes, (result) => reply(result));
 */
export class SimDisk implements RecordWriter {
  #time: VirtualTime;
  #chance: RandomSource;
  #records: Records = {};
  /**
   * Previous contents of files that were renamed but whose directory is not synced; a power loss may
   * restore them.
   */
  #unsynced = new Map<RecordKind, Uint8Array | undefined>();
  #generation = 0;
  #freeMs = 0;
  stallUntilMs = 0;
  /** How much longer each write takes. */
  slowMs = 0;
  /** Set when no more can be written, as on a full disk. */
  full = false;
  /** Called at each step of each write. */
  onStep: ((step: DiskStep, kind: RecordKind) => void) | undefined;

  constructor(time: VirtualTime, chance: RandomSource) {
    this.#time = time;
    this.#chance = chance;
  }

  get records(): Records {
    return { ...this.#records };
  }

  /** Returns the records found on opening the disk; the directory is synced first, as the real store does. */
  open(): Records {
    this.#unsynced.clear();
    return this.records;
  }

  /**
   * Ends the process but not the machine: renamed files stay, though a later power loss may still undo
   * them.
   */
  endProcess(): void {
    this.#generation += 1;
  }

  /** Cuts the machine's power: synced files survive, files not yet synced may or may not. */
  losePower(): void {
    this.#generation += 1;
    for (const [kind, before] of this.#unsynced) {
      if (this.#chance.next() < 0.5) continue;
      if (before === undefined)
        this.#records = Object.fromEntries(Object.entries(this.#records).filter(([known]) => known !== kind));
      else this.#records[kind] = before;
    }
    this.#unsynced.clear();
  }

  wipe(): void {
    this.losePower();
    this.#records = {};
  }

  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    const generation = this.#generation;
    const nowMs = this.#time.nowMs();
    if (this.full) return done(Result.err(fault('disk', 'no space left')));
    this.#freeMs =
      Math.max(this.#freeMs, nowMs, this.stallUntilMs) + 1 + this.#chance.next() * 6 + this.slowMs;
    this.#step(generation, this.#freeMs - nowMs, () => {
      this.onStep?.('written', kind);
      this.#step(generation, 0.05, () => {
        if (!this.#unsynced.has(kind)) this.#unsynced.set(kind, this.#records[kind]);
        this.#records[kind] = bytes;
        this.onStep?.('renamed', kind);
        this.#step(
          generation,
          Math.max(0, this.stallUntilMs - this.#time.nowMs()) + this.#chance.next(),
          () => {
            this.#unsynced.delete(kind);
            this.onStep?.('synced', kind);
            this.#step(generation, 0.02, () => done(Result.ok()));
          },
        );
      });
    });
  }

  #step(generation: number, waitMs: number, act: () => void): void {
    this.#time.after(waitMs, () => {
      if (generation === this.#generation) act();
    });
  }
}
