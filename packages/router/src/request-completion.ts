/** Ends requests at an edge of the platform system: sends error responses, releases retries and ids. */
import { fault, type Fault } from '@rainrun/common';
import type { AttemptEnd } from './attempt.js';
import type { Counters } from './counters.js';
import type { ResponseSink, RoutedRequest } from './request.js';
import type { RequestPermits } from './request-permits.js';
import type { RetryBudgets } from './retry-budgets.js';
import { ADMISSION_POLICY } from './routing-policy.js';
import type { TenantCounters } from './tenant-counters.js';
import type { WaitingQueue } from './waiting-queue.js';

/** The same error for every request without a known key, whichever route it asked for. */
export const UNAUTHENTICATED = fault(
  'unauthenticated',
  'the API key of this request is missing or belongs to no tenant',
);

/** Where requests are counted, and what they are removed from when they end. */
export interface RequestCompletionOptions {
  readonly queue: WaitingQueue;
  readonly budgets: RetryBudgets;
  readonly permits: RequestPermits;
  readonly counters: Counters;
  readonly tenantCounters: TenantCounters;
}

/**
 * Ends requests without a worker's response. A request that a worker may have run is never rejected with
 * `Retry-After`.
 * @example
 * completion.expire(request); // 503 with Retry-After, or 504 if a worker may have run it
 */
export class RequestCompletion {
  #queue: WaitingQueue;
  #budgets: RetryBudgets;
  #permits: RequestPermits;
  #counters: Counters;
  #tenantCounters: TenantCounters;
  /** Ids of non-idempotent requests in flight. */
  #nonIdempotentIds = new Set<string>();

  constructor({ queue, budgets, permits, counters, tenantCounters }: RequestCompletionOptions) {
    this.#queue = queue;
    this.#budgets = budgets;
    this.#permits = permits;
    this.#counters = counters;
    this.#tenantCounters = tenantCounters;
  }

  /** Registers the id of a non-idempotent request; false if one with that id is in flight. */
  register(request: RoutedRequest): boolean {
    if (request.idempotent) return true;
    if (this.#nonIdempotentIds.has(request.clientRequest.id)) return false;
    this.#nonIdempotentIds.add(request.clientRequest.id);
    return true;
  }

  /** Releases the id of a request that has ended, and withdraws its request for a permit. */
  unregister(request: RoutedRequest): void {
    this.#permits.release(request);
    this.#nonIdempotentIds.delete(request.clientRequest.id);
  }

  /** Rejects a request that was not admitted. */
  reject(sink: ResponseSink, reason: Fault): void {
    this.#counters.increment(`refused ${reason.kind}`);
    sink.reject(reason);
  }

  /** Rejects a request whose route and tenant are known, but that was not admitted. */
  rejectNew(request: RoutedRequest, reason: Fault): void {
    this.#tenantCounters.increment(request.tenant, 'refused');
    this.reject(request.sink, reason);
  }

  /** Rejects a request that exceeds its tenant's quota. */
  rejectOverQuota(request: RoutedRequest, retryAfterMs: number): void {
    this.#queue.delete(request);
    this.#budgets.release(request);
    this.unregister(request);
    this.#tenantCounters.increment(request.tenant, 'refusedOverQuota');
    const retryAfter = retryAfterMs > 0 ? { retryAfterS: retryAfterMs / 1000 } : {};
    this.reject(request.sink, fault('over-quota', 'the tenant exceeds its quota', retryAfter));
  }

  /** Rejects a request after its last attempt, when no part of a response was sent to the client. */
  rejectAfterLastAttempt(request: RoutedRequest, end: AttemptEnd): void {
    this.unregister(request);
    if (request.mayHaveRun) return this.#rejectAdmitted(request, fault('outcome-unknown', end.reason));
    this.#counters.increment('refused full');
    this.#rejectAsUnserved(request, end.reason);
  }

  /** Ends a request whose API key no longer belongs to any tenant. */
  revoke(request: RoutedRequest): void {
    if (request.responseStarted) return this.abort(request);
    this.#queue.delete(request);
    this.#budgets.release(request);
    this.unregister(request);
    if (request.mayHaveRun)
      return this.#rejectAdmitted(
        request,
        fault('outcome-unknown', 'the API key of this request was revoked'),
      );
    this.rejectNew(request, UNAUTHENTICATED);
  }

  /** Ends a request that has expired, or that is pending when this node shuts down. */
  expire(request: RoutedRequest): void {
    this.#queue.delete(request);
    this.#budgets.release(request);
    if (request.clientLeft) return;
    this.#counters.increment('given up');
    if (request.responseStarted) return this.abort(request);
    this.unregister(request);
    if (request.mayHaveRun) this.#rejectAdmitted(request, fault('deadline-exceeded', 'the request expired'));
    else this.#rejectAsUnserved(request, unservedReason(request));
  }

  /** Resets the connection of a client that has part of a response. */
  abort(request: RoutedRequest): void {
    this.#queue.delete(request);
    this.#budgets.release(request);
    this.unregister(request);
    this.#counters.increment('cut off');
    request.sink.abort();
  }

  /** Cancels a request whose client has disconnected. */
  clientLeft(request: RoutedRequest): void {
    if (request.clientLeft) return;
    request.clientLeft = true;
    this.#counters.increment('client left');
    this.#queue.delete(request);
    this.unregister(request);
    request.cancelAttempt?.();
    this.#budgets.release(request);
  }

  /** Rejects a request that no worker has run; `Retry-After` tells the client that it may send it again. */
  #rejectAsUnserved(request: RoutedRequest, reason: string): void {
    const { noWorkerRetryAfterS } = ADMISSION_POLICY;
    this.#rejectAdmitted(request, fault('no-worker', reason, { retryAfterS: noWorkerRetryAfterS }));
  }

  #rejectAdmitted(request: RoutedRequest, reason: Fault): void {
    this.#tenantCounters.increment(request.tenant, 'refused');
    request.sink.reject(reason);
  }
}

function unservedReason({ waitReason }: RoutedRequest): string {
  return waitReason === 'no-permit'
    ? "no permit of the tenant's quota was granted in time"
    : 'no worker came free in time';
}
