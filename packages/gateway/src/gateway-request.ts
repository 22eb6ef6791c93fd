import type { Fault } from '@rainrun/common';

/** The visitor's end of a request. Each answer is given once. */
export interface GatewayResponseSink {
  /** A whole answer. */
  respond(status: number, contentType: string, body: Uint8Array): void;
  /** A refusal or failure from the table of kinds. */
  reject(fault: Fault): void;
  /** Opens a streamed answer. */
  open(contentType: string): void;
  /** One more piece; false asks to pause until `resume`. */
  write(bytes: Uint8Array, resume: () => void): boolean;
  /** Ends a stream that is whole. */
  close(): void;
  /** Ends a stream so that the visitor sees that it was cut. */
  abort(): void;
}

/** What a visitor asks for, in dense indices. */
export interface GatewayRequest {
  readonly id: string;
  readonly sink: GatewayResponseSink;
  readonly group: number;
  readonly kind: number;
  readonly model: number;
  readonly adapter: number;
  readonly prefix: number;
  readonly idempotent: boolean;
  readonly streamed: boolean;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly body: Uint8Array | undefined;
  readonly pool: string;
  readonly arrivedMs: number;
  readonly targetMs: number;
  readonly maxWaitMs: number;
  readonly deadlineMs: number;
  /** Set once the visitor has gone. */
  clientLeft: boolean;
  attempts: number;
  /** Set once its first byte has left for a worker. */
  started: boolean;
  /** Whether an extra send is reserved for it in the budget, or was lost there. */
  retry: 'none' | 'reserved' | 'lost';
  /** The worker it was last sent to. */
  worker: string;
  cancel: (() => void) | undefined;
  firstChunkMs: number | undefined;
  /** Where the request went and why, for `explain`. */
  readonly decisions: string[];
}
