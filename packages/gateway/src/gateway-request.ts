/** A request at the gateway of the research groups' deployment, and where its response goes. */
import type { Fault } from '@rainrun/common';

/** Where the response to a request goes. Each request gets one response. */
export interface GatewayResponseSink {
  /** A complete response. */
  respond(status: number, contentType: string, body: Uint8Array): void;
  /** A rejection or failure, by the table of fault kinds. */
  reject(fault: Fault): void;
  /** Starts a streamed response. */
  open(contentType: string): void;
  /** One more chunk; false asks to pause until `resume`. */
  write(bytes: Uint8Array, resume: () => void): boolean;
  /** Ends a stream as complete. */
  close(): void;
  /** Ends a stream so that the client sees that it is incomplete. */
  abort(): void;
}

/** A request in the gateway; names as dense indices, times on the monotonic clock. */
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
  /** Set once the client has left. */
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
  /** Where the request was sent and why, for `explain`. */
  readonly decisions: string[];
}
