/** Memory that many holders share, for example the bodies of all requests of a process. */
import type { Clock } from './clock.js';

/** Options of a memory budget. */
export interface MemoryBudgetOptions {
  /** Bytes that all holders together may hold. */
  readonly limitBytes: number;
  /** A holder of at most this many bytes is small: the last `RESERVED_SHARE` of the budget is for small ones. */
  readonly smallBytes: number;
  readonly clock: Clock;
  /** Who gives way when it is used up; `stalled-holder` if it is left out. */
  readonly eviction?: EvictionPolicy;
}

/** Who gives way when a budget is used up. */
export type EvictionPolicy =
  /** The holder that made no progress for longest, else the largest that holds more than the one that asks. */
  | 'stalled-holder'
  /** The largest holder of the owner that holds most; it may be the one that asks. */
  | 'largest-owner';

/** Events of a memory budget since the start, and what is held now. */
export interface MemoryBudgetCounts {
  readonly heldBytes: number;
  readonly limitBytes: number;
  /** Holders that had to give way. */
  readonly evicted: number;
  /** Requests for memory that were refused. */
  readonly refused: number;
}

/** Share of a budget that only small holders may use. */
const RESERVED_SHARE = 0.25;
/** A holder that has made no progress for this long gives way before any other. */
const STALLED_MS = 1000;
/** An owner with less than this share of the budget is not to blame when the budget is used up. */
const BLAMELESS_SHARE = 0.25;

/**
 * A budget of memory. When it is used up, holders give way as its `EvictionPolicy` says. A holder that cannot
 * give way keeps what it has.
 * @example
 * const budget = new MemoryBudget({ limitBytes: 2 ** 25, smallBytes: 2 ** 16, clock });
 * const reservation = budget.open(() => closeConnection());
 * if (!reservation.grow(chunk.length)) refuse();
 */
export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;
  #limitBytes: number;
  readonly #reservations = new Set<MemoryReservation>();
  #heldBytes = 0;
  #evicted = 0;
  #refused = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
    this.#limitBytes = options.limitBytes;
  }

  /** Changes the limit; what is held beyond a lower one is kept. */
  set limitBytes(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get counts(): MemoryBudgetCounts {
    return {
      heldBytes: this.#heldBytes,
      limitBytes: this.#limitBytes,
      evicted: this.#evicted,
      refused: this.#refused,
    };
  }

  /**
   * Opens a reservation of 0 bytes. `onEvicted` is called when it has to give way; it is released by then.
   * @param owner - on whose behalf the memory is held, for the policy `largest-owner`
   */
  open(onEvicted: () => void, owner = ''): MemoryReservation {
    const reservation = new MemoryReservation(this, this.#options.clock, onEvicted, owner);
    this.#reservations.add(reservation);
    return reservation;
  }

  /** Called by a reservation that needs more; false if no other can give way for it. */
  request(asking: MemoryReservation, bytes: number): boolean {
    const wantedBytes = asking.heldBytes + bytes;
    const isSmall = wantedBytes <= this.#options.smallBytes;
    const usableBytes = isSmall ? this.#limitBytes : this.#limitBytes * (1 - RESERVED_SHARE);
    while (this.#heldBytes + bytes > usableBytes) {
      const victim =
        this.#options.eviction === 'largest-owner'
          ? this.#largestOfLargestOwner(asking, bytes)
          : this.#stalledOrLargest(asking, wantedBytes);
      if (victim === undefined) {
        this.#refused += 1;
        return false;
      }
      this.#evicted += 1;
      victim.evict();
      if (victim === asking) return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  /** Called by a reservation that gives back some of its bytes. */
  giveBack(bytes: number): void {
    this.#heldBytes -= bytes;
  }

  /** Called by a reservation that has given back all of its bytes and asks for no more. */
  forget(reservation: MemoryReservation): void {
    this.#reservations.delete(reservation);
  }

  #stalledOrLargest(asking: MemoryReservation, wantedBytes: number): MemoryReservation | undefined {
    const stalledSinceMs = this.#options.clock.nowMs() - STALLED_MS;
    let stalled: MemoryReservation | undefined;
    let largest: MemoryReservation | undefined;
    for (const one of this.#reservations) {
      if (one === asking || !one.canGiveWay || one.heldBytes === 0) continue;
      if (one.lastProgressMs <= stalledSinceMs && one.lastProgressMs < (stalled?.lastProgressMs ?? Infinity))
        stalled = one;
      if (one.heldBytes > (largest?.heldBytes ?? wantedBytes)) largest = one;
    }
    return stalled ?? largest;
  }

  #largestOfLargestOwner(asking: MemoryReservation, askedBytes: number): MemoryReservation | undefined {
    const bytesByOwner = new Map<string, number>();
    const largestByOwner = new Map<string, MemoryReservation>();
    let largestOwner = asking.owner;
    for (const one of this.#reservations) {
      if (!one.canGiveWay) continue;
      const bytes = one === asking ? one.heldBytes + askedBytes : one.heldBytes;
      const ownerBytes = (bytesByOwner.get(one.owner) ?? 0) + bytes;
      bytesByOwner.set(one.owner, ownerBytes);
      if (ownerBytes > (bytesByOwner.get(largestOwner) ?? 0)) largestOwner = one.owner;
      const largest = largestByOwner.get(one.owner);
      const largestBytes = largest === asking ? largest.heldBytes + askedBytes : (largest?.heldBytes ?? 0);
      if (bytes > largestBytes) largestByOwner.set(one.owner, one);
    }
    const isBlameless = (bytesByOwner.get(largestOwner) ?? 0) < this.#limitBytes * BLAMELESS_SHARE;
    return isBlameless ? undefined : largestByOwner.get(largestOwner);
  }
}

/** The bytes that one holder has reserved. */
export class MemoryReservation {
  readonly #budget: MemoryBudget;
  readonly #clock: Clock;
  readonly #onEvicted: () => void;
  readonly owner: string;
  #heldBytes = 0;
  #lastProgressMs: number;
  /** Whether its holder may be made to give way. */
  canGiveWay = true;

  constructor(budget: MemoryBudget, clock: Clock, onEvicted: () => void, owner: string) {
    this.#budget = budget;
    this.owner = owner;
    this.#clock = clock;
    this.#lastProgressMs = clock.nowMs();
    this.#onEvicted = onEvicted;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** When its holder last made progress, on the clock of the budget. */
  get lastProgressMs(): number {
    return this.#lastProgressMs;
  }

  /** Records that its holder has made progress. */
  recordProgress(): void {
    this.#lastProgressMs = this.#clock.nowMs();
  }

  /** Reserves further bytes; false if the budget is used up. */
  grow(bytes: number): boolean {
    if (!this.#budget.request(this, bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Gives back what it holds beyond this many bytes. */
  shrinkTo(bytes: number): void {
    const surplusBytes = this.#heldBytes - bytes;
    if (surplusBytes <= 0) return;
    this.#heldBytes = bytes;
    this.#budget.giveBack(surplusBytes);
  }

  /** Gives back everything for good; may be called again. */
  release(): void {
    this.shrinkTo(0);
    this.#budget.forget(this);
  }

  /** Releases it and tells its holder. */
  evict(): void {
    this.release();
    this.#onEvicted();
  }
}
