import type { VisitorPort } from '@rainrun/gate';
import { ANSWERS, type Fault } from '@rainrun/nacelle';
import type { Oracle } from './oracle.js';

/** One piece of a simulated answer: whose it is, of which run, which of how many. */
export interface Piece {
  readonly id: string;
  readonly run: string;
  readonly place: number;
  readonly of: number;
}

/**
 * A simulated visitor's end of one request. It tells the oracle what it saw,
 * piece by piece, and how it ended.
 * @example
 * edge.gate.enter(ask, new SimVisitor(oracle, ask.id, () => time.nowMs()));
 */
export class SimVisitor implements VisitorPort {
  #oracle: Oracle;
  #id: string;
  #nowMs: () => number;

  constructor(oracle: Oracle, id: string, nowMs: () => number) {
    this.#oracle = oracle;
    this.#id = id;
    this.#nowMs = nowMs;
  }

  answer(_status: number, _contentType: string, body: Uint8Array): void {
    const pieces = JSON.parse(Buffer.from(body).toString()) as Piece[];
    for (const piece of pieces) this.#oracle.piece(this.#id, piece, this.#nowMs());
    this.#oracle.whole(this.#id, this.#nowMs());
  }

  refuse(why: Fault): void {
    if (ANSWERS[why.kind].ran === 'no') this.#oracle.toldRefused(this.#id, why.kind, this.#nowMs());
    else this.#oracle.unknown += 1;
  }

  open(): void {
    return;
  }

  piece(bytes: Uint8Array): boolean {
    for (const event of Buffer.from(bytes).toString().split('\n\n')) {
      if (event === '' || event === 'data: [DONE]') continue;
      this.#oracle.piece(this.#id, JSON.parse(event.slice(6)) as Piece, this.#nowMs());
    }
    return true;
  }

  close(): void {
    this.#oracle.whole(this.#id, this.#nowMs());
  }

  cut(): void {
    this.#oracle.cuts += 1;
  }
}
