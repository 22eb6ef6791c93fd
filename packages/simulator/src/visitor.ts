/** The simulated client side of a request, which reports to the oracle. */
import type { GatewayResponseSink } from '@rainrun/gateway';
import { FAULT_RESPONSES, type Fault } from '@rainrun/common';
import type { Oracle } from './oracle.js';
import type { SimulatedChunk } from './simulated-chunk.js';

/**
 * Called once when a request ends, with its outcome, the time of its first chunk, and the worker that ran
 * it.
 */
export type OnRequestEnd = (outcome: string, firstMs: number | undefined, worker: string) => void;

/**
 * Client side of one simulated request. It reports each received chunk and the outcome to the oracle.
 * @example
 * edge.gateway.admit(ask, new SimClient(oracle, ask.id, () => time.nowMs()));
 */
export class SimClient implements GatewayResponseSink {
  #oracle: Oracle;
  #id: string;
  #nowMs: () => number;
  #firstMs: number | undefined;
  #worker = '';
  #ended: OnRequestEnd;

  constructor(oracle: Oracle, id: string, nowMs: () => number, ended: OnRequestEnd = () => undefined) {
    this.#ended = ended;
    this.#oracle = oracle;
    this.#id = id;
    this.#nowMs = nowMs;
  }

  respond(_status: number, _contentType: string, body: Uint8Array): void {
    const pieces = JSON.parse(Buffer.from(body).toString()) as SimulatedChunk[];
    for (const piece of pieces) this.#receiveChunk(piece);
    this.#oracle.responseCompleted(this.#id, this.#nowMs());
    this.#ended('served', this.#nowMs(), this.#worker);
  }

  reject(why: Fault): void {
    if (FAULT_RESPONSES[why.kind].ran === 'no')
      this.#oracle.requestRejected(this.#id, why.kind, this.#nowMs());
    else this.#oracle.unknownOutcomes += 1;
    this.#ended(why.kind, this.#nowMs(), '');
  }

  open(): void {
    return;
  }

  write(bytes: Uint8Array): boolean {
    this.#firstMs ??= this.#nowMs();
    for (const event of Buffer.from(bytes).toString().split('\n\n')) {
      if (event === '' || event === 'data: [DONE]') continue;
      this.#receiveChunk(JSON.parse(event.slice(6)) as SimulatedChunk);
    }
    return true;
  }

  close(): void {
    this.#oracle.responseCompleted(this.#id, this.#nowMs());
    this.#ended('served', this.#firstMs, this.#worker);
  }

  #receiveChunk(piece: SimulatedChunk): void {
    this.#worker = piece.run.slice(0, piece.run.lastIndexOf('-'));
    this.#oracle.chunkReceived(this.#id, piece, this.#nowMs());
  }

  abort(): void {
    this.#oracle.truncatedStreams += 1;
    this.#ended('cut', this.#firstMs, this.#worker);
  }
}
