/** Requests, responses and workers as the router of the platform system sees them. */
import type { RouteEntry, ServiceEntry, Tenant, TenantDirectory } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import type { RequestPermit } from './request-permit.js';

/** A complete request, read and parsed by the client server. */
export interface ClientRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** All headers that are to be forwarded. */
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** How long the client will wait from now, in milliseconds; undefined if it names no deadline. */
  readonly deadlineMs: number | undefined;
  readonly model: string;
  readonly adapter: string;
  /** Ids of the prompt's parts that other requests share, first to last. */
  readonly prefix: readonly string[];
  /** Tokens of the prompt. */
  readonly promptTokens: number;
  /** Id after which the client wants a stream to go on (`Last-Event-ID`). */
  readonly lastEventId: string | undefined;
  /** The client's API key, which appears in no log, error, view or forwarded request; undefined without one. */
  readonly apiKey: string | undefined;
}

/** Where the response to a request goes. */
export interface ResponseSink {
  /** A complete response of a worker. */
  respond(status: number, headers: readonly Header[], body: Buffer): void;
  /** A response of this node's own: what went wrong, and when to retry. */
  reject(reason: Fault): void;
  /** Starts a response that is forwarded chunk by chunk. */
  open(status: number, headers: readonly Header[]): void;
  /** Writes a chunk. False: the client reads slowly, `drained` will be called once. */
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
  /** Until when it warms up, on the monotonic clock; -Infinity if it does not. */
  readonly warmUpUntilMs: number;
  /** Loaded adapters by loaded model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** Version of its row; grows with each change. */
  readonly number: number;
  /** Percentage of this zone's edges that may send to it: below 100 while it is ejected as an outlier. */
  readonly sharePercent: number;
}

/**
 * Why no worker was chosen: none is eligible, none has the model loaded, or those that have it are backed off,
 * at their limit, or warming up; or none was looked for, since the request has no permit of its tenant's quota.
 */
export type NoWorkerReason = 'none' | 'model-not-loaded' | 'backed-off' | 'full' | 'warming-up' | 'no-permit';

/** A request on its way through the router. Times are on the monotonic clock. */
export interface RoutedRequest {
  readonly clientRequest: ClientRequest;
  readonly sink: ResponseSink;
  readonly route: RouteEntry;
  readonly service: ServiceEntry;
  /** `service/model/adapter`: what its demand is counted under. */
  readonly demandKey: string;
  readonly arrivedMs: number;
  /** When it expires. */
  readonly expiresMs: number;
  /** Whether it may be sent again after a worker may have run it. */
  readonly idempotent: boolean;
  readonly streamed: boolean;
  /** The directory under which its key was looked up last; undefined where the configuration had no tenants. */
  directory: TenantDirectory | undefined;
  /** The tenant that held its key then; undefined without tenants, or on a public route without a known key. */
  tenant: Tenant | undefined;
  /** It had a permit for its first attempt, or needed none: from then on its tenant's quota can only delay it. */
  admitted: boolean;
  /** What it holds of its tenant's quota; undefined if it needs no permit. */
  permit: RequestPermit | undefined;
  /** What workers are told of its priority with its next attempt: 0 to 9, 0 first. */
  workerPriority: number;
  /** Attempts whose first byte left. */
  attemptsStarted: number;
  /** Addresses of the workers to which an attempt started, by worker id. */
  readonly sentTo: Map<string, string>;
  /** Workers that rejected it or failed it. */
  readonly excludedWorkers: Set<string>;
  /** Whether any byte of a response went to the client. */
  responseStarted: boolean;
  /** When the last byte of a response went to the client. */
  lastByteMs: number;
  /** Id of the last complete event that went to the client. */
  lastEventId: string | undefined;
  /** Whether a worker may have run it. */
  mayHaveRun: boolean;
  clientLeft: boolean;
  /** A token of the retry budget is reserved for its next attempt. */
  retryReserved: boolean;
  /** A retry was reserved, but its token is gone from the budget. */
  retryDenied: boolean;
  /** It is not dispatched again before this. */
  notBeforeMs: number;
  /** Why no worker could take it at the last look, while it waits. */
  waitReason: NoWorkerReason | undefined;
  /** Ends the attempt in flight; undefined if none is. */
  cancelAttempt: (() => void) | undefined;
}
