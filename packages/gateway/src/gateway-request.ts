/** A request at the gateway, and the sink that receives its response. */
import type { Fault } from '@rainrun/common';

/** Receives the response to a request. Each request gets exactly one response. */
export interface GatewayResponseSink {
  /** A complete response. */
  respond(status: number, contentType: string, body: Uint8Array): void;
  /** A rejection or failure; the table of fault kinds gives its status. */
  reject(fault: Fault): void;
  /** Starts a streamed response. */
  open(contentType: string): void;
  /** Writes one more chunk; false asks the caller to pause until `resume` is called. */
  write(bytes: Uint8Array, resume: () => void): boolean;
  /** Ends a stream as complete. */
  close(): void;
  /** Ends a stream abnormally, so that the client can tell that it is incomplete. */
  abort(): void;
}

/** A request in the gateway, with names as dense indices and times on the monotonic clock. */
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
  /** Set once the client has disconnected. */
  clientLeft: boolean;
  attempts: number;
  /** Set just before the first byte of the first attempt is written. */
  started: boolean;
  /** Whether a token of the retry budget is reserved for it, or its reservation was refused or lost. */
  retry: 'none' | 'reserved' | 'lost';
  /** The worker it was last sent to. */
  worker: string;
  /** Removes the request from the backlog, or aborts its current send. */
  cancel: (() => void) | undefined;
  firstChunkMs: number | undefined;
  /** Where the request was sent and why, for `explain`. */
  readonly decisions: string[];
}
