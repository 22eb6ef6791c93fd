/** Requests, responses and workers as the router of the platform system sees them. */
import type { RouteEntry, ServiceEntry, Tenant, TenantDirectory } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import type { RequestPermit } from './request-permit.js';

/** A complete client request, read and parsed by the HTTP server of the edge. */
export interface ClientRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** Headers to forward to the worker. */
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** How long the client will wait from now, in milliseconds; undefined if it names no deadline. */
  readonly deadlineMs: number | undefined;
  readonly model: string;
  readonly adapter: string;
  /** Ids of the leading parts of the prompt that other requests share, first to last. */
  readonly prefix: readonly string[];
  /** Number of tokens in the prompt. */
  readonly promptTokens: number;
  /** Id of the event after which the client wants to resume a stream (`Last-Event-ID`). */
  readonly lastEventId: string | undefined;
  /** The client's API key, which appears in no log, error, view or forwarded request; undefined without one. */
  readonly apiKey: string | undefined;
}

/** Where the response to a request goes. */
export interface ResponseSink {
  /** Sends a complete response of a worker; `released` is called once its body is no longer held. */
  respond(status: number, headers: readonly Header[], body: Buffer, released: () => void): void;
  /** Sends an error response of this node: what went wrong, and when to retry. */
  reject(reason: Fault): void;
  /** Starts a response that is forwarded chunk by chunk. */
  open(status: number, headers: readonly Header[]): void;
  /** Writes a chunk; false if the client reads slowly: `drained` is called once it can write again. */
  write(bytes: Buffer, drained: () => void): boolean;
  /** Ends a started response as complete. */
  close(): void;
  /** Resets the connection, so that the client sees that the response is incomplete. */
  abort(): void;
}

/** A worker as the router sees it. */
export interface WorkerView {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly draining: boolean;
  /** Requests that it can run at once. */
  readonly slots: number;
  /** When its warm-up ends, on the monotonic clock; -Infinity if it is not warming up. */
  readonly warmUpUntilMs: number;
  /** Loaded adapters by loaded model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** Version of its row in the worker table; grows with each change. */
  readonly number: number;
  /** Percentage of this zone's edges that may send to it: below 100 while it is ejected as an outlier. */
  readonly sharePercent: number;
}

/**
 * Why no worker was chosen: none is eligible, none has the model loaded, or those that have it are backed off,
 * at their limit, or warming up; or none was looked for, since the request has no permit of its tenant's quota.
 */
export type NoWorkerReason = 'none' | 'model-not-loaded' | 'backed-off' | 'full' | 'warming-up' | 'no-permit';

/** A request and its state in the router. Times are on the monotonic clock. */
export interface RoutedRequest {
  readonly clientRequest: ClientRequest;
  readonly sink: ResponseSink;
  readonly route: RouteEntry;
  readonly service: ServiceEntry;
  /** `service/model/adapter`: the key under which its demand is counted. */
  readonly demandKey: string;
  readonly arrivedMs: number;
  /** When it expires. */
  readonly expiresMs: number;
  /** Whether it may be sent again after a worker may have run it. */
  readonly idempotent: boolean;
  readonly streamed: boolean;
  /** The directory in which its API key was last looked up; undefined if the configuration had no tenants. */
  directory: TenantDirectory | undefined;
  /** The tenant found by that lookup; undefined without tenants, or on a public route without a known key. */
  tenant: Tenant | undefined;
  /** Whether its first attempt had a permit or needed none; from then on the quota can only delay it. */
  admitted: boolean;
  /** Its permit state for the tenant's quota; undefined if it needs no permit. */
  permit: RequestPermit | undefined;
  /** The priority sent to the worker with its next attempt: 0 to 9, 0 is highest. */
  workerPriority: number;
  /** Number of attempts whose first byte was sent. */
  attemptsStarted: number;
  /** Addresses of the workers to which an attempt started, by worker id. */
  readonly sentTo: Map<string, string>;
  /** Workers that rejected it or failed it. */
  readonly excludedWorkers: Set<string>;
  /** Whether any byte of a response was sent to the client. */
  responseStarted: boolean;
  /** When the last byte of a response was sent to the client. */
  lastByteMs: number;
  /** Id of the last complete event that was sent to the client. */
  lastEventId: string | undefined;
  /** Whether a worker may have run it. */
  mayHaveRun: boolean;
  clientLeft: boolean;
  /** Whether a token of the retry budget is reserved for its next attempt. */
  retryReserved: boolean;
  /** Whether the token of its reserved retry was gone from the budget when it was to be spent. */
  retryDenied: boolean;
  /** Earliest time of its next dispatch. */
  notBeforeMs: number;
  /** Why no worker could take it at the last try; meaningful while it waits. */
  waitReason: NoWorkerReason | undefined;
  /** Ends the attempt in flight; undefined if none is. */
  cancelAttempt: (() => void) | undefined;
}
