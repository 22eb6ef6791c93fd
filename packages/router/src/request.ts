import type { RouteEntry, ServiceEntry } from '@rainrun/configuration';
import type { Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import type { NoWorkerReason } from './balancer.js';

/** A whole request, read and taken apart at the door. */
export interface ClientRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly host: string;
  /** All that is to be passed on. */
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** How long the client will wait from now. */
  readonly deadlineMs: number | undefined;
  readonly model: string;
  readonly adapter: string;
  /** Ids of the parts of the prompt that others share, first to last. */
  readonly prefix: readonly string[];
  /** Tokens to read. */
  readonly promptTokens: number;
  readonly lastEventId: string | undefined;
}

/** Where the answer goes. */
export interface ResponseSink {
  /** A whole answer. */
  respond(status: number, headers: readonly Header[], body: Buffer): void;
  /** An answer of our own: what went wrong, and when to come back. */
  reject(why: Fault): void;
  /** Opens an answer that is passed on piece by piece. */
  open(status: number, headers: readonly Header[]): void;
  /** False: the client reads slowly, `drained` will be called. */
  write(bytes: Buffer, drained: () => void): boolean;
  close(): void;
  /** Ends the connection so that the client sees that the answer is not whole. */
  abort(): void;
}

/** A worker as the router sees it. */
export interface WorkerView {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly draining: boolean;
  readonly slots: number;
  readonly warmUpUntilMs: number;
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** Grows with each change that was told of it. */
  readonly number: number;
  /** Percentage of the edges here that may send to it: fewer than all where it failed what they sent. */
  readonly sharePercent: number;
}

/** A request on its way through the router. */
export interface RoutedRequest {
  readonly clientRequest: ClientRequest;
  readonly sink: ResponseSink;
  readonly route: RouteEntry;
  readonly service: ServiceEntry;
  readonly key: string;
  readonly arrivedMs: number;
  readonly endMs: number;
  readonly idempotent: boolean;
  readonly streamed: boolean;
  /** Workers that were sent this request and had it. */
  attemptsStarted: number;
  /** Addresses of the workers that were sent this request, by worker. */
  readonly sentTo: Map<string, string>;
  /** Workers that turned it away or failed it. */
  readonly excludedWorkers: Set<string>;
  /** Whether any byte of an answer went to the client. */
  responseStarted: boolean;
  /** When the last byte of an answer went to the client. */
  lastByteMs: number;
  /** Id of the last event that went to the client whole. */
  lastEventId: string | undefined;
  /** Whether a worker may have run it. */
  mayHaveRun: boolean;
  clientLeft: boolean;
  /** A part of the budget is set aside for its next send. */
  retryReserved: boolean;
  /** A further send was promised, and its part of the budget is gone. */
  retryDenied: boolean;
  notBeforeMs: number;
  /** Why no worker could take it when it was tried last, while it waits. */
  waitReason: NoWorkerReason | undefined;
  cancelAttempt: (() => void) | undefined;
}
