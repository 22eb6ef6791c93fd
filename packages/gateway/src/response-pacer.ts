/** Keeps workers that send without end from taking the whole processor. */

import type { LinkTimer } from './link-timer.js';

/** Work that one response may cause in one turn, in units of the cost of a small piece: some milliseconds. */
const WORK_PER_TURN = 1000;
/** Bytes that cost as much as a piece does by itself. */
const BYTES_PER_WORK_UNIT = 2048;
/** Pause between two turns, in which everything else runs. */
const TURN_INTERVAL_MS = 5;

/** A response whose reading can be held up. */
export interface PacedResponse {
  /** Address of its worker. */
  readonly address: string;
  holdUp(): void;
  /** Reads on; called in a turn of its own. */
  readOn(): void;
}

/**
 * Lets responses that cause much work take turns: each is held up at the end of its turn, and one at a time is
 * read again. Workers take turns first, then the responses of each, so that one worker with many does not slow others.
 * @example
 * pacer.record(response, chunk.length);
 */
export class ResponsePacer {
  readonly #work = new WeakMap<PacedResponse, number>();
  /** Responses that are held up by the address of their worker, whose turn comes first first. */
  readonly #waiting = new Map<string, Set<PacedResponse>>();
  readonly #timer: LinkTimer;
  #isTurnDue = false;

  constructor(timer: LinkTimer) {
    this.#timer = timer;
  }

  /** Records a piece of a response, which is held up if its turn is over. */
  record(response: PacedResponse, pieceBytes: number): void {
    const work = (this.#work.get(response) ?? 0) + 1 + pieceBytes / BYTES_PER_WORK_UNIT;
    this.#work.set(response, work);
    if (work < WORK_PER_TURN) return;
    this.#work.delete(response);
    const ofWorker = this.#waiting.get(response.address) ?? new Set();
    this.#waiting.set(response.address, ofWorker.add(response));
    response.holdUp();
    this.#scheduleTurn();
  }

  /** Forgets a response that has ended. */
  forget(response: PacedResponse): void {
    const ofWorker = this.#waiting.get(response.address);
    ofWorker?.delete(response);
    if (ofWorker?.size === 0) this.#waiting.delete(response.address);
  }

  #scheduleTurn(): void {
    if (this.#isTurnDue) return;
    this.#isTurnDue = true;
    this.#timer(TURN_INTERVAL_MS, () => this.#startNextTurn());
  }

  #startNextTurn(): void {
    this.#isTurnDue = false;
    const next = this.#takeNext();
    if (next === undefined) return;
    if (this.#waiting.size > 0) this.#scheduleTurn();
    next.readOn();
  }

  #takeNext(): PacedResponse | undefined {
    const [entry] = this.#waiting;
    if (entry === undefined) return undefined;
    const [address, ofWorker] = entry;
    const [next] = ofWorker;
    this.#waiting.delete(address);
    if (next !== undefined) ofWorker.delete(next);
    if (ofWorker.size > 0) this.#waiting.set(address, ofWorker);
    return next;
  }
}
